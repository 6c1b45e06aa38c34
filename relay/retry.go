package relay

import (
	"github.com/tarragonwheel/tarragonwheel/place"
	"github.com/tarragonwheel/tarragonwheel/rules"
)

// Checks that keep a call from being sent again, as they appear in logs and metrics.
const (
	deniedNoTime       = "no-time"
	deniedAttempts     = "attempts"
	deniedNotRetryable = "not-retryable"
	deniedBudget       = "budget"
	deniedNewRules     = "new-configuration"
	deniedMayCrash     = "may-crash-replicas"
)

// denyRetry returns why the call must not be sent again after an attempt with the given outcome, as one of the denied
// constants, or an empty string if it may be. It then has taken the retry from the budget.
func (hdl *callHandler) denyRetry(out outcome) string {
	denied := hdl.denyAttempt(out.mayHaveRun, hdl.possibleRuns)
	if denied != "" || out.notSent { // One that no replica received takes nothing from the retry budget.
		return denied
	}
	return hdl.takeRetry()
}

// denyAttempt returns why the call must not be sent again after an attempt that may have run or not. The given number
// of attempts may have run so far.
func (hdl *callHandler) denyAttempt(mayHaveRun bool, possibleRuns int) string {
	switch {
	case hdl.ctx.Err() != nil:
		return hdl.interruption()
	case hdl.opts.Clock.Now().Add(minAttemptTime).After(hdl.deadline):
		return deniedNoTime
	case hdl.attempts >= maxTotalAttempts:
		return deniedAttempts
	case mayHaveRun && !hdl.rte.Retryable():
		return deniedNotRetryable
	case mayHaveRun && possibleRuns >= hdl.rte.MaxAttempts:
		return deniedAttempts
	}
	return ""
}

// takeRetry takes a retry from the budget. It returns deniedBudget if none is left.
func (hdl *callHandler) takeRetry() string {
	if !hdl.relay.retryBudget(hdl.service).TakeRetry() {
		return deniedBudget
	}
	return ""
}

// placeStandby chooses the placement of a standby or second attempt beside the one with the given placement, and takes
// the retry from the budget. It returns nil if none may be begun. The attempt in progress counts as one that has run.
func (hdl *callHandler) placeStandby(current *place.Placement) *place.Placement {
	denied := hdl.denyAttempt(true, hdl.possibleRuns+1)
	if denied == "" && hdl.eventsSent == 0 && !hdl.isPermitted(hdl.opts.Rules()) {
		denied = deniedNewRules
	}
	if denied == "" && hdl.mayCrashReplicas() { // Events of the call must not wait until that is known.
		denied = deniedMayCrash
	}
	var plc place.Placement
	if denied == "" {
		plc, denied = hdl.choosePlacement()
	}
	switch {
	case denied != "":
	case plc.ShouldDefer() || (plc.CausesOverload() && hdl.eventsSent == 0):
		denied = reasonOverload
	case plc.Primary.ID == current.Primary.ID:
		denied = reasonNoReplica
	default:
		denied = hdl.takeRetry()
	}
	if denied != "" {
		hdl.opts.Log.Info("relay: no attempt begins beside that in progress", "call", hdl.cal.ID,
			"replica", current.Primary.ID, "denied", denied)
		return nil
	}
	return &plc
}

// isPermitted tells whether a configuration permits the call.
func (hdl *callHandler) isPermitted(set *rules.Set) bool {
	rte := set.Match(hdl.cal.Host, stripQuery(hdl.cal.Target))
	if rte == nil {
		return false
	}
	_, ok := set.AuthorizeKey(rte, hdl.cal.APIKey)
	return ok
}

// logDeniedRetry logs that no further attempt follows after one with the given outcome.
func (hdl *callHandler) logDeniedRetry(out outcome, denied string) {
	hdl.opts.Metrics.CountEvent("retry-denied-" + denied)
	hdl.opts.Log.Info("relay: no further attempt", "call", hdl.cal.ID, "replica", hdl.placement.Primary.ID,
		"outcome", out.reason, "denied", denied, "attempts", hdl.attempts, "events", hdl.eventsSent,
		"error", out.errorText())
}

// runAttempts sends the call to the replicas of a placement, and goes on with standby or second attempts that replace
// it.
func (hdl *callHandler) runAttempts(plc *place.Placement) outcome {
	out := hdl.sendAttempt(plc)
	hdl.logAttemptEnd(&out)
	for out.next != nil {
		hdl.opts.Metrics.CountRetry(out.reason)
		out = hdl.resumeWith(out.next)
		hdl.logAttemptEnd(&out)
	}
	return out
}

func (hdl *callHandler) logAttemptEnd(out *outcome) {
	hdl.opts.Log.V(1).Info("relay: attempt ended", "call", hdl.cal.ID, "replica", hdl.placement.Primary.ID,
		"outcome", out.reason, "error", out.errorText())
}
