package config

import "time"

var frontOnly = []string{"front"}

// Keys of a front.
var (
	FrontReady = addressKey(definition{
		section: "front", name: "ready", required: true, roles: frontOnly,
		help: "address at which the load balancer asks whether the front takes calls",
	})
	FrontStore = addressKey(definition{
		section: "front", name: "store", required: true, roles: frontOnly,
		help: "address of the platform's store",
	})
	FrontPeers = addressKey(definition{
		section: "front", name: "peers",
		help: "UDP address for the exchange of load with other fronts; empty for none",
	})
	FrontMemory = intKey(definition{
		section: "front", name: "memory", unit: "MB", fallback: "0",
		help: "memory that the process may use; 0 for no limit",
	}, 0, 1_000_000)
	FrontHoldLimit = durationKey(definition{
		section: "front", name: "hold-limit", fallback: "9s",
		help: "time within which reserved memory must be used by its call",
	}, time.Second, time.Hour)
	FrontPlacement = choiceKey(definition{
		section: "front", name: "placement", fallback: "predicted",
		help: "how calls to engines are placed; the others are baselines for measurements",
	}, "predicted", "fewest-outstanding", "round-robin")
	FrontDrainTime = durationKey(definition{
		section: "front", name: "drain-time", fallback: "2s",
		help: "time within which a draining replica must get no more calls",
	}, 100*time.Millisecond, time.Minute)
	FrontConfigTime = durationKey(definition{
		section: "front", name: "config-time", fallback: "2s",
		help: "time within which a configuration must be in force",
	}, 100*time.Millisecond, time.Minute)
	FrontRepeatRatio = floatKey(definition{
		section: "front", name: "repeat-ratio", fallback: "0.2",
		help: "repeats that all fronts together may send to a service for each call",
	}, 0, 10)
	FrontRepeatExtra = floatKey(definition{
		section: "front", name: "repeat-extra", fallback: "100",
		help: "repeats that all fronts together may send beyond the ratio in each repeat-window",
	}, 0, 1e6)
	FrontRepeatWindow = durationKey(definition{
		section: "front", name: "repeat-window", fallback: "10s",
		help: "span over which repeats are counted",
	}, time.Second, time.Hour)
)
