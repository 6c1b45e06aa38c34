package config

import "time"

// Keys of at-most-once execution of calls of plain services.
var (
	OnceAppendRate = floatKey(definition{
		section: "once", name: "append-rate", unit: "appends per second", fallback: "20",
		help: "most appends a second that this agent makes to the log, over all slots",
	}, 0.1, 1000)
	OnceSlots = intKey(definition{
		section: "once", name: "slots", fallback: "16",
		help: "streams over which a service's keys are spread; the same at all entries and agents, see AT-MOST-ONCE.md",
	}, 1, 4096)
	OnceRecordLimit = durationKey(definition{
		section: "once", name: "record-limit", fallback: "2s",
		help: "longest time that a call waits to be recorded before it is refused",
	}, 10*time.Millisecond, time.Minute)
	OnceWindow = durationKey(definition{
		section: "once", name: "window", fallback: "10m",
		help: "time for which a repeated key is recognised; must be shorter than the log's retention",
	}, time.Second, 24*time.Hour)
	OnceMaxBody = intKey(definition{
		section: "once", name: "max-body", unit: "bytes", fallback: "1048576",
		help: "longest body of a non-idempotent call; the agent holds it until the call is recorded",
	}, 0, 1<<26)
	OnceAnswerMemory = intKey(definition{
		section: "once", name: "answer-memory", unit: "bytes", fallback: "4194304",
		help: "memory for answers of remembered keys; the oldest are dropped first and then read from the log",
	}, 0, 1<<32)
)
