package config

import "time"

var (
	both      = []string{"entry", "agent"}
	agentOnly = []string{"agent"}
)

// Keys of every process.
var (
	ProcessName = textKey(definition{
		section: "process", name: "name", required: true, roles: both,
		help: "name of this process, unique in the deployment",
	})
	ProcessDataCentre = textKey(definition{
		section: "process", name: "data-centre", required: true, roles: both,
		help: "data centre in which the process runs",
	})
	ProcessListen = addressKey(definition{
		section: "process", name: "listen", required: true, roles: both,
		help: "address for callers (entry) or for entries (agent)",
	})
	ProcessMetrics = addressKey(definition{
		section: "process", name: "metrics",
		help: "address for metrics; empty for none",
	})
	ProcessSecrets = textKey(definition{
		section: "process", name: "secrets", required: true, roles: both,
		help: "path of the secrets file",
	})
	ProcessDebug = boolKey(definition{
		section: "process", name: "debug", fallback: "false",
		help: "log debug messages",
	})
	ProcessGrace = durationKey(definition{
		section: "process", name: "grace", fallback: "60s",
		help: "longest time that a planned stop waits for requests in flight",
	}, 0, time.Hour)
)

// Keys of the platform's services.
var (
	PlatformLog = addressKey(definition{
		section: "platform", name: "log",
		help: "address of the log service; empty for none, without which nothing can be confirmed or run at most once",
	})
	PlatformVMs = addressKey(definition{
		section: "platform", name: "vm-list",
		help: "address of the VM list; empty to use entry.agents alone",
	})
)

// Keys of an agent.
var (
	AgentKind = choiceKey(definition{
		section: "agent", name: "kind", fallback: "engine",
		help: "kind of the upstream",
	}, "engine", "plain")
	AgentServes = textKey(definition{
		section: "agent", name: "serves", required: true, roles: agentOnly,
		help: "model or service name of the upstream",
	})
	AgentUpstream = addressKey(definition{
		section: "agent", name: "upstream", required: true, roles: agentOnly,
		help: "address of the upstream",
	})
	AgentShortBias = floatKey(definition{
		section: "agent", name: "short-bias", fallback: "8",
		help: "weight of short requests: a request may be overtaken by requests that arrive within this multiple " +
			"of its own predicted prefill time; larger values favour the slowdown of short requests, smaller ones " +
			"the time to first token across all lengths",
	}, 0, 1000)
	AgentShortLimit = intKey(definition{
		section: "agent", name: "short-limit", unit: "tokens", fallback: "10000",
		help: "longest prompt that counts as short",
	}, 1, 10_000_000)
	AgentShortHeadroom = floatKey(definition{
		section: "agent", name: "short-headroom", fallback: "0.1",
		help: "share of the engine's KV memory that only short requests may use",
	}, 0, 0.9)
)
