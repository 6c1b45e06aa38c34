package entry

import (
	"context"
	"time"

	"github.com/tarragonwheel/tarragonwheel/edge"
	"github.com/tarragonwheel/tarragonwheel/proto"
	"github.com/tarragonwheel/tarragonwheel/route"
)

// maxRetryAfter bounds the Retry-After of overload refusals, since a surge may end sooner than the queues suggest.
const maxRetryAfter = 30 * time.Second

// overloadRefusal returns the refusal of a call that is predicted to end after its deadline even at the best agent.
// That agent would refuse the call as well, but only after two messages, and another agent would be tried after it.
func (ent *Entry) overloadRefusal(plc *route.Placement, remaining time.Duration) (proto.Result, bool) {
	excess := plc.PredictedTotal() - remaining
	if excess <= 0 {
		return proto.Result{}, false
	}
	return proto.Result{
		Outcome: proto.OutcomeNotRun, Reason: ReasonOverloaded,
		RetryAfter: min(max(excess, time.Second), maxRetryAfter),
		Detail:     "all agents have work for longer than the time limit",
	}, true
}

// newHeartbeat returns a heartbeat message with the given configuration version.
func (ent *Entry) newHeartbeat(version int64) proto.Heartbeat {
	return proto.Heartbeat{StateVersion: version, Draining: ent.drain.draining(), Demand: ent.limits.HeartbeatDemand()}
}

// dispatchWithinQuota runs a call if the token limit of its client account allows it. The tokens of a call that did not
// run are refunded.
func (ent *Entry) dispatchWithinQuota(ctx context.Context, cal edge.Call, rep edge.Reply) proto.Result {
	if cal.Kind != proto.UpstreamEngine {
		return ent.dispatchAttempts(ctx, cal, rep) // The cost of calls to plain services in tokens is not known.
	}
	tokens := cal.Cost.PromptTokens + cal.Cost.OutputTokens
	wait, ok := ent.limits.Admit(cal.Account, tokens)
	if !ok {
		return proto.Result{
			Outcome: proto.OutcomeNotRun, Reason: edge.CodeQuota, RetryAfter: wait,
			Detail: "the client account has used up its limit of tokens a second",
		}
	}
	res := ent.dispatchAttempts(ctx, cal, rep)
	if res.Outcome == proto.OutcomeNotRun {
		ent.limits.Refund(cal.Account, tokens)
	}
	return res
}
