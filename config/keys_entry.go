package config

import (
	"strings"
	"time"

	"github.com/gravitational/trace"
)

// Keys of an entry.
var (
	EntryAgents = addressesKey(definition{
		section: "entry", name: "agents",
		help: "addresses of agents to connect to besides those in the VM list",
	})
	EntryMaxBody = intKey(definition{
		section: "entry", name: "max-body", unit: "bytes", defaultValue: "16777216",
		help: "longest request body",
	}, 1024, 1<<30)
	EntryTimeLimit = durationKey(definition{
		section: "entry", name: "time-limit", defaultValue: "120s",
		help: "time limit of a request that sets none",
	}, 10*time.Millisecond, time.Hour)
	EntryMaxTimeLimit = durationKey(definition{
		section: "entry", name: "max-time-limit", defaultValue: "600s",
		help: "longest time limit that a caller may ask for",
	}, 10*time.Millisecond, 24*time.Hour)
	EntryRetryable = retryableKey(definition{
		section: "entry", name: "repeatable",
		help: "calls to plain services that may run more than once, besides GET, HEAD and OPTIONS",
	})
	EntryDrainNotice = durationKey(definition{
		section: "entry", name: "drain-notice", defaultValue: "5s",
		help: "time for which a draining entry still accepts requests while it reports that it is not ready, so that " +
			"the load balancer notices",
	}, 0, 10*time.Minute)
	EntryPolicy = choiceKey(definition{
		section: "entry", name: "policy", defaultValue: "predicted",
		help: "how an agent is chosen; all but predicted are baselines for measurements",
	}, "predicted", "round-robin", "fewest", "best-of-two")
	EntryRemoteDelay = durationKey(definition{
		section: "entry", name: "remote-delay", defaultValue: "5ms",
		help: "time that is added to the predicted time to first token of an agent in another data centre",
	}, 0, 10*time.Second)
	EntryRetryFraction = floatKey(definition{
		section: "entry", name: "retry-fraction", defaultValue: "0.1",
		help: "retries allowed for each first attempt",
	}, 0, 1)
)

// RetryableRule is a rule that matches calls to a plain service that may run more than once, and so may be retried.
type RetryableRule struct {
	service string
	method  string
	prefix  string
}

// Matches reports whether the rule covers a call. The path prefix matches only whole path segments.
func (rul RetryableRule) Matches(service, method, path string) bool {
	rest, ok := strings.CutPrefix(path, strings.TrimSuffix(rul.prefix, "/"))
	inside := ok && (rest == "" || rest[0] == '/')
	return inside && rul.service == service && rul.method == method
}

func retryableKey(def definition) Key[[]RetryableRule] {
	def.allowed = "SERVICE METHOD /PATH-PREFIX, separated by commas"
	return declare(def, func(text string) ([]RetryableRule, error) {
		var list []RetryableRule
		for _, part := range strings.Split(text, ",") {
			words := strings.Fields(part)
			if len(words) == 0 {
				continue
			}
			if len(words) != 3 || words[1] != strings.ToUpper(words[1]) || !strings.HasPrefix(words[2], "/") {
				return nil, trace.BadParameter("%q is not SERVICE METHOD /PATH-PREFIX", strings.TrimSpace(part))
			}
			list = append(list, RetryableRule{service: words[0], method: words[1], prefix: words[2]})
		}
		return list, nil
	})
}
