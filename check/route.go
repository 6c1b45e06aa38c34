package check

import (
	"strings"

	"github.com/tarragonwheel/tarragonwheel/rules"
)

func (fns *findings) checkRoutes(spc *rules.Spec) {
	names, prefixes := make(map[string]bool), make(map[string]string)
	for idx := range spc.Routes {
		rte := &spc.Routes[idx]
		place := routePlace(rte.Name)
		if names[rte.Name] {
			fns.add(Warning, place, "logs cannot tell it from another route of this name; give it a name of its own")
		}
		names[rte.Name] = true
		match := hostKey(rte) + rte.Prefix
		if first, ok := prefixes[match]; ok {
			fns.add(Error, place, "it never gets a call because route %s has the same host and prefix %s; "+
				"change or remove one of them", first, rte.Prefix)
		} else {
			prefixes[match] = rte.Name
		}
		fns.checkMatch(rte)
		fns.checkTimes(rte)
		fns.checkAttempts(rte)
	}
}

// hostKey returns the host of a route as hosts of calls are compared with it.
func hostKey(rte *rules.Route) string { return strings.ToLower(rte.Host) }

// checkMatch finds hosts and prefixes that no call can have.
func (fns *findings) checkMatch(rte *rules.Route) {
	place := routePlace(rte.Name)
	switch {
	case rte.Host == "":
		fns.add(Error, place, "it never gets a call because it has no host; set Host to the name that clients call")
	case strings.ContainsAny(rte.Host, "/ \t"), strings.Contains(rte.Host, ":") && !strings.HasSuffix(rte.Host, "]"):
		fns.add(Error, place, "it never gets a call because %q is no host name; set Host to a name without scheme, "+
			"port or path", rte.Host)
	}
	if strings.ContainsAny(rte.Prefix, "?# ") {
		fns.add(Error, place, "it never gets a call because %q cannot be part of a path; set PathPrefix to the path "+
			"alone, without a query", rte.Prefix)
	}
}

// checkTimes finds targets and timeouts that contradict each other.
func (fns *findings) checkTimes(rte *rules.Route) {
	place := routePlace(rte.Name)
	if rte.Timeout > 0 && rte.LatencyTarget > rte.Timeout {
		fns.add(Error, place, "calls are ended after %v, before their latency target of %v is missed; "+
			"raise TimeoutMs or lower GoalMs", rte.Timeout, rte.LatencyTarget)
	}
	if rte.Timeout > 0 && rte.GapTarget > rte.Timeout {
		fns.add(Error, place, "streams are ended after %v, before their gap target of %v is missed; "+
			"raise TimeoutMs or lower GapTargetMs", rte.Timeout, rte.GapTarget)
	}
	if rte.Timeout > rules.DefaultTimeLimit {
		fns.add(Warning, place, "calls whose client states no deadline are ended after %v, not after %v; lower "+
			"TimeoutMs, or make sure that clients state how long they wait", rules.DefaultTimeLimit, rte.Timeout)
	}
	if rte.GapTarget > 0 && !rte.IsStream() {
		fns.add(Warning, place, `GapTargetMs has no effect because only streams have gaps; set Kind to "streaming", `+
			"or remove it")
	}
}

// checkAttempts finds numbers of attempts and other properties that the kind of the route rules out.
func (fns *findings) checkAttempts(rte *rules.Route) {
	place := routePlace(rte.Name)
	if rte.Resumable && !rte.IsStream() {
		fns.add(Warning, place, `Resumable has no effect because only streams are resumed; set Kind to "streaming", `+
			"or remove it")
	}
	if rte.MaxAttempts <= 1 || rte.Retryable() {
		return
	}
	if rte.IsStream() {
		fns.add(Warning, place, "calls that may have run are not sent again despite MaxAttempts %d because the stream "+
			"is not resumable; set Resumable if replicas can resume it, or MaxAttempts to 1", rte.MaxAttempts)
		return
	}
	fns.add(Warning, place, "calls that may have run are not sent again despite MaxAttempts %d because the route is "+
		`not idempotent; set Kind to "safe" if calls may run twice, or MaxAttempts to 1`, rte.MaxAttempts)
}
