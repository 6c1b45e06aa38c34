package relay

import (
	"net/http"

	"github.com/tarragonwheel/tarragonwheel/rules"
)

// applyRules applies the active configuration to the call: route, client account, service and deadline. It runs again
// before each attempt until a response has begun, so that no attempt uses an older version than the process has. It
// refuses the call and returns false if the configuration does not permit it.
func (hdl *callHandler) applyRules() bool {
	set := hdl.awaitRules()
	if set == nil {
		hdl.sendError(http.StatusServiceUnavailable, reasonNoConfig, hdl.relay.noRulesRetryAfter())
		return false
	}
	if set == hdl.set {
		return true
	}
	rte := set.Match(hdl.cal.Host, stripQuery(hdl.cal.Target))
	if rte == nil {
		hdl.sendError(http.StatusNotFound, reasonNoRoute, 0)
		return false
	}
	account, ok := set.AuthorizeKey(rte, hdl.cal.APIKey)
	if !ok {
		hdl.sendError(http.StatusUnauthorized, reasonUnknownKey, 0)
		return false
	}
	hdl.set, hdl.rte, hdl.account, hdl.service = set, rte, account, rte.PickService(hdl.cal.ID)
	limit := hdl.cal.TimeLeft
	if limit <= 0 {
		limit = defaultTimeLimit
	}
	if rte.Timeout > 0 {
		limit = min(limit, rte.Timeout)
	}
	hdl.deadline = hdl.cal.Arrived.Add(limit)
	return true
}

// awaitRules returns the active configuration. It waits a short time for one, because a process that has just started
// has none for a few milliseconds, and returns nil if none arrives.
func (hdl *callHandler) awaitRules() *rules.Set {
	maxWait := min(minOutageRetryAfter, hdl.cal.TimeLeft/rulesWaitDivisor)
	for until := hdl.cal.Arrived.Add(maxWait); ; {
		set := hdl.opts.Rules()
		if set != nil || !hdl.opts.Clock.Now().Before(until) {
			return set
		}
		if hdl.opts.Clock.Sleep(hdl.ctx, rulesPollInterval) != nil {
			return nil
		}
	}
}

// stripQuery returns the path of a request target.
func stripQuery(target string) string {
	for idx := range len(target) {
		if target[idx] == '?' {
			return target[:idx]
		}
	}
	return target
}
