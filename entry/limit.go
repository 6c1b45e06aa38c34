package entry

import (
	"context"

	"github.com/tarragonwheel/tarragonwheel/edge"
	"github.com/tarragonwheel/tarragonwheel/proto"
)

func (ent *Entry) beat(version int64) proto.Beat {
	return proto.Beat{StateVersion: version, Draining: ent.stop.begun(), Demand: ent.limits.Demand()}
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
