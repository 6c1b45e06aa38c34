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
	ReasonIncomplete = "stream-incomplete"
	ReasonCallerGone = "caller-gone"
	ReasonOverloaded = "overloaded"
	ReasonDraining   = "draining"
)

// minAttemptTime is the shortest time in which an attempt can be worth its cost.
const minAttemptTime = 20 * time.Millisecond

// dispatch runs a call and returns its result, or refuses it while the entry is stopping.
func (ent *Entry) dispatch(ctx context.Context, cal edge.Call, rep edge.Reply) proto.Result {
	ctx, leave := ent.drain.enterCall(ctx)
	if leave == nil {
		return proto.Result{
			Outcome: proto.OutcomeNotRun, Reason: ReasonDraining, RetryAfter: drainRetryAfter,
			Detail: "this entry is stopping",
		}
	}
	defer leave()
	return ent.dispatchIfGranted(ctx, cal, rep)
}

// dispatchIfGranted runs a call if the configuration allows it.
func (ent *Entry) dispatchIfGranted(ctx context.Context, cal edge.Call, rep edge.Reply) proto.Result {
	if res, refused := ent.config.grantRefusal(cal.Kind, cal.Account, cal.Serves); refused {
		return res
	}
	return ent.dispatchWithinQuota(ctx, cal, rep)
}

// dispatchAttempts runs a call that has passed all checks of its account.
func (ent *Entry) dispatchAttempts(ctx context.Context, cal edge.Call, rep edge.Reply) proto.Result {
	run := &callRun{ent: ent, cal: cal, rep: rep}
	if ent.config.attributeCrashes {
		run.fingerprint = fingerprint(cal)
		run.copies = ent.copies.add(run.fingerprint)
	}
	ent.budget.RecordFirstAttempt()
	res := run.runAttempts(ctx)
	run.finish(res)
	return res
}

// runAttempts makes one attempt after another until one succeeds or a retry is not allowed, and returns the result for
// the caller.
func (run *callRun) runAttempts(ctx context.Context) proto.Result {
	ent := run.ent
	var tried []string
	for number := 1; ; number++ {
		if res, refused := run.blockedRefusal(); refused {
			return res
		}
		res, agent := ent.attempt(ctx, run, tried)
		if !run.mayRetry(ctx, res) {
			return run.finalResult(ctx, res)
		}
		// A suspect is retried at the agent that all entries choose for it.
		if agent != "" && !crashReasons[res.Reason] {
			tried = append(tried, agent)
		}
		wait := res.RetryAfter
		if run.hasUntriedAgent(tried) {
			wait = 0 // RetryAfter concerns the agent that sent it, and there is another one to try.
		}
		delay, denied := run.retryPause(number, res, wait)
		if denied != "" {
			ent.metrics.CountEvent(denied)
			return run.finalResult(ctx, res)
		}
		ent.metrics.CountRetry(res.Reason)
		if err := ent.clock.Sleep(ctx, max(delay, wait)); err != nil {
			return run.finalResult(ctx, res)
		}
	}
}

// hasUntriedAgent reports whether an agent is usable that this call has not tried.
func (run *callRun) hasUntriedAgent(tried []string) bool {
	return run.tooLongRefusal == nil && run.ent.table.HasAlternative(run.ent.routeQuery(run.cal, tried))
}

// maxUnchargedRetries is the number of attempts of a call after which retries because of a draining agent are charged
// to the retry budget too. Otherwise a call would be retried endlessly while the whole fleet drains.
const maxUnchargedRetries = 8

// requestRetry asks the retry budget for a further attempt. It returns the delay before the attempt, or the reason code
// of the denial. Retries because an agent drains for a planned stop are not charged to the budget: the number of stops
// bounds them, and a stop must not end a stream because earlier failures have used up the budget.
func (ent *Entry) requestRetry(number int, res proto.Result, remaining, wait time.Duration) (time.Duration, string) {
	needed := minAttemptTime + wait // Denies a retry for which no time would be left after the wait.
	if res.Reason == ReasonDraining && number <= maxUnchargedRetries {
		return ent.budget.RequestUnchargedRetry(number, remaining, needed)
	}
	return ent.budget.RequestRetry(number, remaining, needed)
}

// callRun is the state of a call over all its attempts.
type callRun struct {
	ent        *Entry
	cal        edge.Call
	rep        edge.Reply
	events     eventSplitter
	headSent   bool
	callerErr  error // failed write to the caller's connection
	mayHaveRun bool  // an attempt may have run, at least in part

	fingerprint proto.Fingerprint // 0 if crash attribution is disabled, or for calls to plain services
	copies      *copyGroup        // nil if the request has no fingerprint or is known to be harmless
	suspected   bool              // the request was a crash suspect at the last attempt
	crashes     int               // attempts whose engine crashed
	refusals    int               // attempts since the last crash that did not run

	// tooLongRefusal is set once an agent has refused the prompt as too long for one engine. The call is then split.
	tooLongRefusal *proto.Result
}

// mayRetry reports whether a further attempt is allowed. A call that is not idempotent is retried only if no attempt
// can have run. Once the caller has a part of the response, the call is retried only if the response is a token
// stream, which the next attempt resumes.
func (run *callRun) mayRetry(ctx context.Context, res proto.Result) bool {
	switch {
	case res.Outcome == proto.OutcomeDone, ctx.Err() != nil, run.callerErr != nil, run.events.ended:
		return false
	case res.Outcome == proto.OutcomeNotRun:
		return !permanentReasons[res.Reason] && run.tooLongRefusal == nil // A split call makes its own retries.
	case !run.cal.Idempotent, run.headSent && !run.resumable():
		run.mayHaveRun = true
		return false
	}
	run.mayHaveRun = true
	return transientReasons[res.Reason]
}

// resumable reports whether the response is a token stream. Only complete events of it are delivered, so that another
// attempt can resume it.
func (run *callRun) resumable() bool {
	return run.cal.Kind == proto.UpstreamEngine && run.cal.Stream
}

// permanentReasons are the reason codes of refusals that other agents would give as well.
var permanentReasons = map[string]bool{
	edge.CodePromptTooLong: true, edge.CodeQuota: true, ReasonTimeout: true, ReasonOverloaded: true,
	ReasonBlocked: true,
}

// crashReasons are the reason codes of crash attribution.
var crashReasons = map[string]bool{ReasonCrashed: true, ReasonSuspectWaits: true, ReasonBlocked: true}

// transientReasons are the reason codes of failures after which an attempt at another agent may succeed.
var transientReasons = map[string]bool{
	ReasonAgentLost: true, ReasonIncomplete: true, ReasonDraining: true, "engine-failed": true, ReasonSegmentLost: true,
	ReasonCrashed: true, ReasonSuspectWaits: true,
}

// finalResult returns the result of the call for the caller, given that of the last attempt.
func (run *callRun) finalResult(ctx context.Context, res proto.Result) proto.Result {
	if res.Outcome == proto.OutcomeDone {
		return res
	}
	if errors.Is(context.Cause(ctx), context.DeadlineExceeded) {
		res.Reason = ReasonTimeout
		res.Detail = "the time limit ran out"
	}
	if errors.Is(context.Cause(ctx), errGraceEnded) {
		res.Reason = ReasonDraining
		res.Detail = "this entry was stopped and its grace period is over"
		res.RetryAfter = drainRetryAfter
	}
	if run.mayHaveRun && res.Outcome == proto.OutcomeNotRun {
		res.Outcome = proto.OutcomeUnknown // An earlier attempt may have run, at least in part.
	}
	return res
}

// routeResult returns what the result of an attempt says about its agent, for the routing table.
func (run *callRun) routeResult(ctx context.Context, res proto.Result) route.CallResult {
	switch {
	case res.Outcome == proto.OutcomeDone:
		return route.Succeeded
	case ctx.Err() != nil || run.callerErr != nil, res.Reason == ReasonSuspectWaits, res.Reason == ReasonBlocked:
		return route.Neutral
	case res.Reason == once.ReasonNoEndRecorded: // Shows that another agent was lost, not this one.
		return route.Neutral
	case res.Outcome == proto.OutcomeNotRun && res.Reason != ReasonAgentLost:
		return route.Refused
	default:
		return route.Failed
	}
}
