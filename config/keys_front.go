package config

import "time"

var frontOnly = []string{"front"}

// Keys of a front, the process that serves callers on the users' platform.
var (
	FrontReady = addressKey(definition{
		section: "front", name: "ready", required: true, roles: frontOnly,
		help: "address for the readiness checks of the load balancer",
	})
	FrontStore = addressKey(definition{
		section: "front", name: "store", required: true, roles: frontOnly,
		help: "address of the platform's store",
	})
	FrontPeers = addressKey(definition{
		section: "front", name: "peers",
		help: "UDP address on which fronts exchange their load; empty for none",
	})
	FrontMemory = intKey(definition{
		section: "front", name: "memory", unit: "MB", defaultValue: "0",
		help: "memory that the process may use; 0 for no limit",
	}, 0, 1_000_000)
	FrontReservationUseTimeout = durationKey(definition{
		section: "front", name: "hold-limit", defaultValue: "9s",
		help: "time within which a call must use the KV memory reserved for it; else the reservation is given up",
	}, time.Second, time.Hour)
	FrontPlacement = choiceKey(definition{
		section: "front", name: "placement", defaultValue: "predicted",
		help: "how calls to engines are placed; the others are baselines for measurements",
	}, "predicted", "fewest-outstanding", "round-robin")
	FrontDrainTime = durationKey(definition{
		section: "front", name: "drain-time", defaultValue: "2s",
		help: "time within which a front must stop sending calls to a draining replica",
	}, 100*time.Millisecond, time.Minute)
	FrontConfigTime = durationKey(definition{
		section: "front", name: "config-time", defaultValue: "2s",
		help: "time within which a new configuration must be active",
	}, 100*time.Millisecond, time.Minute)
	FrontClaimTime = durationKey(definition{
		section: "front", name: "claim-time", defaultValue: "0s",
		help: "time for which a long prompt's placement is announced to other fronts before it is sent; 0 for none",
	}, 0, time.Second)
	FrontShareAccounts = boolKey(definition{
		section: "front", name: "share-accounts", defaultValue: "false",
		help: "refuse calls of accounts with more recent work than others first while replicas are busy",
	})
	FrontRetryRatio = floatKey(definition{
		section: "front", name: "repeat-ratio", defaultValue: "0.2",
		help: "retries that all fronts together may send to a service for each call",
	}, 0, 10)
	FrontRetryExtra = floatKey(definition{
		section: "front", name: "repeat-extra", defaultValue: "100",
		help: "retries that all fronts together may send beyond the ratio in each repeat-window",
	}, 0, 1e6)
	FrontRetryWindow = durationKey(definition{
		section: "front", name: "repeat-window", defaultValue: "10s",
		help: "time over which retries are counted",
	}, time.Second, time.Hour)
	FrontRegions = pairsKey(definition{
		section: "front", name: "regions", allowed: "DATA-CENTRE:REGION, separated by commas",
		help: "region of each data centre; one that is missing is in no region that a route or account allows",
	})
)
