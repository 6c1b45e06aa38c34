package admit

import (
	"slices"
	"time"
)

// rateSampleTime is the least length of a rateSample of an engine that is never idle.
const rateSampleTime = 2 * time.Second

// minLongPrefill is the least remaining time that is predicted for an unfinished long prefill.
const minLongPrefill = 10 * time.Millisecond

// rateSample measures the prefill rate over a period in which the engine prefills without pause. The rate is not
// measured per request, because the engine interrupts one prefill for another that is due earlier.
type rateSample struct {
	start      time.Time
	tokens     int
	incomplete bool // the end of a prefill was assumed, not observed; the sample is discarded
}

// State describes the backlog of a Queue.
type State struct {
	Waiting       int
	QueuedPrefill time.Duration // predicted prefill time of all requests that wait or are being prefilled
	ShortWait     time.Duration // predicted time in queue of a short request that arrives now
	LongPrefill   time.Duration // part of QueuedPrefill for long requests; positive while there is one
}

// State returns the current state.
func (que *Queue) State() State {
	que.mu.Lock()
	defer que.mu.Unlock()
	now := que.opts.Clock.Now()
	short := que.opts.Model.PrefillTime(min(typicalShortTokens, que.opts.ShortLimit))
	all := que.dispatchedBacklog(now.Add(farFuture), now)
	for _, tick := range que.waiting {
		all += tick.prefillTime
	}
	long := que.longBacklog(now)
	return State{
		Waiting:       len(que.waiting),
		QueuedPrefill: max(all, long),
		LongPrefill:   long,
		ShortWait:     que.backlogBefore(now.Add(time.Duration(que.opts.ShortBias*float64(short))), now),
	}
}

// longBacklog returns the predicted prefill time left of long requests. A prefill that takes longer than predicted
// still counts as minLongPrefill, because the engine's steps stay long until it ends. The lock is held.
func (que *Queue) longBacklog(now time.Time) time.Duration {
	backlog := time.Duration(0)
	for idx, tick := range que.prefilling {
		if tick.reservation.Short {
			continue
		}
		left := tick.prefillTime
		if idx == 0 {
			left -= now.Sub(que.prefillStart(tick))
		}
		backlog += max(left, minLongPrefill)
	}
	for _, tick := range que.waiting {
		if !tick.reservation.Short {
			backlog += max(tick.prefillTime, minLongPrefill)
		}
	}
	return backlog
}

// prefillStart returns the time at which the engine is assumed to have started on tick, the request it works on now:
// its dispatch or the engine's last visible progress, whichever came later.
func (que *Queue) prefillStart(tick *Ticket) time.Time {
	if tick.dispatchedAt.After(que.lastProgress) {
		return tick.dispatchedAt
	}
	return que.lastProgress
}

// farFuture added to the current time lies beyond any due time.
const farFuture = 100 * 365 * 24 * time.Hour

// backlogBefore returns the predicted prefill time of all requests, waiting or dispatched, that come before a request
// of the given due time. The lock is held.
func (que *Queue) backlogBefore(due, now time.Time) time.Duration {
	backlog := que.dispatchedBacklog(due, now)
	for _, tick := range que.waiting {
		if tick.due.After(due) {
			break
		}
		backlog += tick.prefillTime
	}
	return backlog
}

// dispatchedBacklog returns the predicted prefill time left of the dispatched requests up to the given due time. The
// time since the engine's last visible progress is subtracted from the first request, which the engine works on. The
// lock is held.
func (que *Queue) dispatchedBacklog(due, now time.Time) time.Duration {
	backlog := time.Duration(0)
	for idx, tick := range que.prefilling {
		if tick.due.After(due) {
			break
		}
		left := tick.prefillTime
		if idx == 0 {
			left = max(0, left-now.Sub(que.prefillStart(tick)))
		}
		backlog += left
	}
	return backlog
}

// mayHaveStartedBefore reports whether a request that was dispatched before the ended one is still unprefilled: the
// engine may have prefilled a part of it.
func (que *Queue) mayHaveStartedBefore(ended *Ticket) bool {
	return slices.ContainsFunc(que.prefilling, func(tick *Ticket) bool {
		return tick.dispatchedAt.Before(ended.dispatchedAt)
	})
}

// observePrefillRate adds a prefill that has ended to the rate sample, and updates the model's prefill rate at the end
// of a sample. A sample does not end while another prefill may be partly done: all of its tokens would count in the
// next sample, which led to rates ten times too high. The lock is held.
func (que *Queue) observePrefillRate(tick *Ticket, now time.Time, visible bool) {
	que.lastProgress = now
	que.rateSample.tokens += tick.prefillTokens
	que.rateSample.incomplete = que.rateSample.incomplete || !visible
	took := now.Sub(que.rateSample.start)
	if len(que.prefilling) > 0 && (took < rateSampleTime || que.mayHaveStartedBefore(tick)) {
		return
	}
	if !que.rateSample.incomplete {
		que.opts.Model.ObservePrefill(que.rateSample.tokens, took)
	}
	que.rateSample = rateSample{start: now}
}
