package config

import "time"

var (
	entryAndAgent = []string{"entry", "agent"}
	agentOnly     = []string{"agent"}
)

// Keys that every process reads.
var (
	ProcessName = textKey(definition{
		section: "process", name: "name", required: true, roles: entryAndAgent,
		help: "name of this process, unique in the deployment",
	})
	ProcessDataCentre = textKey(definition{
		section: "process", name: "data-centre", required: true, roles: entryAndAgent,
		help: "data centre in which the process runs",
	})
	ProcessListen = addressKey(definition{
		section: "process", name: "listen", required: true, roles: entryAndAgent,
		help: "address on which callers (entry) or entries (agent) connect",
	})
	ProcessMetrics = addressKey(definition{
		section: "process", name: "metrics",
		help: "address for metrics; empty for none",
	})
	ProcessSecrets = textKey(definition{
		section: "process", name: "secrets", required: true, roles: entryAndAgent,
		help: "path of the secrets file",
	})
	ProcessDebug = boolKey(definition{
		section: "process", name: "debug", defaultValue: "false",
		help: "log debug messages",
	})
	ProcessGrace = durationKey(definition{
		section: "process", name: "grace", defaultValue: "60s",
		help: "longest time that a planned stop waits for requests in flight",
	}, 0, time.Hour)
)

// Keys with the addresses of platform services.
var (
	PlatformLog = addressKey(definition{
		section: "platform", name: "log",
		help: "address of the log service; empty for none: then plans cannot be confirmed, nor calls run at most once",
	})
	PlatformVMs = addressKey(definition{
		section: "platform", name: "vm-list",
		help: "address of the VM list; empty to use entry.agents alone",
	})
)
