// Package admit is an agent's queue: it decides in which order requests reach the engine, and refuses at once what is
// predicted not to finish in its remaining time.
//
// Requests are ordered by due = arrival + short-bias x predicted prefill time. Later short requests overtake a long one
// only while their due time is earlier, so the number of requests that overtake it is bounded.
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
	// minHandedOver is the number of unprefilled requests that the engine may always hold: the one it works on and the
	// next, so that it does not idle for a round trip between two prefills.
	minHandedOver = 2
	maxRetryAfter = 30 * time.Second
	// typicalShortTokens is the prompt for which WaitShort is predicted.
	typicalShortTokens = 2000
)

// Options configure a Queue.
type Options struct {
	Clock      *timer.Service
	Model      *cost.Model
	Ledger     *ledger.Ledger
	ShortBias  float64
	ShortLimit int           // tokens
	Window     time.Duration // predicted prefill work that the engine may hold ahead of a request handed over
	Limit      int           // most requests waiting
	// Changed is called after each change of the queue or the ledger, with the queue locked. It must not block.
	Changed func()
}

// Request describes a request to admit.
type Request struct {
	ID           string // attempt ID
	PromptTokens int    // as predicted by the entry
	CachedTokens int
	OutputTokens int // upper bound
	Remaining    time.Duration
	// Streamed tells that the first token will be visible. Without it, prefill counts as finished when predicted.
	Streamed bool
}

// Refusal is the error of a request that was not run.
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
	prefilling []*Ticket // handed over, no first token yet; by due time
	progress   time.Time // of the last first token or hand-over to an idle engine
	span       span
	claim      *claim // of a hold that was refused
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
	prompt := que.opts.Model.Prompt(req.PromptTokens)
	uncached := max(0, prompt-req.CachedTokens)
	prefill := que.opts.Model.Prefill(uncached)
	tick := &Ticket{
		que:      que,
		request:  req,
		arrived:  now,
		deadline: now.Add(req.Remaining),
		due:      now.Add(time.Duration(que.opts.ShortBias * float64(prefill))),
		prefill:  prefill,
		decode:   que.opts.Model.Decode(req.OutputTokens),
		uncached: uncached,
		ready:    make(chan struct{}),
		reserve: ledger.Reservation{
			Owner: req.ID, Tokens: prompt + req.OutputTokens, Short: prompt <= que.opts.ShortLimit,
		},
	}
	tick.guarded = earlier(tick.due, now.Add((req.Remaining-prefill-tick.decode)/2))
	que.mu.Lock()
	defer que.mu.Unlock()
	if ref := que.refusal(tick, now); ref != nil {
		return nil, ref
	}
	que.waiting = insert(que.waiting, tick)
	que.handOver()
	return tick, nil
}

// refusal decides at arrival.
func (que *Queue) refusal(tick *Ticket, now time.Time) *Refusal {
	if que.refusing != "" {
		return &Refusal{Reason: que.refusing, Detail: "the agent takes no new requests"}
	}
	usg := que.opts.Ledger.Usage()
	limit := usg.LongMax
	if tick.reserve.Short {
		limit = usg.Tokens
	}
	if tick.reserve.Tokens > limit {
		return &Refusal{Reason: ReasonPromptTooLong, Detail: "prompt and output exceed the engine's memory"}
	}
	ahead := que.ahead(tick.due, now)
	if len(que.waiting) >= que.opts.Limit {
		return &Refusal{Reason: ReasonQueueFull, Detail: "too many requests wait", RetryAfter: retryAfter(ahead)}
	}
	late := ahead + tick.prefill + tick.decode - tick.request.Remaining
	if late > 0 {
		return &Refusal{
			Reason: ReasonCannotFinish, Detail: "predicted to finish after the deadline", RetryAfter: retryAfter(late),
		}
	}
	return nil
}

// handOver passes on each waiting request that the window, the memory and the slots allow, in due order.
func (que *Queue) handOver() {
	defer que.opts.Changed()
	now := que.opts.Clock.Now()
	var guarded *Ticket // the first overdue request that does not fit; later ones must leave its memory alone
	kept := que.waiting[:0:0]
	for idx, tick := range que.waiting {
		if !que.windowOpen(tick) {
			kept = append(kept, que.waiting[idx:]...) // Later requests have at least as much work ahead.
			break
		}
		if now.Add(que.held(tick.due, now) + tick.prefill + tick.decode).After(tick.deadline) {
			tick.settle(&Refusal{Reason: ReasonCannotFinish, Detail: "waited too long to finish in time"})
			continue
		}
		if !que.reserve(tick, guarded, now) {
			if guarded == nil && !now.Before(tick.guarded) {
				guarded = tick
			}
			kept = append(kept, tick)
			continue
		}
		que.pass(tick, now)
	}
	que.waiting = kept
}

func (que *Queue) reserve(tick, guarded *Ticket, now time.Time) bool {
	if guarded == nil {
		if clm := que.claimed(tick, now); clm != nil {
			return que.opts.Ledger.ReserveBeside(tick.reserve, *clm) == nil
		}
		return que.opts.Ledger.Reserve(tick.reserve) == nil
	}
	return que.opts.Ledger.ReserveBeside(tick.reserve, guarded.reserve) == nil
}

// windowOpen tells whether the engine holds little enough unprefilled work ahead of the request. Work of later due
// times does not count, because the engine's priority puts the request before it.
func (que *Queue) windowOpen(tick *Ticket) bool {
	count := 0
	work := time.Duration(0)
	for _, other := range que.prefilling {
		if other.due.After(tick.due) {
			break
		}
		count++
		work += other.prefill
	}
	return count < minHandedOver || work < que.opts.Window
}

func (que *Queue) pass(tick *Ticket, now time.Time) {
	if len(que.prefilling) == 0 {
		que.progress = now
		que.span = span{start: now}
	}
	que.prefilling = insert(que.prefilling, tick)
	tick.passed = now
	if !tick.request.Streamed {
		wait := que.held(tick.due, now)
		tick.assume = que.opts.Clock.After(wait, func() { tick.prefilled(false) })
	}
	tick.settle(nil)
}

// Refuse makes the Queue refuse new requests and those that wait with the given reason code. An empty one reopens it.
func (que *Queue) Refuse(reason string) {
	que.mu.Lock()
	defer que.mu.Unlock()
	que.refusing = reason
	if reason == "" {
		que.handOver()
		return
	}
	for _, tick := range que.waiting {
		tick.settle(&Refusal{Reason: reason, Detail: "the agent takes no new requests"})
	}
	que.waiting = nil
	que.opts.Changed()
}

// Retry hands over what has become possible after the ledger's size changed.
func (que *Queue) Retry() {
	que.mu.Lock()
	defer que.mu.Unlock()
	que.handOver()
}

// insert keeps the list in due order. Requests of equal due time stay in order of arrival.
func insert(list []*Ticket, tick *Ticket) []*Ticket {
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

func earlier(one, two time.Time) time.Time {
	if two.Before(one) {
		return two
	}
	return one
}

func retryAfter(wait time.Duration) time.Duration { return min(max(wait, time.Second), maxRetryAfter) }
