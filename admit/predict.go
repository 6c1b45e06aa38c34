package admit

import (
	"slices"
	"time"
)

// sampleSpan is the time after which a rate is taken from an engine that is never idle.
const sampleSpan = 2 * time.Second

// leastLongWork is what a long prefill counts that should have ended by now.
const leastLongWork = 10 * time.Millisecond

// span is a time in which the engine prefills without pause. A rate is taken over the whole span and not per request,
// because the engine interrupts one prefill for another of a lower due time.
type span struct {
	start   time.Time
	tokens  int
	spoiled bool // a prefill ended unseen, so the tokens are not all counted
}

// State is what a Queue has to do.
type State struct {
	Waiting   int
	Work      time.Duration // predicted prefill work of all requests that wait or are being prefilled
	WaitShort time.Duration // predicted wait of a short request that arrives now
	LongWork  time.Duration // part of Work of requests that are not short; positive while there is one
}

// State returns the current state.
func (que *Queue) State() State {
	que.mu.Lock()
	defer que.mu.Unlock()
	now := que.opts.Clock.Now()
	short := que.opts.Model.Prefill(min(typicalShortTokens, que.opts.ShortLimit))
	all := que.held(now.Add(timeLimit), now)
	for _, tick := range que.waiting {
		all += tick.prefill
	}
	long := que.longWork(now)
	return State{
		Waiting:   len(que.waiting),
		Work:      max(all, long),
		LongWork:  long,
		WaitShort: que.ahead(now.Add(time.Duration(que.opts.ShortBias*float64(short))), now),
	}
}

// longWork predicts the prefill work left of requests that are not short. A prefill that takes longer than predicted
// still counts as leastLongWork, because the engine's steps are long for as long as it lasts.
func (que *Queue) longWork(now time.Time) time.Duration {
	work := time.Duration(0)
	for idx, tick := range que.prefilling {
		if tick.reserve.Short {
			continue
		}
		left := tick.prefill
		if idx == 0 {
			left -= now.Sub(que.begun(tick))
		}
		work += max(left, leastLongWork)
	}
	for _, tick := range que.waiting {
		if !tick.reserve.Short {
			work += max(tick.prefill, leastLongWork)
		}
	}
	return work
}

// begun returns the time from which the engine is taken to work on the first request that it holds.
func (que *Queue) begun(tick *Ticket) time.Time {
	if tick.passed.After(que.progress) {
		return tick.passed
	}
	return que.progress
}

// timeLimit lies beyond any due time.
const timeLimit = 100 * 365 * 24 * time.Hour

// ahead predicts the prefill work done before a request of the given due time.
func (que *Queue) ahead(due, now time.Time) time.Duration {
	work := que.held(due, now)
	for _, tick := range que.waiting {
		if tick.due.After(due) {
			break
		}
		work += tick.prefill
	}
	return work
}

// held predicts the prefill work that the engine holds, up to the given due time. The engine works on the first request
// since its last visible progress, so that time is subtracted.
func (que *Queue) held(due, now time.Time) time.Duration {
	work := time.Duration(0)
	for idx, tick := range que.prefilling {
		if tick.due.After(due) {
			break
		}
		left := tick.prefill
		if idx == 0 {
			left = max(0, left-now.Sub(que.begun(tick)))
		}
		work += left
	}
	return work
}

// begunBefore tells whether the engine may have begun a prefill that it held before the one that has ended.
func (que *Queue) begunBefore(ended *Ticket) bool {
	return slices.ContainsFunc(que.prefilling, func(tick *Ticket) bool { return tick.passed.Before(ended.passed) })
}

// observe corrects the prefill rate after a prefill has ended. A span does not end while the engine may hold part of a
// prefill, whose tokens would all count to the next span: that made rates ten times too high.
func (que *Queue) observe(tick *Ticket, now time.Time, visible bool) {
	que.progress = now
	que.span.tokens += tick.uncached
	que.span.spoiled = que.span.spoiled || !visible
	took := now.Sub(que.span.start)
	if len(que.prefilling) > 0 && (took < sampleSpan || que.begunBefore(tick)) {
		return
	}
	if !que.span.spoiled {
		que.opts.Model.ObservePrefill(que.span.tokens, took)
	}
	que.span = span{start: now}
}
