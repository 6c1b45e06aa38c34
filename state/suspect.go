package state

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/tarragonwheel/tarragonwheel/crash"
	"github.com/tarragonwheel/tarragonwheel/proto"
	"github.com/tarragonwheel/tarragonwheel/timer"
)

const (
	// maxPending bounds the events that are not in the log yet. Beyond it the oldest are dropped.
	maxPending = 1024
	// maxUnlogged bounds the crashes sent in each heartbeat while they are not in the log. The newest are sent.
	maxUnlogged = 8
)

// applyCrashEntry applies an entry that concerns crash attribution: a crash, an unblocking or clears.
func (mch *Machine) applyCrashEntry(ent Entry) {
	switch {
	case ent.Crash != nil:
		mch.attribution.AddCrash(*ent.Crash)
	case ent.Unblock != nil:
		mch.attribution.Unblock(*ent.Unblock)
	default:
		for _, clr := range ent.Clears {
			mch.attribution.ClearSuspect(clr)
		}
	}
}

// CrashAttribution returns a copy of the crash attribution according to the log.
func (sto *Store) CrashAttribution() crash.Attribution {
	sto.mu.RLock()
	defer sto.mu.RUnlock()
	return sto.machine.attribution.Clone()
}

// FindUnblock returns the unblocking with the given request ID, if it has been applied from the log.
func (sto *Store) FindUnblock(request string) (crash.Unblock, bool) {
	sto.mu.RLock()
	defer sto.mu.RUnlock()
	return sto.machine.attribution.FindUnblock(request)
}

// StopPlanned reports whether a planned stop of an upstream is due.
func (sto *Store) StopPlanned(upstream string, now time.Time) bool {
	list, _ := sto.List()
	return slices.ContainsFunc(list, func(nam NamedObject) bool {
		stop := nam.Object.Value.Stop
		return stop != nil && stop.At <= now.Unix() && slices.Contains(stop.Upstreams, upstream)
	})
}

// event is a crash or a clear that this process knows of but that may not be in the log yet.
type event struct {
	at    int64 // milliseconds since the epoch
	crash *proto.Crash
	clear *proto.Clear
	due   time.Time // when this process appends it to the log, unless it is there by then
}

// Suspects is the crash attribution of one process: the one according to the log, with the crashes and clears applied
// that this process knows of but that are not in the log yet. It is safe for concurrent use.
type Suspects struct {
	store *Store
	clock *timer.Service

	mu          sync.Mutex
	pending     []event
	attribution crash.Attribution // with the pending events applied, valid at version
	version     int64             // of the store; -1 if attribution is out of date
	changed     chan struct{}     // closed and replaced when an event is added
}

// NewSuspects returns the crash attribution of the process whose state is sto.
func NewSuspects(sto *Store, clk *timer.Service) *Suspects {
	return &Suspects{store: sto, clock: clk, version: -1, changed: make(chan struct{})}
}

// Changed returns a channel that is closed when a crash or clear has been added.
func (sus *Suspects) Changed() <-chan struct{} {
	sus.mu.Lock()
	defer sus.mu.Unlock()
	return sus.changed
}

// AddCrash records a crash that this process has detected or received from a peer. The crash is due to be appended to
// the log after delay, unless another process has done so by then. AddCrash returns false if the crash is recorded
// already or can no longer matter.
func (sus *Suspects) AddCrash(crs proto.Crash, delay time.Duration) bool {
	sus.mu.Lock()
	defer sus.mu.Unlock()
	sus.prunePending()
	att := sus.currentAttribution()
	if att.HasCrash(crs.ID) || crs.At+lifetimeMillis(crs) <= sus.clock.Now().UnixMilli() {
		return false
	}
	sus.add(event{at: crs.At, crash: &crs, due: sus.clock.Now().Add(delay)})
	return true
}

// AddClear records that a suspect has finished.
func (sus *Suspects) AddClear(suspicion crash.Suspicion) {
	sus.mu.Lock()
	defer sus.mu.Unlock()
	now := sus.clock.Now()
	clr := proto.Clear{Fingerprint: suspicion.Fingerprint, Crash: suspicion.Crash}
	sus.add(event{at: now.UnixMilli(), clear: &clr, due: now})
}

func (sus *Suspects) add(evt event) {
	sus.pending = append(sus.pending, evt)
	slices.SortStableFunc(sus.pending, func(one, two event) int { return cmp.Compare(one.at, two.at) })
	if over := len(sus.pending) - maxPending; over > 0 {
		sus.pending = slices.Clone(sus.pending[over:])
	}
	sus.version = -1
	close(sus.changed)
	sus.changed = make(chan struct{})
}

// Status returns the current status of a request, and the suspicion that is the reason for it.
func (sus *Suspects) Status(fpr proto.Fingerprint) (crash.Status, crash.Suspicion) {
	if fpr == 0 {
		return crash.StatusFree, crash.Suspicion{}
	}
	now := sus.clock.Now()
	sus.mu.Lock()
	defer sus.mu.Unlock()
	if len(sus.pending) > 0 {
		sus.prunePending()
	}
	if len(sus.pending) > 0 {
		return sus.currentAttribution().Status(fpr, now)
	}
	sus.store.mu.RLock()
	defer sus.store.mu.RUnlock()
	return sus.store.machine.attribution.Status(fpr, now)
}

// Crashes returns the IDs of the newest crashes that are known, at most limit, oldest first.
func (sus *Suspects) Crashes(limit int) []string {
	sus.mu.Lock()
	defer sus.mu.Unlock()
	sus.prunePending()
	list := sus.currentAttribution().Crashes
	return slices.Clone(list[max(0, len(list)-limit):])
}

// Attribution returns a copy of the crash attribution.
func (sus *Suspects) Attribution() crash.Attribution {
	sus.mu.Lock()
	defer sus.mu.Unlock()
	sus.prunePending()
	return sus.currentAttribution().Clone()
}

// UnloggedCrashes returns the crashes to send to peers, because they may not be in the log yet.
func (sus *Suspects) UnloggedCrashes() []proto.Crash {
	sus.mu.Lock()
	defer sus.mu.Unlock()
	if len(sus.pending) == 0 {
		return nil
	}
	sus.prunePending()
	var list []proto.Crash
	for _, evt := range sus.pending {
		if evt.crash != nil {
			list = append(list, *evt.crash)
		}
	}
	return list[max(0, len(list)-maxUnlogged):]
}

// DueEvents returns the crashes and clears to append to the log now, and when the next one is due, or the zero time if
// there is none. Events that were returned are due again after retryAfter, unless they are in the log by then.
func (sus *Suspects) DueEvents(retryAfter time.Duration) (crashes []proto.Crash, clears []proto.Clear, next time.Time) {
	sus.mu.Lock()
	defer sus.mu.Unlock()
	sus.prunePending()
	now := sus.clock.Now()
	for idx := range sus.pending {
		evt := &sus.pending[idx]
		if !evt.due.After(now) {
			evt.due = now.Add(retryAfter)
			if evt.crash != nil {
				crashes = append(crashes, *evt.crash)
			} else {
				clears = append(clears, *evt.clear)
			}
		}
		if next.IsZero() || evt.due.Before(next) {
			next = evt.due
		}
	}
	return crashes, clears, next
}

// prunePending drops the pending events that are in the log or no longer matter. The caller holds the lock.
func (sus *Suspects) prunePending() {
	sus.store.mu.RLock()
	att := &sus.store.machine.attribution
	now := sus.clock.Now().UnixMilli()
	before := len(sus.pending)
	unlogged := make(map[string]bool) // by ID of the crash
	for _, evt := range sus.pending {
		if evt.crash != nil && evt.at+lifetimeMillis(*evt.crash) > now {
			unlogged[evt.crash.ID] = !att.HasCrash(evt.crash.ID)
		}
	}
	sus.pending = slices.DeleteFunc(sus.pending, func(evt event) bool {
		if evt.crash != nil {
			return !unlogged[evt.crash.ID]
		}
		return !unlogged[evt.clear.Crash] && att.Suspects[evt.clear.Fingerprint].Crash != evt.clear.Crash
	})
	sus.store.mu.RUnlock()
	if len(sus.pending) != before {
		sus.version = -1
	}
}

// currentAttribution returns the attribution with the pending events applied, which the caller must not change. The
// caller holds the lock.
func (sus *Suspects) currentAttribution() *crash.Attribution {
	sus.store.mu.RLock()
	defer sus.store.mu.RUnlock()
	if version := sus.store.machine.version; sus.version != version {
		sus.version = version
		sus.attribution = sus.store.machine.attribution.Clone()
		for _, evt := range sus.pending {
			if evt.crash != nil {
				sus.attribution.AddCrash(*evt.crash)
			} else {
				sus.attribution.ClearSuspect(*evt.clear)
			}
		}
	}
	return &sus.attribution
}

// lifetimeMillis returns how long, in milliseconds, a crash can have an effect on requests.
func lifetimeMillis(crs proto.Crash) int64 { return max(crs.SuspectFor, crs.BlockFor).Milliseconds() }
