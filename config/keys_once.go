package config

import "time"

// Keys of at-most-once execution of calls to plain services.
var (
	OnceAppendRate = floatKey(definition{
		section: "once", name: "append-rate", unit: "appends per second", defaultValue: "20",
		help: "largest number of appends a second to the log by this agent, over all slots",
	}, 0.1, 1000)
	OnceSlots = intKey(definition{
		section: "once", name: "slots", defaultValue: "16",
		help: "log streams over which a service's keys are spread; the same at all entries and agents, see " +
			"AT-MOST-ONCE.md",
	}, 1, 4096)
	OnceRecordLimit = durationKey(definition{
		section: "once", name: "record-limit", defaultValue: "2s",
		help: "longest time that a call waits to be recorded before it is refused",
	}, 10*time.Millisecond, time.Minute)
	OnceWindow = durationKey(definition{
		section: "once", name: "window", defaultValue: "10m",
		help: "time for which a repeated idempotency key is recognised; must be shorter than the log's retention",
	}, time.Second, 24*time.Hour)
	OnceMaxBody = intKey(definition{
		section: "once", name: "max-body", unit: "bytes", defaultValue: "1048576",
		help: "longest body of a non-idempotent call; the agent buffers it until the call is recorded",
	}, 0, 1<<26)
	OnceAnswerMemory = intKey(definition{
		section: "once", name: "answer-memory", unit: "bytes", defaultValue: "4194304",
		help: "memory for the answers to remembered idempotency keys; the oldest answers are dropped first and are " +
			"then read from the log",
	}, 0, 1<<32)
)
