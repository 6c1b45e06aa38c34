package once

import (
	"context"
	"time"

	"github.com/tarragonwheel/tarragonwheel/proto"
)

// conduct records a call, runs it if it owns its key, and records its end.
func (rec *Recorder) conduct(ctx context.Context, cal *call, rqs Request, run Run) {
	clk := rec.opts.Clock
	// A deadline beyond half the window would let a paused owner run a key that others have forgotten.
	latest := clk.Now().Add(rec.opts.Window / 2)
	if rqs.Deadline.After(latest) {
		rqs.Deadline = latest
	}
	ctx, cancel := clk.WithTimeout(ctx, rqs.Deadline.Sub(clk.Now()))
	defer cancel()
	owns, decided := rec.await(ctx, cal)
	switch {
	case !decided && rec.passed(rqs.Deadline):
		rec.close(cal, Result{Outcome: proto.OutcomeNotRun, Reason: ReasonTimeout})
	case !decided:
		rec.close(cal, logUnavailable())
	case !owns:
		rec.mu.Lock()
		ent := rec.table.entries[cal.key]
		res := Result{Outcome: proto.OutcomeNotRun, Reason: ReasonAbandoning, RetryAfter: retryAfterAbandon}
		if ent != nil {
			known := *ent
			rec.mu.Unlock()
			res = rec.settle(ctx, rqs, known)
		} else { // The owner has withdrawn since.
			rec.mu.Unlock()
		}
		rec.close(cal, res)
	default:
		rec.execute(ctx, cal, rqs, run)
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
func (rec *Recorder) await(ctx context.Context, cal *call) (owns, decided bool) {
	lim, cancel := rec.opts.Clock.WithTimeout(ctx, rec.opts.RecordLimit)
	defer cancel()
	select {
	case owns := <-cal.decided:
		return owns, true
	case <-lim.Done():
	}
	rec.mu.Lock()
	defer rec.mu.Unlock()
	select {
	case owns := <-cal.decided:
		return owns, true
	default:
	}
	delete(rec.calls, cal.key)
	rec.dropQueued(cal.seq)
	return false, false
}

// close ends a call for all who wait for it.
func (rec *Recorder) close(cal *call, res Result) {
	rec.mu.Lock()
	if rec.calls[cal.key] == cal {
		delete(rec.calls, cal.key)
	}
	rec.mu.Unlock()
	cal.result = res
	close(cal.done)
}

func (rec *Recorder) execute(ctx context.Context, cal *call, rqs Request, run Run) {
	gate := func() error {
		if rec.passed(rqs.Deadline) || ctx.Err() != nil {
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
	rec.mu.Lock()
	res := rec.conclude(cal, ans, contacted, err)
	rec.mu.Unlock()
	if res.Outcome != proto.OutcomeDone && rec.passed(rqs.Deadline) {
		res.Reason = ReasonTimeout
	}
	rec.close(cal, res)
}

// conclude notes the end of a call and queues its record. The caller holds the lock.
func (rec *Recorder) conclude(cal *call, ans Answer, contacted bool, err error) Result {
	ent := rec.table.entries[cal.key]
	switch {
	case !contacted:
		if ent != nil {
			ent.state = stateSurrendered
		}
		rec.opts.Metrics.Event("once-abandoned")
		rec.enqueue(item{Kind: itemAbandon, Seq: cal.seq, Key: cal.key})
		return Result{Outcome: proto.OutcomeNotRun, Reason: ReasonNotReached, Detail: errorText(err)}
	case err != nil:
		return Result{Outcome: proto.OutcomeUnknown, Reason: ReasonServiceFailed, Detail: errorText(err)}
	}
	if ent != nil {
		rec.table.end(cal.key, ent, &ans)
	}
	recorded := ans
	if len(recorded.Body) > MaxRecordedBody {
		recorded.Body, recorded.Lost = nil, true
	}
	rec.enqueue(item{Kind: itemFinish, Seq: cal.seq, Key: cal.key, Print: cal.print, Answer: &recorded})
	return Result{Outcome: proto.OutcomeDone, Answer: &ans, Ran: true}
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}
