package admit

import (
	"context"
	"errors"
	"time"

	"github.com/tarragonwheel/tarragonwheel/ledger"
	"github.com/tarragonwheel/tarragonwheel/timer"
)

// Ticket is a queued request. After Wait has returned nil it holds a reservation, which Release ends.
type Ticket struct {
	que      *Queue
	request  Request
	arrived  time.Time
	deadline time.Time
	due      time.Time
	// guarded is the time from which the request's memory is kept from later ones: its due time, or half-way to its
	// latest start if that is earlier, so that a request with a short time limit is not passed until it is too late.
	guarded  time.Time
	prefill  time.Duration
	decode   time.Duration
	uncached int // tokens to prefill
	reserve  ledger.Reservation
	ready    chan struct{} // closed once the request is handed over or refused

	// Guarded by the queue's lock.
	settled bool
	refusal *Refusal
	passed  time.Time // when it was handed over
	assume  *timer.Subscription
}

// Priority returns the due time in microseconds since the epoch. The engine prefers lower ones.
func (tick *Ticket) Priority() int64 { return tick.due.UnixMicro() }

// Ready is closed once the request has been handed over or refused; Wait then returns at once.
func (tick *Ticket) Ready() <-chan struct{} { return tick.ready }

// Queued returns the time that the request has waited. It is constant once Wait has returned.
func (tick *Ticket) Queued() time.Duration { return tick.passed.Sub(tick.arrived) }

// Prompt returns the predicted number of prompt tokens and the upper bound of output tokens.
func (tick *Ticket) Prompt() (prompt, output int) {
	return tick.request.PromptTokens, tick.request.OutputTokens
}

// settle ends the wait. The queue is locked.
func (tick *Ticket) settle(ref *Refusal) {
	if tick.settled {
		return
	}
	tick.settled = true
	tick.refusal = ref
	close(tick.ready)
}

// Wait returns nil once the request may go to the engine, or a *Refusal if it must not. After a refusal no reservation
// is left.
func (tick *Ticket) Wait(ctx context.Context) error {
	select {
	case <-tick.ready:
	case <-ctx.Done():
		tick.withdraw(ctx)
	}
	if tick.refusal != nil {
		return tick.refusal
	}
	if ctx.Err() != nil {
		tick.Release()
		return ended(ctx)
	}
	return nil
}

func ended(ctx context.Context) *Refusal {
	if errors.Is(context.Cause(ctx), context.DeadlineExceeded) {
		return &Refusal{Reason: ReasonTimeout, Detail: "the time limit ran out in the queue"}
	}
	return &Refusal{Reason: ReasonCancelled, Detail: "cancelled in the queue"}
}

// withdraw leaves the queue, unless the request was handed over in the meantime.
func (tick *Ticket) withdraw(ctx context.Context) {
	que := tick.que
	que.mu.Lock()
	defer que.mu.Unlock()
	if tick.settled {
		return
	}
	que.waiting, _ = remove(que.waiting, tick)
	tick.settle(ended(ctx))
	que.handOver()
}

// FirstToken records that the engine has sent the first part of its answer.
func (tick *Ticket) FirstToken() { tick.prefilled(tick.request.Streamed) }

func (tick *Ticket) prefilled(visible bool) {
	que := tick.que
	que.mu.Lock()
	defer que.mu.Unlock()
	var held bool
	que.prefilling, held = remove(que.prefilling, tick)
	if held {
		que.observe(tick, que.opts.Clock.Now(), visible)
		que.handOver()
	}
}

// Release ends the reservation. It must be called once the engine no longer holds the request, and not before. It
// tells whether there was a reservation.
func (tick *Ticket) Release() bool {
	if tick.assume != nil {
		tick.assume.Stop()
	}
	tick.prefilled(false)
	que := tick.que
	que.mu.Lock()
	defer que.mu.Unlock()
	freed := que.opts.Ledger.Release(tick.request.ID)
	if freed {
		que.handOver()
	}
	return freed
}
