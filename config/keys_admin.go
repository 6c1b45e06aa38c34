package config

import "time"

// Keys for the operator API and for the configuration records in the log.
var (
	AdminListen = addressKey(definition{
		section: "admin", name: "listen",
		help: "address of the operator API; empty for none",
	})
	PlatformLogRetention = durationKey(definition{
		section: "platform", name: "log-retention", defaultValue: "24h",
		help: "time for which the log keeps records; a new configuration snapshot is appended every quarter of it",
	}, time.Second, 366*24*time.Hour)
)
