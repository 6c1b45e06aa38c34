package config

import "time"

// Keys of model roll-outs.
var (
	PlatformWeights = addressKey(definition{
		section: "platform", name: "weight-store",
		help: "address of the weight store, which agents ask before an engine loads a version; empty to load at once",
	})
	RollOutParallel = intKey(definition{
		section: "roll-out", name: "parallel", unit: "upstreams", defaultValue: "2",
		help: "largest number of upstreams of a model that load a version at the same time; the first one loads it " +
			"alone",
	}, 1, 1000)
	RollOutLease = durationKey(definition{
		section: "roll-out", name: "lease", defaultValue: "10s",
		help: "lease of the entry that runs a roll-out; another entry may continue it when the lease expires",
	}, time.Second, 5*time.Minute)
)
