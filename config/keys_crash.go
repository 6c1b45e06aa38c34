package config

import "time"

// Keys of crash attribution, which finds and blocks requests that crash engines.
var (
	CrashAttributionEnabled = boolKey(definition{
		section: "blame", name: "enabled", defaultValue: "true",
		help: "find and block requests that crash engines; false only as a baseline for measurements",
	})
	CrashSuspectTime = durationKey(definition{
		section: "blame", name: "suspect-time", defaultValue: "10m",
		help: "time for which a request that ran on a crashed engine stays suspected, unless it finishes (agents)",
	}, time.Second, 24*time.Hour)
	CrashBlockTime = durationKey(definition{
		section: "blame", name: "block-time", defaultValue: "24h",
		help: "time for which a request that crashed two engines is refused, unless an operator unblocks it (agents)",
	}, time.Second, 30*24*time.Hour)
)
