package config

import "time"

// Keys of model roll-outs.
var (
	PlatformWeights = addressKey(definition{
		section: "platform", name: "weight-store",
		help: "address of the weight store, which agents ask before an engine loads a version; empty to load at once",
	})
	RollOutParallel = intKey(definition{
		section: "roll-out", name: "parallel", unit: "upstreams", fallback: "2",
		help: "most upstreams of a model that load a version at the same time; the first one loads it alone",
	}, 1, 1000)
	RollOutLease = durationKey(definition{
		section: "roll-out", name: "lease", fallback: "10s",
		help: "time after which another entry may go on with a roll-out whose acting entry has stopped",
	}, time.Second, 5*time.Minute)
)
