package once

import (
	"context"
	"time"

	"github.com/tarragonwheel/tarragonwheel/proto"
)

// conduct records a call, runs it if it owns its key, and records its end.
func (slt *slot) conduct(ctx context.Context, cal *call, rqs Request, run Run) {
	clk := slt.rec.opts.Clock
	// A deadline beyond half the window would let a paused owner run a key that others have forgotten.
	latest := clk.Now().Add(slt.rec.opts.Window / 2)
	if rqs.Deadline.After(latest) {
		rqs.Deadline = latest
	}
	ctx, cancel := clk.WithTimeout(ctx, rqs.Deadline.Sub(clk.Now()))
	defer cancel()
	owns, decided := slt.await(ctx, cal)
	switch {
	case !decided && slt.rec.passed(rqs.Deadline):
		slt.close(cal, Result{Outcome: proto.OutcomeNotRun, Reason: ReasonTimeout})
	case !decided:
		slt.close(cal, logUnavailable())
	case !owns:
		slt.mu.Lock()
		ent := slt.table.entries[cal.key]
		res := Result{Outcome: proto.OutcomeNotRun, Reason: ReasonAbandoning, RetryAfter: retryAfterAbandon}
		if ent != nil {
			known := *ent
			slt.mu.Unlock()
			res = slt.settle(ctx, rqs, known)
		} else { // The owner has withdrawn since.
			slt.mu.Unlock()
		}
		slt.close(cal, res)
	default:
		slt.execute(ctx, cal, rqs, run)
	}
}

// passed tells whether a deadline lies behind. The monotonic clock of a suspended VM may have stood still, and the wall
// clock may have been set back, so either suffices.
func (rec *Recorder) passed(deadline time.Time) bool {
	now := rec.opts.Clock.Now()
	return !now.Before(deadline) || !now.Round(0).Before(deadline.Round(0))
}

// await returns when the call's start has been read, or gives up the right to run the call. Only a call that is still
// waiting when its start is read can own the key.
func (slt *slot) await(ctx context.Context, cal *call) (owns, decided bool) {
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

// close ends a call for all who wait for it.
func (slt *slot) close(cal *call, res Result) {
	slt.mu.Lock()
	if slt.calls[cal.key] == cal {
		delete(slt.calls, cal.key)
	}
	slt.mu.Unlock()
	cal.result = res
	close(cal.done)
}

func (slt *slot) execute(ctx context.Context, cal *call, rqs Request, run Run) {
	gate := func() error {
		if slt.rec.passed(rqs.Deadline) || ctx.Err() != nil {
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
	res := slt.conclude(cal, ans, contacted, err)
	slt.mu.Unlock()
	if res.Outcome != proto.OutcomeDone && slt.rec.passed(rqs.Deadline) {
		res.Reason = ReasonTimeout
	}
	slt.close(cal, res)
}

// conclude notes the end of a call and queues its record. The caller holds the lock.
func (slt *slot) conclude(cal *call, ans Answer, contacted bool, err error) Result {
	ent := slt.table.entries[cal.key]
	switch {
	case !contacted:
		if ent != nil {
			ent.state = stateSurrendered
		}
		slt.rec.opts.Metrics.Event("once-abandoned")
		slt.enqueue(item{Kind: itemAbandon, Seq: cal.seq, Key: cal.key})
		return Result{Outcome: proto.OutcomeNotRun, Reason: ReasonNotReached, Detail: errorText(err)}
	case err != nil:
		return Result{Outcome: proto.OutcomeUnknown, Reason: ReasonServiceFailed, Detail: errorText(err)}
	}
	if ent != nil {
		slt.table.end(cal.key, ent, &ans)
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
