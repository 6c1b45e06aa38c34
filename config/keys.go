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
