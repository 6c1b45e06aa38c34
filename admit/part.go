package admit

import (
	"time"

	"github.com/tarragonwheel/tarragonwheel/ledger"
)

// ReasonPartRefused is the reason code of a part reservation that does not fit now.
const ReasonPartRefused = "hold-refused"

// claimTTL is the lifetime of a memoryClaim. It exceeds the longest backoff of an entry between two attempts, so that
// the claim still exists at the next attempt.
const claimTTL = 3 * time.Second

// memoryClaim keeps freed memory for a part reservation that was refused, until the entry tries again. It delays only
// long requests that are not overdue. It delays no other part reservation, so that these never wait for each other.
type memoryClaim struct {
	reservation ledger.Reservation
	until       time.Time
}

// PartRequest asks for the memory of one part of a prompt that is split over several engines.
type PartRequest struct {
	Request
	From int // first token of the part
	To   int // first token after the part; 0 for the rest of the prompt and the output
}

// ReservePart reserves memory for a part of a split prompt, or returns a *Refusal at once: it never queues.
// BeginPrefill marks the start of the part's prefill, and Release ends the reservation.
func (que *Queue) ReservePart(req PartRequest) (*Ticket, error) {
	now := que.opts.Clock.Now()
	end, output := req.To, 0
	if end == 0 {
		end, output = que.opts.Model.Prompt(req.PromptTokens), req.OutputTokens
	}
	uncached := max(0, end-req.From)
	tick := &Ticket{
		que: que, request: req.Request, arrived: now, deadline: now.Add(req.Remaining), resolved: true,
		prefillTime: que.opts.Model.Prefill(uncached), decodeTime: que.opts.Model.Decode(output),
		prefillTokens: uncached, ready: make(chan struct{}),
		reservation: ledger.Reservation{AttemptID: req.ID, Tokens: uncached + output, Part: true},
	}
	close(tick.ready)
	que.mu.Lock()
	defer que.mu.Unlock()
	if que.refusing != "" {
		return nil, &Refusal{Reason: que.refusing, Detail: "the agent takes no new requests"}
	}
	if err := que.opts.Ledger.ReservePart(tick.reservation, que.firstOverdue(now)); err != nil {
		que.claimMemory(tick.reservation)
		return nil, &Refusal{Reason: ReasonPartRefused, Detail: err.Error()}
	}
	que.claim = nil
	que.opts.Changed()
	return tick, nil
}

// Withdraw releases a part reservation whose prefill has not begun, because another agent of the group refused its
// part. It leaves a memoryClaim, so that the memory is still free at the group's next attempt.
func (tick *Ticket) Withdraw() {
	que := tick.que
	que.mu.Lock()
	defer que.mu.Unlock()
	if que.opts.Ledger.Release(tick.request.ID) {
		que.claimMemory(tick.reservation)
		que.dispatchWaiting()
	}
}

// claimMemory sets the memoryClaim to the given reservation, unless another one is still valid. The lock is held.
func (que *Queue) claimMemory(rsv ledger.Reservation) {
	now := que.opts.Clock.Now()
	if que.claim == nil || now.After(que.claim.until) {
		que.claim = &memoryClaim{reservation: rsv, until: now.Add(claimTTL)}
	}
}

// firstOverdue returns the reservation of the first waiting request that is overdue (see Ticket.protectFrom), or nil.
// No part reservation may delay it further. The lock is held.
func (que *Queue) firstOverdue(now time.Time) *ledger.Reservation {
	for _, tick := range que.waiting {
		if !now.Before(tick.protectFrom) {
			return &tick.reservation
		}
	}
	return nil
}

// claimAhead returns the claimed reservation whose memory the request must leave free, or nil. Only long requests that
// are not overdue yield to a claim. The lock is held.
func (que *Queue) claimAhead(tick *Ticket, now time.Time) *ledger.Reservation {
	if que.claim == nil || tick.reservation.Short || !now.Before(tick.protectFrom) || now.After(que.claim.until) {
		return nil
	}
	return &que.claim.reservation
}

// BeginPrefill records that the engine now starts the prefill of a reserved part, and sets the part's due time. From
// then on, the part counts in the predictions for other requests.
func (tick *Ticket) BeginPrefill() {
	que := tick.que
	que.mu.Lock()
	defer que.mu.Unlock()
	now := que.opts.Clock.Now()
	tick.due = now.Add(time.Duration(que.opts.ShortBias * float64(tick.prefillTime)))
	que.dispatch(tick, now)
	que.opts.Changed()
}

// EndPrefill records that the engine has prefilled a reserved part.
func (tick *Ticket) EndPrefill() { tick.endPrefill(true) }
