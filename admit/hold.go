package admit

import (
	"time"

	"github.com/tarragonwheel/tarragonwheel/ledger"
)

// ReasonHoldRefused is the reason code of a hold that is not granted at once.
const ReasonHoldRefused = "hold-refused"

// claimTime is the time for which a refused hold keeps freed memory from long requests that arrive later. It exceeds
// the longest pause of an entry between two tries, so that the next try meets the claim.
const claimTime = 3 * time.Second

// claim is the memory that a refused hold asks for. It delays long requests that are not overdue, and nothing else; in
// particular no hold, so that holds never wait for each other.
type claim struct {
	reserve ledger.Reservation
	until   time.Time
}

// HoldRequest describes a part of a prompt that several engines share.
type HoldRequest struct {
	Request
	From int // first token of the part
	To   int // token after the last one; 0 for the rest of the prompt and the output
}

// Hold reserves memory for a part of a prompt, or refuses it at once. The work is announced with Begin, and the
// reservation ends with Release.
func (que *Queue) Hold(req HoldRequest) (*Ticket, error) {
	now := que.opts.Clock.Now()
	end, output := req.To, 0
	if end == 0 {
		end, output = que.opts.Model.Prompt(req.PromptTokens), req.OutputTokens
	}
	uncached := max(0, end-req.From)
	tick := &Ticket{
		que: que, request: req.Request, arrived: now, deadline: now.Add(req.Remaining), settled: true,
		prefill: que.opts.Model.Prefill(uncached), decode: que.opts.Model.Decode(output),
		uncached: uncached, ready: make(chan struct{}),
		reserve: ledger.Reservation{Owner: req.ID, Tokens: uncached + output, Hold: true},
	}
	close(tick.ready)
	que.mu.Lock()
	defer que.mu.Unlock()
	if que.refusing != "" {
		return nil, &Refusal{Reason: que.refusing, Detail: "the agent takes no new requests"}
	}
	if err := que.opts.Ledger.Hold(tick.reserve, que.overdue(now)); err != nil {
		que.claimFor(tick.reserve)
		return nil, &Refusal{Reason: ReasonHoldRefused, Detail: err.Error()}
	}
	que.claim = nil
	que.opts.Changed()
	return tick, nil
}

// Withdraw releases a hold whose work has not begun, because another agent of the group refused. It leaves a claim, so
// that the group finds the memory at its next try.
func (tick *Ticket) Withdraw() {
	que := tick.que
	que.mu.Lock()
	defer que.mu.Unlock()
	if que.opts.Ledger.Release(tick.request.ID) {
		que.claimFor(tick.reserve)
		que.handOver()
	}
}

// claimFor keeps memory for a hold, unless another hold has a claim already.
func (que *Queue) claimFor(rsv ledger.Reservation) {
	now := que.opts.Clock.Now()
	if que.claim == nil || now.After(que.claim.until) {
		que.claim = &claim{reserve: rsv, until: now.Add(claimTime)}
	}
}

// overdue returns the reservation of the first overdue request that waits, which no hold may delay further.
func (que *Queue) overdue(now time.Time) *ledger.Reservation {
	for _, tick := range que.waiting {
		if !now.Before(tick.guarded) {
			return &tick.reserve
		}
	}
	return nil
}

// claimed returns the reservation that a request must leave alone for the sake of a refused hold, if any.
func (que *Queue) claimed(tick *Ticket, now time.Time) *ledger.Reservation {
	if que.claim == nil || tick.reserve.Short || !now.Before(tick.guarded) || now.After(que.claim.until) {
		return nil
	}
	return &que.claim.reserve
}

// Begin counts the prefill of a held part from now on, and gives it its due time among the engine's requests.
func (tick *Ticket) Begin() {
	que := tick.que
	que.mu.Lock()
	defer que.mu.Unlock()
	now := que.opts.Clock.Now()
	tick.due = now.Add(time.Duration(que.opts.ShortBias * float64(tick.prefill)))
	que.pass(tick, now)
	que.opts.Changed()
}

// Prefilled records that the engine has prefilled a held part.
func (tick *Ticket) Prefilled() { tick.prefilled(true) }
