package cause

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"
)

// maxDecisionTime bounds the time for which a call waits until it is known whether replicas have crashed under it. It
// is longer than a check of a replica takes.
const maxDecisionTime = 400 * time.Millisecond

// undecided are the broken connections of calls with one feature of which it is not known yet whether their replicas
// have crashed.
type undecided struct {
	num  int
	done chan struct{} // closed when all are decided
}

// RecordBreak records that a replica broke the connection of a call before it had answered it completely, and that it
// may have crashed. The answer had advanced if it had gone beyond its beginning. The function that it returns must be
// called once it is known whether the replica has crashed.
func (trk *Tracker) RecordBreak(replica string, cal Call, advanced bool) (decide func(crashed bool)) {
	rpt := Report{Replica: xxhash.Sum64String(replica), At: trk.opts.Clock.Now(), Call: cal, Advanced: advanced}
	features := cal.features()
	trk.mu.Lock()
	defer trk.mu.Unlock()
	for _, feature := range features {
		und := trk.undecided[feature]
		if und == nil {
			und = &undecided{done: make(chan struct{})}
			trk.undecided[feature] = und
		}
		und.num++
	}
	trk.numUndecided.Add(1)
	return func(crashed bool) {
		if crashed {
			trk.recordCrash(rpt)
		}
		trk.endUndecided(features)
	}
}

// endUndecided removes an undecided connection of a call with the given features.
func (trk *Tracker) endUndecided(features []uint64) {
	trk.mu.Lock()
	defer trk.mu.Unlock()
	trk.numUndecided.Add(-1)
	for _, feature := range features {
		und := trk.undecided[feature]
		und.num--
		if und.num == 0 {
			close(und.done)
			delete(trk.undecided, feature)
		}
	}
}

// AwaitDecision waits, for a short time at most, until it is known whether replicas have crashed under a call, if one
// more crash may block it: there is another one that may have been under the same call, or one that is known under the
// call or a part of it. A call is thus blocked after as many crashes as if this was known at once, and a retry after
// the first broken connection does not wait.
func (trk *Tracker) AwaitDecision(ctx context.Context, cal Call) {
	waits := trk.decisive(cal)
	if len(waits) == 0 {
		return
	}
	lim, cancel := trk.opts.Clock.WithTimeout(ctx, maxDecisionTime)
	defer cancel()
	for _, done := range waits {
		select {
		case <-done:
		case <-lim.Done(): // The call goes on with what is known.
			return
		}
	}
}

// Undecided reports whether AwaitDecision would wait for a call.
func (trk *Tracker) Undecided(cal Call) bool { return len(trk.decisive(cal)) > 0 }

// decisive returns what ends when it is known whether replicas have crashed under a call that this may block.
func (trk *Tracker) decisive(cal Call) (waits []chan struct{}) {
	if trk.numUndecided.Load() == 0 {
		return nil
	}
	trk.mu.Lock()
	defer trk.mu.Unlock()
	for _, feature := range cal.features() {
		und := trk.undecided[feature]
		if und != nil && (trk.suspected[feature] || feature == cal.Fingerprint && und.num > 1) {
			waits = append(waits, und.done)
		}
	}
	return waits
}
