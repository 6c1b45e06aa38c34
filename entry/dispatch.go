package entry

import (
	"context"
	"errors"
	"time"

	"github.com/tarragonwheel/tarragonwheel/edge"
	"github.com/tarragonwheel/tarragonwheel/once"
	"github.com/tarragonwheel/tarragonwheel/proto"
	"github.com/tarragonwheel/tarragonwheel/route"
)

// Reason codes of results.
const (
	ReasonNoUpstream = "no-upstream"
	ReasonTimeout    = "deadline-exceeded"
	ReasonAgentLost  = "agent-lost"
	ReasonBroken     = "stream-incomplete"
	ReasonCallerGone = "caller-gone"
	ReasonOverloaded = "overloaded"
	ReasonDraining   = "draining"
)

// leastAttempt is the shortest time in which an attempt can be worth its cost.
const leastAttempt = 20 * time.Millisecond

// dispatch runs a call: one attempt after another, as long as it may and can be repeated.
func (ent *Entry) dispatch(ctx context.Context, cal edge.Call, rep edge.Reply) proto.Result {
	ctx, leave := ent.stop.enter(ctx)
	if leave == nil {
		return proto.Result{
			Outcome: proto.OutcomeNotRun, Reason: ReasonDraining, RetryAfter: stopRetry,
			Detail: "this entry is stopping",
		}
	}
	defer leave()
	return ent.dispatchEntered(ctx, cal, rep)
}

func (ent *Entry) dispatchEntered(ctx context.Context, cal edge.Call, rep edge.Reply) proto.Result {
	if res, no := ent.config.forbidden(cal.Kind, cal.Account, cal.Serves); no {
		return res
	}
	return ent.dispatchLimited(ctx, cal, rep)
}

func (ent *Entry) dispatchAllowed(ctx context.Context, cal edge.Call, rep edge.Reply) proto.Result {
	run := &running{ent: ent, cal: cal, rep: rep}
	if ent.config.blame {
		run.fpr = fingerprint(cal)
		run.flight = ent.flights.begin(run.fpr)
	}
	ent.budget.RecordFirstAttempt()
	res := run.repeat(ctx)
	run.finish(res)
	return res
}

// repeat makes one attempt after another.
func (run *running) repeat(ctx context.Context) proto.Result {
	ent := run.ent
	var tried []string
	for number := 1; ; number++ {
		if res, no := run.blocked(); no {
			return res
		}
		res, agent := ent.attempt(ctx, run, tried)
		if !run.again(ctx, res) {
			return run.final(ctx, res)
		}
		if agent != "" && !suspicious[res.Reason] { // A suspect stays with the agent that all entries choose.
			tried = append(tried, agent)
		}
		wait := res.RetryAfter
		if run.elsewhere(tried) {
			wait = 0 // It is the advice of one agent, and there is another one to ask.
		}
		delay, denied := run.delay(number, res, wait)
		if denied != "" {
			ent.metrics.Event(denied)
			return run.final(ctx, res)
		}
		ent.metrics.Retry(res.Reason)
		if err := ent.clock.Sleep(ctx, max(delay, wait)); err != nil {
			return run.final(ctx, res)
		}
	}
}

// elsewhere tells whether there is an agent to ask that this call has not tried.
func (run *running) elsewhere(tried []string) bool {
	return run.tooLong == nil && run.ent.table.HasAlternative(run.ent.query(run.cal, tried))
}

// mostMoves is the number of attempts of a call after which moves count as retries, so that a fleet that drains
// everywhere does not keep a call going round.
const mostMoves = 8

// again asks for a further attempt. Attempts that a planned stop moves elsewhere are not charged to the retry budget:
// they are bounded by the stops, and a stop must not break a stream because of earlier failures.
func (ent *Entry) again(number int, res proto.Result, remaining, wait time.Duration) (time.Duration, string) {
	least := leastAttempt + wait // A caller does not wait for a retry for which there is no time left.
	if res.Reason == ReasonDraining && number <= mostMoves {
		return ent.budget.RequestMove(number, remaining, least)
	}
	return ent.budget.RequestRetry(number, remaining, least)
}

// running is a call on its way through one or more attempts.
type running struct {
	ent      *Entry
	cal      edge.Call
	rep      edge.Reply
	evs      events
	headSent bool
	sent     int   // body bytes delivered to the caller
	broken   error // of the caller's connection
	unsure   bool  // an attempt may have run

	fpr       proto.Fingerprint // 0 if requests that crash engines are not looked for
	flight    *flight           // nil for a request that is known to be harmless
	suspected bool              // the last attempt was that of a suspect
	crashes   int               // engines that crashed during an attempt
	refused   int               // attempts since the last of them that did not run

	// tooLong is set once an agent has refused the prompt as too long for one engine.
	tooLong *proto.Result
}

// again tells whether a further attempt is allowed. A call that is not idempotent is repeated only if no attempt can
// have run. A response of which the caller has a part is repeated only as a token stream, which resumes.
func (run *running) again(ctx context.Context, res proto.Result) bool {
	switch {
	case res.Outcome == proto.OutcomeDone, ctx.Err() != nil, run.broken != nil, run.evs.done:
		return false
	case res.Outcome == proto.OutcomeNotRun:
		return !permanent[res.Reason] && run.tooLong == nil // A group has made its own tries.
	case !run.cal.Idempotent, run.headSent && !run.resumable():
		run.unsure = true
		return false
	}
	run.unsure = true
	return transient[res.Reason]
}

// resumable tells whether the response is a token stream of which only whole events were delivered.
func (run *running) resumable() bool {
	return run.cal.Kind == proto.UpstreamEngine && run.cal.Stream
}

// permanent are the reasons of refusals that another agent would repeat.
var permanent = map[string]bool{
	edge.CodePromptTooLong: true, edge.CodeQuota: true, ReasonTimeout: true, ReasonOverloaded: true,
	ReasonBlocked: true,
}

// suspicious are the reasons that have to do with requests that crash engines.
var suspicious = map[string]bool{ReasonCrashed: true, ReasonSuspectWaits: true, ReasonBlocked: true}

// transient are the reasons of failures that another agent need not share.
var transient = map[string]bool{
	ReasonAgentLost: true, ReasonBroken: true, ReasonDraining: true, "engine-failed": true, ReasonSegmentLost: true,
	ReasonCrashed: true, ReasonSuspectWaits: true,
}

// final is the result that the caller is told.
func (run *running) final(ctx context.Context, res proto.Result) proto.Result {
	if res.Outcome == proto.OutcomeDone {
		return res
	}
	if errors.Is(context.Cause(ctx), context.DeadlineExceeded) {
		res.Reason = ReasonTimeout
		res.Detail = "the time limit ran out"
	}
	if errors.Is(context.Cause(ctx), errGrace) {
		res.Reason = ReasonDraining
		res.Detail = "this entry was stopped and its grace period is over"
		res.RetryAfter = stopRetry
	}
	if run.unsure && res.Outcome == proto.OutcomeNotRun {
		res.Outcome = proto.OutcomeUnknown // An earlier attempt may have run, at least in part.
	}
	return res
}

// verdict is what a result shows about the agent.
func (run *running) verdict(ctx context.Context, res proto.Result) route.CallResult {
	switch {
	case res.Outcome == proto.OutcomeDone:
		return route.Succeeded
	case ctx.Err() != nil || run.broken != nil, res.Reason == ReasonSuspectWaits, res.Reason == ReasonBlocked:
		return route.Neutral
	case res.Reason == once.ReasonNoEndRecorded: // Shows that another agent was lost, not this one.
		return route.Neutral
	case res.Outcome == proto.OutcomeNotRun && res.Reason != ReasonAgentLost:
		return route.Refused
	default:
		return route.Failed
	}
}
