package relay

// Checks that keep a call from being sent again, as they appear in logs and metrics.
const (
	deniedClientLeft   = "client-left"
	deniedNoTime       = "no-time"
	deniedAttempts     = "attempts"
	deniedNotRetryable = "not-retryable"
	deniedBudget       = "budget"
)

// denyRetry returns why the call must not be sent again after an attempt with the given outcome, as one of the denied
// constants, or an empty string if it may be. It then has taken the retry from the budget.
func (hdl *callHandler) denyRetry(out outcome) string {
	switch {
	case hdl.ctx.Err() != nil:
		return deniedClientLeft
	case hdl.opts.Clock.Now().Add(minAttemptTime).After(hdl.deadline):
		return deniedNoTime
	case hdl.attempts >= maxTotalAttempts:
		return deniedAttempts
	case out.mayHaveRun && !hdl.rte.Retryable():
		return deniedNotRetryable
	case out.mayHaveRun && hdl.possibleRuns >= hdl.rte.MaxAttempts:
		return deniedAttempts
	case out.notSent:
		return "" // No replica received it, so it takes nothing from the retry budget.
	case !hdl.relay.retryBudget(hdl.service).TakeRetry():
		return deniedBudget
	}
	return ""
}

// logDeniedRetry logs that no further attempt follows after one with the given outcome.
func (hdl *callHandler) logDeniedRetry(out outcome, denied string) {
	hdl.opts.Metrics.CountEvent("retry-denied-" + denied)
	hdl.opts.Log.Info("relay: no further attempt", "call", hdl.cal.ID, "replica", hdl.placement.Primary.ID,
		"outcome", out.reason, "denied", denied, "attempts", hdl.attempts, "events", hdl.eventsSent,
		"error", out.errorText())
}
