package model

import (
	"time"

	"github.com/tarragonwheel/tarragonwheel/cost"
)

// DefaultOptions returns a cell of 40 replicas in which short calls take over from long prompts.
func DefaultOptions() Options {
	return Options{
		Seed: 1, Fronts: 20, Replicas: 40, ViewDelay: 25 * time.Millisecond,
		Engine: cost.Engine{
			Slots: 10, MemoryTokens: 315_000, Step: 850 * time.Microsecond,
			StepPerStream:   4250 * time.Nanosecond,
			StepPer1kTokens: 2850 * time.Nanosecond, PrefillTokensPerS: 177_000,
			PrefillPerMPairs: 184 * time.Microsecond, PrefillChunk: 2048, StepsPerIteration: 80,
			MeanOutput: outputTokens,
		},
		Phases: []Phase{
			{Duration: 5 * time.Second, ShortPerS: 12, LongPerS: 3, LongTokens: 200_000},
			{Duration: 4 * time.Second, ShortPerS: 90, LongPerS: 0.3, LongTokens: 200_000},
		},
	}
}
