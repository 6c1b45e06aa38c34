// Package cause finds the calls, and the parts of prompts, that crash replicas, so that calls with them can be refused.
//
// A replica that crashes breaks the connections of all calls that it has begun. Each of them is a suspect of the crash,
// at whichever process its connection was, and so are the parts of its prompt; the processes send each other reports. A
// replica may crash at any point of an answer, so only a complete answer shows that a call and its parts do not crash
// replicas. One that goes beyond its beginning makes them weaker suspects, which must explain more crashes. A call or a
// part is blocked when it is the best explanation of several crashes; the other calls of these crashes are then no
// suspects of them any more.
package cause

import (
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-logr/logr"

	"github.com/tarragonwheel/tarragonwheel/timer"
)

// Times and bounds of a Tracker.
const (
	// crashSpan is the time within which reports of the same replica are of one crash. No replica starts again sooner.
	crashSpan = time.Second
	// suspectTime is how long a crash is kept that no blocked call explains, from the first report of it.
	suspectTime = time.Minute
	// blockTime is how long a call is refused after the crash that blocked it. Each further crash doubles it.
	blockTime    = time.Minute
	maxBlockTime = time.Hour
	maxCrashes   = 128
	maxCalls     = 64 // suspects of one crash
)

// Call identifies a call by what may crash replicas.
type Call struct {
	Fingerprint uint64   // hash of all that the call consists of
	Parts       []uint64 // features that other calls may have too: parts of its prompt, and its family
}

// familyBit tells families from other features.
const familyBit = 1 << 63

// Feature returns the feature of a call or of a part of a prompt from its hash.
func Feature(hash uint64) uint64 { return hash &^ familyBit }

// Family returns the feature of all calls that differ only in their query, from the hash of what they have in common.
// It is always a weaker suspect, as calls of one family are often in progress at the same time.
func Family(hash uint64) uint64 { return hash | familyBit }

func isFamily(feature uint64) bool { return feature&familyBit != 0 }

// Report states that a replica broke the connection of a call before it had answered it completely.
type Report struct {
	Replica uint64 // hash of the ID of the replica
	At      time.Time
	Call    Call
	// Advanced is set if the answer had gone beyond its beginning.
	Advanced bool
}

// Answer states that a replica answered calls with a feature that had been suspected.
type Answer struct {
	Feature uint64 // fingerprint of the call, or hash of a part
	At      time.Time
	// Complete is set if the answer was complete. Otherwise it had gone beyond its beginning.
	Complete bool
}

// Options configure a Tracker.
type Options struct {
	Clock *timer.Service
	Log   logr.Logger
	// OnCrash is called with each crash that this process has observed, so that others can be informed; nil for none.
	OnCrash func(rpt Report)
	// OnAnswers is called with calls that other processes suspect and this one has seen answered; nil for none.
	OnAnswers func(list []Answer)
}

// Tracker holds the recent crashes and the calls that explain them. It is safe for concurrent use.
type Tracker struct {
	opts         Options
	active       atomic.Bool  // there are crashes
	numUndecided atomic.Int64 // broken connections of which it is not known whether their replicas have crashed

	mu         sync.Mutex
	undecided  map[uint64]*undecided // by the features of their calls
	crashes    []*crash
	suspected  map[uint64]bool     // features of the calls in crashes, and some that no longer are
	answers    map[uint64]evidence // how calls with a feature were last answered
	culprits   []culprit
	outdated   bool                // culprits must be found again
	unsent     map[uint64]struct{} // features of answers that the other processes lack
	nextExpiry time.Time           // when crashes or culprits may expire next
}

// New returns a Tracker without crashes.
func New(opts Options) *Tracker {
	if opts.OnCrash == nil {
		opts.OnCrash = func(Report) {}
	}
	if opts.OnAnswers == nil {
		opts.OnAnswers = func([]Answer) {}
	}
	return &Tracker{
		opts: opts, suspected: make(map[uint64]bool), answers: make(map[uint64]evidence),
		unsent: make(map[uint64]struct{}), undecided: make(map[uint64]*undecided),
	}
}

// Active reports whether there are crashes, or may be. If not, no call is blocked.
func (trk *Tracker) Active() bool { return trk.active.Load() || trk.numUndecided.Load() > 0 }

// RecordCrash records that a replica broke the connection of a call before it had answered it completely. The answer
// had advanced if it had gone beyond its beginning.
func (trk *Tracker) RecordCrash(replica string, cal Call, advanced bool) {
	trk.recordCrash(Report{
		Replica: xxhash.Sum64String(replica), At: trk.opts.Clock.Now(), Call: cal, Advanced: advanced,
	})
}

// recordCrash records a crash that this process has observed, and informs the others.
func (trk *Tracker) recordCrash(rpt Report) {
	trk.mu.Lock()
	trk.addReport(rpt)
	rpt.Call = trk.withoutAnswered(rpt)
	trk.mu.Unlock()
	trk.opts.OnCrash(rpt)
}

// AddReport records a crash that another process has observed. A report that is already known has no effect.
func (trk *Tracker) AddReport(rpt Report) {
	trk.mu.Lock()
	defer trk.mu.Unlock()
	trk.addReport(rpt)
}

// addReport adds the call of a report to the suspects of its crash.
func (trk *Tracker) addReport(rpt Report) {
	now := trk.opts.Clock.Now()
	trk.expire(now)
	if now.Sub(rpt.At) > maxBlockTime || trk.wasAnswered(rpt.Call.Fingerprint, rpt.At) {
		return
	}
	sus := suspect{Call: trk.withoutAnswered(rpt), advanced: rpt.Advanced}
	if !trk.findCrash(rpt).add(&sus) {
		return
	}
	for _, feature := range sus.features() {
		trk.suspected[feature] = true
	}
	trk.limitParts()
	trk.outdated = true
	trk.active.Store(true)
}

// findCrash returns the crash of a report, and adds it if it is new.
func (trk *Tracker) findCrash(rpt Report) *crash {
	for _, crs := range trk.crashes {
		if crs.replica == rpt.Replica && rpt.At.Sub(crs.at).Abs() < crashSpan {
			return crs
		}
	}
	if len(trk.crashes) >= maxCrashes {
		trk.evictCrash()
	}
	crs := &crash{replica: rpt.Replica, at: rpt.At, until: trk.opts.Clock.Now().Add(suspectTime)}
	trk.crashes = append(trk.crashes, crs)
	return crs
}

// Blocked reports whether a call must be refused because it crashes replicas.
func (trk *Tracker) Blocked(cal Call) bool {
	if !trk.Active() {
		return false
	}
	trk.mu.Lock()
	defer trk.mu.Unlock()
	now := trk.opts.Clock.Now()
	trk.expire(now)
	trk.findCulprits(now)
	if len(trk.culprits) == 0 {
		return false
	}
	cal.Parts = slices.Sorted(slices.Values(cal.Parts))
	return slices.ContainsFunc(trk.culprits, func(cul culprit) bool {
		return cul.matches(&cal) && now.Before(cul.until)
	})
}

// findCulprits finds the culprits if the crashes have changed. Their crashes are kept while they are blocked and for
// some time after, in which one more crash blocks them again.
func (trk *Tracker) findCulprits(now time.Time) {
	if !trk.outdated {
		return
	}
	trk.outdated = false
	known := trk.culprits
	trk.culprits = explain(trk.crashes, trk.hasAdvanced)
	for _, cul := range trk.culprits {
		if !slices.ContainsFunc(known, cul.equal) {
			trk.opts.Log.Info("cause: calls are refused because they crash replicas", "fingerprint",
				strconv.FormatUint(cul.fingerprint, 16), "parts", len(cul.parts), "crashes", len(cul.crashes),
				"for", cul.until.Sub(now))
		}
		for _, crs := range cul.crashes {
			crs.until = cul.until.Add(suspectTime)
		}
	}
	trk.scheduleExpiry(now)
}

// expire removes crashes that are forgotten.
func (trk *Tracker) expire(now time.Time) {
	if now.Before(trk.nextExpiry) {
		return
	}
	trk.findCulprits(now) // Their crashes are kept longer.
	num := len(trk.crashes)
	trk.crashes = slices.DeleteFunc(trk.crashes, func(crs *crash) bool { return !now.Before(crs.until) })
	if len(trk.crashes) < num {
		trk.outdated = true
		trk.findSuspected()
	}
	trk.active.Store(len(trk.crashes) > 0)
	trk.scheduleExpiry(now)
}

// findSuspected rebuilds the set of suspected features from the crashes.
func (trk *Tracker) findSuspected() {
	clear(trk.suspected)
	for _, crs := range trk.crashes {
		for idx := range crs.calls {
			for _, feature := range crs.calls[idx].features() {
				trk.suspected[feature] = true
			}
		}
	}
}

// scheduleExpiry sets when crashes are next checked for expiry.
func (trk *Tracker) scheduleExpiry(now time.Time) {
	trk.nextExpiry = now.Add(suspectTime)
	for _, crs := range trk.crashes {
		if crs.until.Before(trk.nextExpiry) {
			trk.nextExpiry = crs.until
		}
	}
}

// BlockingReports returns the reports because of which calls are blocked, for a process that has none of them.
func (trk *Tracker) BlockingReports() []Report {
	trk.mu.Lock()
	defer trk.mu.Unlock()
	now := trk.opts.Clock.Now()
	trk.expire(now)
	trk.findCulprits(now)
	var list []Report
	for _, cul := range trk.culprits {
		for _, crs := range cul.crashes {
			for _, sus := range crs.calls {
				if cul.matches(&sus.Call) {
					cal := sus.Call
					cal.Parts = slices.Clone(cal.Parts) // The tracker removes parts from its own list.
					list = append(list, Report{Replica: crs.replica, At: crs.at, Call: cal, Advanced: sus.advanced})
				}
			}
		}
	}
	return list
}
