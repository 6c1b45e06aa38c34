package entry

import (
	"context"
	"time"

	"github.com/tarragonwheel/tarragonwheel/edge"
	"github.com/tarragonwheel/tarragonwheel/proto"
	"github.com/tarragonwheel/tarragonwheel/route"
)

// maxRetryAfter bounds the advice to callers: a surge may end sooner than the work in the queues suggests.
const maxRetryAfter = 30 * time.Second

// overloaded refuses a call whose end is predicted after its deadline at the best agent. The agent would refuse it as
// well, but asking costs two messages, and another agent would be asked after it.
func (ent *Entry) overloaded(plc *route.Placement, remaining time.Duration) (proto.Result, bool) {
	late := plc.PredictedTotal() - remaining
	if late <= 0 {
		return proto.Result{}, false
	}
	return proto.Result{
		Outcome: proto.OutcomeNotRun, Reason: ReasonOverloaded, RetryAfter: min(max(late, time.Second), maxRetryAfter),
		Detail: "all agents have work for longer than the time limit",
	}, true
}

func (ent *Entry) beat(version int64) proto.Beat {
	return proto.Beat{StateVersion: version, Draining: ent.stop.begun(), Demand: ent.limits.HeartbeatDemand()}
}

// dispatchLimited runs a call if its account's limit allows it. A call that did not run costs nothing.
func (ent *Entry) dispatchLimited(ctx context.Context, cal edge.Call, rep edge.Reply) proto.Result {
	if cal.Kind != proto.UpstreamEngine {
		return ent.dispatchAllowed(ctx, cal, rep) // The cost of calls to plain services is not known.
	}
	tokens := cal.Cost.PromptTokens + cal.Cost.OutputTokens
	wait, ok := ent.limits.Admit(cal.Account, tokens)
	if !ok {
		return proto.Result{
			Outcome: proto.OutcomeNotRun, Reason: edge.CodeQuota, RetryAfter: wait,
			Detail: "the client account has used up its limit of tokens a second",
		}
	}
	res := ent.dispatchAllowed(ctx, cal, rep)
	if res.Outcome == proto.OutcomeNotRun {
		ent.limits.Refund(cal.Account, tokens)
	}
	return res
}
