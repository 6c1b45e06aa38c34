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

// Keys of an entry.
var (
	EntryAgents = addressesKey(definition{
		section: "entry", name: "agents",
		help: "addresses of agents known without the VM list",
	})
	EntryMaxBody = intKey(definition{
		section: "entry", name: "max-body", unit: "bytes", fallback: "16777216",
		help: "longest request body",
	}, 1024, 1<<30)
	EntryTimeLimit = durationKey(definition{
		section: "entry", name: "time-limit", fallback: "120s",
		help: "time limit of a request that states none of its own",
	}, 10*time.Millisecond, time.Hour)
	EntryMaxTimeLimit = durationKey(definition{
		section: "entry", name: "max-time-limit", fallback: "600s",
		help: "longest time limit that a caller may ask for",
	}, 10*time.Millisecond, 24*time.Hour)
)
