package once

import (
	"context"
	"time"

	"github.com/tarragonwheel/tarragonwheel/proto"
)

// recordAndRun waits until the call's start is recorded, runs the call if it owns its key, and records its end.
func (slt *slot) recordAndRun(ctx context.Context, cal *call, rqs Request, run Run) {
	clk := slt.rec.opts.Clock
	// With a deadline beyond half the window, an owner that was paused could run a call whose key other processes have
	// forgotten.
	latest := clk.Now().Add(slt.rec.opts.Window / 2)
	if rqs.Deadline.After(latest) {
		rqs.Deadline = latest
	}
	ctx, cancel := clk.WithTimeout(ctx, rqs.Deadline.Sub(clk.Now()))
	defer cancel()
	owns, decided := slt.awaitOwnership(ctx, cal)
	switch {
	case !decided && slt.rec.deadlinePassed(rqs.Deadline):
		slt.finishCall(cal, Result{Outcome: proto.OutcomeNotRun, Reason: ReasonTimeout})
	case !decided:
		slt.finishCall(cal, logUnavailable())
	case !owns:
		slt.mu.Lock()
		ent := slt.table.entries[cal.key]
		res := Result{Outcome: proto.OutcomeNotRun, Reason: ReasonAbandoning, RetryAfter: retryAfterAbandon}
		if ent != nil {
			known := *ent
			slt.mu.Unlock()
			res = slt.resultOfEntry(ctx, rqs, known)
		} else { // The owner has abandoned the call since.
			slt.mu.Unlock()
		}
		slt.finishCall(cal, res)
	default:
		slt.runOwned(ctx, cal, rqs, run)
	}
}

// deadlinePassed reports whether a deadline has passed on the monotonic clock or on the wall clock. Either suffices,
// because the monotonic clock may have stopped while the VM was suspended, and the wall clock may have been set back.
func (rec *Recorder) deadlinePassed(deadline time.Time) bool {
	now := rec.opts.Clock.Now()
	return !now.Before(deadline) || !now.Round(0).Before(deadline.Round(0))
}

// awaitOwnership waits until the call's start has been read, and reports whether the call owns its key. If that takes
// longer than the record limit, it returns decided = false: the call has given up and can't own the key any more.
func (slt *slot) awaitOwnership(ctx context.Context, cal *call) (owns, decided bool) {
	lim, cancel := slt.rec.opts.Clock.WithTimeout(ctx, slt.rec.opts.RecordLimit)
	defer cancel()
	select {
	case owns := <-cal.decided:
		return owns, true
	case <-lim.Done():
	}
	slt.mu.Lock()
	defer slt.mu.Unlock()
	select {
	case owns := <-cal.decided:
		return owns, true
	default:
	}
	delete(slt.calls, cal.key)
	slt.dropQueued(cal.seq)
	return false, false
}

// finishCall sets the result of a call and wakes all that wait for it.
func (slt *slot) finishCall(cal *call, res Result) {
	slt.mu.Lock()
	if slt.calls[cal.key] == cal {
		delete(slt.calls, cal.key)
	}
	slt.mu.Unlock()
	cal.result = res
	close(cal.done)
}

// runOwned runs a call that owns its key, unless its deadline has passed, and records the outcome.
func (slt *slot) runOwned(ctx context.Context, cal *call, rqs Request, run Run) {
	gate := func() error {
		if slt.rec.deadlinePassed(rqs.Deadline) || ctx.Err() != nil {
			return ErrTooLate
		}
		return nil
	}
	var ans Answer
	contacted := false
	err := gate()
	if err == nil {
		ans, contacted, err = run(ctx, gate)
	}
	slt.mu.Lock()
	res := slt.recordOutcome(cal, ans, contacted, err)
	slt.mu.Unlock()
	if res.Outcome != proto.OutcomeDone && slt.rec.deadlinePassed(rqs.Deadline) {
		res.Reason = ReasonTimeout
	}
	slt.finishCall(cal, res)
}

// recordOutcome updates the table at the end of a call and queues the item for the log. A call that failed after the
// service was contacted gets no item: its outcome is unknown. The caller holds the lock.
func (slt *slot) recordOutcome(cal *call, ans Answer, contacted bool, err error) Result {
	ent := slt.table.entries[cal.key]
	switch {
	case !contacted:
		if ent != nil {
			ent.state = stateAbandoning
		}
		slt.rec.opts.Metrics.CountEvent("once-abandoned")
		slt.enqueue(item{Kind: itemAbandon, Seq: cal.seq, Key: cal.key})
		return Result{Outcome: proto.OutcomeNotRun, Reason: ReasonNotReached, Detail: errorText(err)}
	case err != nil:
		return Result{Outcome: proto.OutcomeUnknown, Reason: ReasonServiceFailed, Detail: errorText(err)}
	}
	if ent != nil {
		slt.table.setAnswer(cal.key, ent, &ans)
	}
	recorded := ans
	if len(recorded.Body) > MaxRecordedBody {
		recorded.Body, recorded.Lost = nil, true
	}
	slt.enqueue(item{Kind: itemFinish, Seq: cal.seq, Key: cal.key, Print: cal.print, Answer: &recorded})
	return Result{Outcome: proto.OutcomeDone, Answer: &ans, Ran: true}
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}
