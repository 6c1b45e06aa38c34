// Package admit queues requests in front of one engine. It decides in which order they are dispatched, and refuses at
// once a request that is predicted not to finish in its remaining time.
//
// Requests are ordered by due time: arrival + short-bias x predicted prefill time. A short request overtakes a long one
// that arrived earlier only if its due time is earlier, so a bounded number of requests overtakes a long one.
package admit

import (
	"slices"
	"sync"
	"time"

	"github.com/tarragonwheel/tarragonwheel/cost"
	"github.com/tarragonwheel/tarragonwheel/ledger"
	"github.com/tarragonwheel/tarragonwheel/timer"
)

// Reason codes of refusals. A refused request has not reached the engine and never will.
const (
	ReasonCannotFinish  = "cannot-finish-in-time"
	ReasonPromptTooLong = "prompt-too-long"
	ReasonQueueFull     = "queue-full"
	ReasonTimeout       = "deadline-exceeded"
	ReasonCancelled     = "cancelled"
)

const (
	// minDispatched is the number of unprefilled requests that may always be at the engine: the one it works on and the
	// next, so that it does not idle for a round trip between two prefills.
	minDispatched = 2
	maxRetryAfter = 30 * time.Second
	// typicalShortTokens is the prompt length for which State.ShortWait is predicted.
	typicalShortTokens = 2000
)

// Options configure a Queue.
type Options struct {
	Clock      *timer.Service
	Model      *cost.Model
	Ledger     *ledger.Ledger
	ShortBias  float64       // due time of a request, as a multiple of its predicted prefill time after arrival
	ShortLimit int           // longest prompt of a short request, in tokens
	Window     time.Duration // predicted prefill time that may be at the engine ahead of a request that is dispatched
	Limit      int           // maximum number of waiting requests
	// Changed is called after each change of the queue or the ledger, with the queue locked. It must not block.
	Changed func()
}

// Request describes a request to admit.
type Request struct {
	ID           string // attempt ID
	PromptTokens int    // as predicted by the entry
	CachedTokens int    // leading part of the prompt that is expected in the engine's prefix cache
	OutputTokens int    // upper bound
	Remaining    time.Duration
	// Streamed is set if the first token can be observed. Otherwise prefill is assumed to end at the predicted time.
	Streamed bool
}

// Refusal is the error of a request that was not executed.
type Refusal struct {
	Reason     string
	Detail     string
	RetryAfter time.Duration
}

// Error implements error.
func (ref *Refusal) Error() string { return "admit: " + ref.Reason + ": " + ref.Detail }

// Queue orders requests for one engine. It is safe for concurrent use.
type Queue struct {
	opts Options

	mu         sync.Mutex
	refusing   string    // reason code with which new requests are refused; empty while open
	waiting    []*Ticket // by due time
	prefilling []*Ticket // dispatched, no first token yet; by due time
	// lastProgress is the time of the last first token, or of the last dispatch to an idle engine.
	lastProgress time.Time
	rateSample   rateSample
	claim        *memoryClaim // for a part reservation that was refused; may have expired
}

// New returns an open Queue.
func New(opts Options) *Queue {
	if opts.Changed == nil {
		opts.Changed = func() {}
	}
	return &Queue{opts: opts}
}

// Submit queues a request, or refuses it with a *Refusal.
func (que *Queue) Submit(req Request) (*Ticket, error) {
	now := que.opts.Clock.Now()
	prompt := que.opts.Model.CorrectPromptTokens(req.PromptTokens)
	uncached := max(0, prompt-req.CachedTokens)
	prefill := que.opts.Model.PrefillTime(uncached)
	tick := &Ticket{
		que:           que,
		request:       req,
		arrived:       now,
		deadline:      now.Add(req.Remaining),
		due:           now.Add(time.Duration(que.opts.ShortBias * float64(prefill))),
		prefillTime:   prefill,
		decodeTime:    que.opts.Model.DecodeTime(req.OutputTokens),
		prefillTokens: uncached,
		ready:         make(chan struct{}),
		reservation: ledger.Reservation{
			AttemptID: req.ID, Tokens: prompt + req.OutputTokens, Short: prompt <= que.opts.ShortLimit,
		},
	}
	tick.protectFrom = earlierOf(tick.due, now.Add((req.Remaining-prefill-tick.decodeTime)/2))
	que.mu.Lock()
	defer que.mu.Unlock()
	if ref := que.checkArrival(tick, now); ref != nil {
		return nil, ref
	}
	que.waiting = insertByDue(que.waiting, tick)
	que.dispatchWaiting()
	return tick, nil
}

// checkArrival returns the reason to refuse a request that has just arrived, or nil. The lock is held.
func (que *Queue) checkArrival(tick *Ticket, now time.Time) *Refusal {
	if que.refusing != "" {
		return &Refusal{Reason: que.refusing, Detail: "the agent takes no new requests"}
	}
	usg := que.opts.Ledger.Usage()
	limit := usg.LongLimit
	if tick.reservation.Short {
		limit = usg.Tokens
	}
	if tick.reservation.Tokens > limit {
		return &Refusal{Reason: ReasonPromptTooLong, Detail: "prompt and output exceed the engine's memory"}
	}
	ahead := que.backlogBefore(tick.due, now)
	if len(que.waiting) >= que.opts.Limit {
		return &Refusal{Reason: ReasonQueueFull, Detail: "too many requests wait", RetryAfter: retryAfter(ahead)}
	}
	late := ahead + tick.prefillTime + tick.decodeTime - tick.request.Remaining
	if late > 0 {
		return &Refusal{
			Reason: ReasonCannotFinish, Detail: "predicted to finish after the deadline", RetryAfter: retryAfter(late),
		}
	}
	return nil
}

// dispatchWaiting dispatches each waiting request that the window, the memory and the slots allow, in due order. It
// refuses those that can no longer finish in time. The lock is held.
func (que *Queue) dispatchWaiting() {
	defer que.opts.Changed()
	now := que.opts.Clock.Now()
	var overdue *Ticket // the first overdue request that does not fit; later ones must leave its memory free
	kept := que.waiting[:0:0]
	for idx, tick := range que.waiting {
		if !que.windowOpen(tick) {
			kept = append(kept, que.waiting[idx:]...) // Later requests have at least as much backlog ahead.
			break
		}
		if now.Add(que.dispatchedBacklog(tick.due, now) + tick.prefillTime + tick.decodeTime).After(tick.deadline) {
			tick.resolve(&Refusal{Reason: ReasonCannotFinish, Detail: "waited too long to finish in time"})
			continue
		}
		if !que.reserve(tick, overdue, now) {
			if overdue == nil && !now.Before(tick.protectFrom) {
				overdue = tick
			}
			kept = append(kept, tick)
			continue
		}
		que.dispatch(tick, now)
	}
	que.waiting = kept
}

// reserve reserves the request's memory and slot, if they are free. It leaves free what an overdue request that waits
// before it needs or, without one, what a memoryClaim keeps. The lock is held.
func (que *Queue) reserve(tick, overdue *Ticket, now time.Time) bool {
	if overdue == nil {
		if clm := que.claimAhead(tick, now); clm != nil {
			return que.opts.Ledger.ReserveWithoutDelaying(tick.reservation, *clm) == nil
		}
		return que.opts.Ledger.Reserve(tick.reservation) == nil
	}
	return que.opts.Ledger.ReserveWithoutDelaying(tick.reservation, overdue.reservation) == nil
}

// windowOpen reports whether fewer than minDispatched requests or less than a window of prefill is at the engine ahead
// of the request. Requests that are due later do not count, because the engine's priority puts this request before
// them. The lock is held.
func (que *Queue) windowOpen(tick *Ticket) bool {
	count := 0
	backlog := time.Duration(0)
	for _, other := range que.prefilling {
		if other.due.After(tick.due) {
			break
		}
		count++
		backlog += other.prefillTime
	}
	return count < minDispatched || backlog < que.opts.Window
}

// dispatch lets the request go to the engine and tracks its prefill. The lock is held.
func (que *Queue) dispatch(tick *Ticket, now time.Time) {
	if len(que.prefilling) == 0 {
		que.lastProgress = now
		que.rateSample = rateSample{start: now}
	}
	que.prefilling = insertByDue(que.prefilling, tick)
	tick.dispatchedAt = now
	if !tick.request.Streamed {
		wait := que.dispatchedBacklog(tick.due, now)
		tick.prefillTimer = que.opts.Clock.After(wait, func() { tick.endPrefill(false) })
	}
	tick.resolve(nil)
}

// Refuse makes the Queue refuse all waiting and all new requests with the given reason code. An empty reason code
// reopens the Queue.
func (que *Queue) Refuse(reason string) {
	que.mu.Lock()
	defer que.mu.Unlock()
	que.refusing = reason
	if reason == "" {
		que.dispatchWaiting()
		return
	}
	for _, tick := range que.waiting {
		tick.resolve(&Refusal{Reason: reason, Detail: "the agent takes no new requests"})
	}
	que.waiting = nil
	que.opts.Changed()
}

// DispatchAfterResize dispatches the waiting requests that fit after the ledger's size has changed.
func (que *Queue) DispatchAfterResize() {
	que.mu.Lock()
	defer que.mu.Unlock()
	que.dispatchWaiting()
}

// insertByDue inserts a request into a list that is sorted by due time. Requests with the same due time stay in order
// of arrival.
func insertByDue(list []*Ticket, tick *Ticket) []*Ticket {
	idx, _ := slices.BinarySearchFunc(list, tick, func(other, tick *Ticket) int {
		if other.due.After(tick.due) {
			return 1
		}
		return -1
	})
	return slices.Insert(list, idx, tick)
}

func remove(list []*Ticket, tick *Ticket) ([]*Ticket, bool) {
	idx := slices.Index(list, tick)
	if idx < 0 {
		return list, false
	}
	return slices.Delete(list, idx, idx+1), true
}

func earlierOf(one, two time.Time) time.Time {
	if two.Before(one) {
		return two
	}
	return one
}

func retryAfter(wait time.Duration) time.Duration { return min(max(wait, time.Second), maxRetryAfter) }
