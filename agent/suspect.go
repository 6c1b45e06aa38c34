package agent

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/tarragonwheel/tarragonwheel/crash"
	"github.com/tarragonwheel/tarragonwheel/proto"
)

// Reasons for which a request that ran on a crashed engine is refused.
const (
	// ReasonBlocked refuses a request that crashed two engines.
	ReasonBlocked = "request-crashes-upstream"
	// ReasonSuspectWaits refuses a suspect while another one runs on the engine.
	ReasonSuspectWaits = "suspect-waits"
)

// suspectWait bounds the wait of a suspect at an agent, after which the entry looks again for the best agent.
const suspectWait = 2 * time.Second

// stopped is the cause of the end of an attempt that the verdict on its request ended.
type stopped struct{ reason string }

// Error implements error.
func (sto *stopped) Error() string {
	if sto.reason == ReasonBlocked {
		return "this request has crashed the engines that ran it"
	}
	return "the request ran on an engine that crashed, and may run only apart from other such requests"
}

func (sto *stopped) refusal() proto.Result {
	return proto.Result{Outcome: proto.OutcomeNotRun, Reason: sto.reason, Detail: sto.Error()}
}

// admit decides whether a request may run: a blocked request may not, and a suspect waits until no other suspect runs.
// The function free gives the suspect's place back. A request with sto set is refused.
func (crs *crashes) admit(ctx context.Context, msg proto.Open) (isolated bool, free func(), sto *stopped) {
	verdict, cas := crs.verdict(msg.Fingerprint)
	switch {
	case verdict == crash.StatusBlocked:
		return false, nil, &stopped{ReasonBlocked}
	case verdict != crash.StatusSuspected && (!crs.on || !msg.Suspected):
		return false, func() {}, nil
	}
	lim, cancel := crs.agent.clock.WithTimeout(ctx, suspectWait)
	defer cancel()
	wtr := crs.place.enter(cas.Rank)
	for {
		changed, added := crs.agent.config.store.Changed(), crs.suspects.Added()
		now, _ := crs.verdict(msg.Fingerprint)
		if now == crash.StatusBlocked || now == crash.StatusFree && verdict == crash.StatusSuspected {
			crs.place.leave(wtr)
			if now == crash.StatusBlocked {
				return false, nil, &stopped{ReasonBlocked}
			}
			return false, func() {}, nil
		}
		select {
		case <-wtr.granted:
			return true, func() { crs.place.leave(wtr) }, nil
		case <-changed:
		case <-added:
		case <-lim.Done():
			crs.place.leave(wtr)
			return false, nil, &stopped{ReasonSuspectWaits}
		}
	}
}

// verdict is Free for all while the search is switched off.
func (crs *crashes) verdict(fpr proto.Fingerprint) (crash.Status, crash.Suspicion) {
	if !crs.on {
		return crash.StatusFree, crash.Suspicion{}
	}
	return crs.suspects.Verdict(fpr)
}

// against returns why a request must not run any more. A suspect may run only in the suspect's place.
func (crs *crashes) against(fpr proto.Fingerprint, isolated bool) *stopped {
	switch verdict, _ := crs.verdict(fpr); {
	case verdict == crash.StatusBlocked:
		return &stopped{ReasonBlocked}
	case verdict == crash.StatusSuspected && !isolated:
		return &stopped{ReasonSuspectWaits}
	default:
		return nil
	}
}

// review stops attempts whose requests have come under suspicion elsewhere, before they crash this engine too.
func (crs *crashes) review() {
	crs.mu.Lock()
	list := make([]*runner, 0, len(crs.running))
	for id, rnr := range crs.running {
		if !rnr.ended && (crs.asking == nil || crs.asking.held[id] == nil) {
			list = append(list, rnr)
		}
	}
	crs.mu.Unlock()
	for _, rnr := range list {
		if sto := crs.against(rnr.fpr, rnr.isolated); sto != nil {
			crs.agent.metrics.Event("suspect-stopped")
			rnr.stop(sto)
		}
	}
}

// finished clears a suspect that the engine completed.
func (crs *crashes) finished(fpr proto.Fingerprint) {
	if verdict, cas := crs.verdict(fpr); verdict == crash.StatusSuspected {
		crs.suspects.Clear(cas)
	}
}

// place is the one place for a suspect on an engine. Of those that wait, the last one started before the crash goes
// first. The zero value is free.
type place struct {
	mu      sync.Mutex
	holder  *waiter
	waiting []*waiter
}

type waiter struct {
	rank    int
	granted chan struct{} // closed when the place is held
}

// enter asks for the place. The caller calls leave exactly once, whether it was granted or not.
func (plc *place) enter(rank int) *waiter {
	plc.mu.Lock()
	defer plc.mu.Unlock()
	wtr := &waiter{rank: rank, granted: make(chan struct{})}
	plc.waiting = append(plc.waiting, wtr)
	plc.grant()
	return wtr
}

func (plc *place) leave(wtr *waiter) {
	plc.mu.Lock()
	defer plc.mu.Unlock()
	plc.waiting = slices.DeleteFunc(plc.waiting, func(other *waiter) bool { return other == wtr })
	if plc.holder == wtr {
		plc.holder = nil
		plc.grant()
	}
}

func (plc *place) grant() {
	if plc.holder != nil || len(plc.waiting) == 0 {
		return
	}
	plc.holder = slices.MinFunc(plc.waiting, func(one, two *waiter) int { return cmp.Compare(one.rank, two.rank) })
	plc.waiting = slices.DeleteFunc(plc.waiting, func(other *waiter) bool { return other == plc.holder })
	close(plc.holder.granted)
}
