package admit

import (
	"context"
	"errors"
	"time"

	"github.com/tarragonwheel/tarragonwheel/ledger"
	"github.com/tarragonwheel/tarragonwheel/timer"
)

// Ticket is a request in the Queue. After Wait has returned nil it has a reservation, which Release ends.
type Ticket struct {
	que      *Queue
	request  Request
	arrived  time.Time
	deadline time.Time
	due      time.Time
	// protectFrom is the time from which the request is overdue: later requests must leave its memory free. It is the
	// due time, or half-way to the latest possible start if that is earlier, so that a request with a short time limit
	// is not overtaken until it is too late.
	protectFrom   time.Time
	prefillTime   time.Duration
	decodeTime    time.Duration
	prefillTokens int // predicted prompt tokens that are not cached
	reservation   ledger.Reservation
	ready         chan struct{} // closed once the request is dispatched or refused

	// The queue's lock guards the fields below.
	resolved     bool
	refusal      *Refusal
	dispatchedAt time.Time
	prefillTimer *timer.Subscription
}

// Priority returns the due time in microseconds since the epoch. The engine prefers lower ones.
func (tick *Ticket) Priority() int64 { return tick.due.UnixMicro() }

// Ready is closed once the request has been dispatched or refused; Wait then returns at once.
func (tick *Ticket) Ready() <-chan struct{} { return tick.ready }

// Queued returns the time that the request spent in the queue. It is valid once Wait has returned nil.
func (tick *Ticket) Queued() time.Duration { return tick.dispatchedAt.Sub(tick.arrived) }

// Prompt returns the predicted number of prompt tokens and the upper bound of output tokens.
func (tick *Ticket) Prompt() (prompt, output int) {
	return tick.request.PromptTokens, tick.request.OutputTokens
}

// resolve ends the wait: with a refusal, or with nil if the request is dispatched. Later calls do nothing. The lock is
// held.
func (tick *Ticket) resolve(ref *Refusal) {
	if tick.resolved {
		return
	}
	tick.resolved = true
	tick.refusal = ref
	close(tick.ready)
}

// Wait returns nil once the request may be sent to the engine, or a *Refusal if it must not. After a refusal no
// reservation is left.
func (tick *Ticket) Wait(ctx context.Context) error {
	select {
	case <-tick.ready:
	case <-ctx.Done():
		tick.leaveQueue(ctx)
	}
	if tick.refusal != nil {
		return tick.refusal
	}
	if ctx.Err() != nil {
		tick.Release()
		return refusalOfEnded(ctx)
	}
	return nil
}

// refusalOfEnded returns the refusal of a request whose context has ended in the queue.
func refusalOfEnded(ctx context.Context) *Refusal {
	if errors.Is(context.Cause(ctx), context.DeadlineExceeded) {
		return &Refusal{Reason: ReasonTimeout, Detail: "the time limit ran out in the queue"}
	}
	return &Refusal{Reason: ReasonCancelled, Detail: "cancelled in the queue"}
}

// leaveQueue removes the request from the queue, unless it was dispatched in the meantime.
func (tick *Ticket) leaveQueue(ctx context.Context) {
	que := tick.que
	que.mu.Lock()
	defer que.mu.Unlock()
	if tick.resolved {
		return
	}
	que.waiting, _ = remove(que.waiting, tick)
	tick.resolve(refusalOfEnded(ctx))
	que.dispatchWaiting()
}

// FirstToken records that the engine has sent the first part of its answer, which ends the prefill.
func (tick *Ticket) FirstToken() { tick.endPrefill(tick.request.Streamed) }

// endPrefill records the end of the request's prefill, if it was dispatched and is not recorded yet. Visible tells that
// the end was observed and not assumed.
func (tick *Ticket) endPrefill(visible bool) {
	que := tick.que
	que.mu.Lock()
	defer que.mu.Unlock()
	var removed bool
	que.prefilling, removed = remove(que.prefilling, tick)
	if removed {
		que.observePrefillRate(tick, que.opts.Clock.Now(), visible)
		que.dispatchWaiting()
	}
}

// Release ends the reservation and reports whether there was one. It must be called once the engine no longer has the
// request, and not before.
func (tick *Ticket) Release() bool {
	if tick.prefillTimer != nil {
		tick.prefillTimer.Stop()
	}
	tick.endPrefill(false)
	que := tick.que
	que.mu.Lock()
	defer que.mu.Unlock()
	freed := que.opts.Ledger.Release(tick.request.ID)
	if freed {
		que.dispatchWaiting()
	}
	return freed
}
