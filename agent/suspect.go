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
	// ReasonSuspectWaits refuses a suspected request while another one runs on the engine.
	ReasonSuspectWaits = "suspect-waits"
)

// maxSuspectWait is the longest time that a suspected request waits at an agent. Then the entry chooses an agent again.
const maxSuspectWait = 2 * time.Second

// crashRefusal is the error of an attempt that is refused or stopped because its request is suspected or blocked.
type crashRefusal struct{ reason string }

// Error implements error.
func (ref *crashRefusal) Error() string {
	if ref.reason == ReasonBlocked {
		return "this request has crashed the engines that ran it"
	}
	return "the request ran on an engine that crashed, and may run only apart from other such requests"
}

func (ref *crashRefusal) result() proto.Result {
	return proto.Result{Outcome: proto.OutcomeNotRun, Reason: ref.reason, Detail: ref.Error()}
}

// admit decides whether a request may run: a blocked request may not, and a suspected one waits until no other
// suspected request runs, at most maxSuspectWait. It returns the refusal, or release, which the caller calls after the
// run. The result isolated tells that the request holds the suspect slot.
func (crs *crashHandler) admit(ctx context.Context, msg proto.Open) (isolated bool, release func(), ref *crashRefusal) {
	status, sus := crs.status(msg.Fingerprint)
	if ref := refusalOnArrival(status, msg.Suspected); ref != nil {
		return false, nil, ref
	}
	if status != crash.StatusSuspected && (!crs.enabled || !msg.Suspected) {
		return false, func() {}, nil
	}
	lim, cancel := crs.agent.clock.WithTimeout(ctx, maxSuspectWait)
	defer cancel()
	wtr := crs.slot.acquire(sus.Position)
	for {
		changed, added := crs.agent.config.store.Changed(), crs.suspects.Changed()
		now, _ := crs.status(msg.Fingerprint)
		if now == crash.StatusBlocked || now == crash.StatusFree && status == crash.StatusSuspected {
			crs.slot.release(wtr)
			if now == crash.StatusBlocked {
				return false, nil, &crashRefusal{ReasonBlocked}
			}
			return false, func() {}, nil
		}
		select {
		case <-wtr.granted:
			return true, func() { crs.slot.release(wtr) }, nil
		case <-changed:
		case <-added:
		case <-lim.Done():
			crs.slot.release(wtr)
			return false, nil, &crashRefusal{ReasonSuspectWaits}
		}
	}
}

// refusalOnArrival returns why a request with the given status does not even wait, or nil. An entry that sends a
// suspect unmarked does not know the crash yet, and a copy of the request may run at the agent that all others choose.
func refusalOnArrival(status crash.Status, marked bool) *crashRefusal {
	switch {
	case status == crash.StatusBlocked:
		return &crashRefusal{ReasonBlocked}
	case status == crash.StatusSuspected && !marked:
		return &crashRefusal{ReasonSuspectWaits}
	default:
		return nil
	}
}

// status returns the status of a request in crash attribution: StatusFree for every request if attribution is disabled.
func (crs *crashHandler) status(fpr proto.Fingerprint) (crash.Status, crash.Suspicion) {
	if !crs.enabled {
		return crash.StatusFree, crash.Suspicion{}
	}
	return crs.suspects.Status(fpr)
}

// refusalFor returns why a running request must stop, or nil. A suspected request may run only if it is isolated, which
// means that it holds the suspect slot.
func (crs *crashHandler) refusalFor(fpr proto.Fingerprint, isolated bool) *crashRefusal {
	switch status, _ := crs.status(fpr); {
	case status == crash.StatusBlocked:
		return &crashRefusal{ReasonBlocked}
	case status == crash.StatusSuspected && !isolated:
		return &crashRefusal{ReasonSuspectWaits}
	default:
		return nil
	}
}

// stopSuspects stops attempts whose requests were suspected or blocked after a crash of another engine, before they
// crash this one too.
func (crs *crashHandler) stopSuspects() {
	crs.mu.Lock()
	list := make([]*runningAttempt, 0, len(crs.running))
	for id, att := range crs.running {
		if !att.ended && (crs.probe == nil || crs.probe.attempts[id] == nil) {
			list = append(list, att)
		}
	}
	crs.mu.Unlock()
	for _, att := range list {
		if ref := crs.refusalFor(att.fingerprint, att.isolated); ref != nil {
			crs.agent.metrics.CountEvent("suspect-stopped")
			att.stop(ref)
		}
	}
}

// clearSuspect clears a suspected request that the engine has completed.
func (crs *crashHandler) clearSuspect(fpr proto.Fingerprint) {
	if status, sus := crs.status(fpr); status == crash.StatusSuspected {
		crs.suspects.AddClear(sus)
	}
}

// suspectSlot lets one suspected request at a time run on the engine. Of those that wait, the one that started last
// before the crash is the most likely cause and goes first. The zero value is free.
type suspectSlot struct {
	mu      sync.Mutex
	holder  *waiter
	waiting []*waiter
}

type waiter struct {
	position int           // crash.Suspicion.Position; the lowest goes first
	granted  chan struct{} // closed when the waiter gets the slot
}

// acquire queues for the slot. The caller calls release exactly once, whether the slot was granted or not.
func (slt *suspectSlot) acquire(position int) *waiter {
	slt.mu.Lock()
	defer slt.mu.Unlock()
	wtr := &waiter{position: position, granted: make(chan struct{})}
	slt.waiting = append(slt.waiting, wtr)
	slt.grantNext()
	return wtr
}

func (slt *suspectSlot) release(wtr *waiter) {
	slt.mu.Lock()
	defer slt.mu.Unlock()
	slt.waiting = slices.DeleteFunc(slt.waiting, func(other *waiter) bool { return other == wtr })
	if slt.holder == wtr {
		slt.holder = nil
		slt.grantNext()
	}
}

func (slt *suspectSlot) grantNext() {
	if slt.holder != nil || len(slt.waiting) == 0 {
		return
	}
	slt.holder = slices.MinFunc(slt.waiting, func(one, two *waiter) int {
		return cmp.Compare(one.position, two.position)
	})
	slt.waiting = slices.DeleteFunc(slt.waiting, func(other *waiter) bool { return other == slt.holder })
	close(slt.holder.granted)
}
