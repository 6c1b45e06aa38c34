package config

import "time"

// Keys of configuration and the operator API.
var (
	AdminListen = addressKey(definition{
		section: "admin", name: "listen",
		help: "address of the operator API; empty for none",
	})
	PlatformLogRetention = durationKey(definition{
		section: "platform", name: "log-retention", fallback: "24h",
		help: "time for which the log keeps records; the configuration snapshot is republished each quarter of it",
	}, time.Second, 366*24*time.Hour)
)
