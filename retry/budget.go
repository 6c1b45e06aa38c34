// Package retry limits how much work retries add, so that a fleet in trouble is not brought down by them.
package retry

import (
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// burst is the number of retries that may be saved up, so that a quiet entry can still ride out one lost agent.
	burst = 10
	// firstDelay is the upper bound of the delay before the first retry. It doubles for each further one up to
	// longestDelay.
	firstDelay   = 20 * time.Millisecond
	longestDelay = 500 * time.Millisecond
)

// Reasons why a retry is denied, for metrics.
const (
	DeniedBudget = "retry-budget-empty"
	DeniedTime   = "no-time-to-retry"
)

// Budget is a token bucket that first attempts fill and retries drain.
type Budget struct {
	fraction float64
	jitter   func() float64 // in [0, 1)

	mu     sync.Mutex
	tokens float64
}

// NewBudget returns a full Budget that grants fraction retries for each first attempt. The function jitter returns
// numbers in [0, 1); nil stands for random ones.
func NewBudget(fraction float64, jitter func() float64) *Budget {
	if jitter == nil {
		jitter = rand.Float64
	}
	return &Budget{fraction: fraction, jitter: jitter, tokens: burst}
}

// RecordFirstAttempt refills the budget for a first attempt.
func (bud *Budget) RecordFirstAttempt() {
	bud.mu.Lock()
	defer bud.mu.Unlock()
	bud.tokens = min(burst, bud.tokens+bud.fraction)
}

// RequestRetry asks for a retry: number 1 is the first one of a call. It returns the delay before the retry, or the
// reason why there is none. A retry that cannot start and take least before the remaining time is over is denied and
// costs nothing.
func (bud *Budget) RequestRetry(number int, remaining, least time.Duration) (delay time.Duration, denied string) {
	delay, denied = bud.RequestMove(number, remaining, least)
	if denied != "" {
		return 0, denied
	}
	bud.mu.Lock()
	defer bud.mu.Unlock()
	if bud.tokens < 1 {
		return 0, DeniedBudget
	}
	bud.tokens--
	return delay, ""
}

// RequestMove is RequestRetry for an attempt that a planned stop moves elsewhere. It is not charged.
func (bud *Budget) RequestMove(number int, remaining, least time.Duration) (delay time.Duration, denied string) {
	most := longestDelay
	if number < 6 { // 20 ms doubled five times is longer than longestDelay.
		most = min(most, firstDelay<<(number-1))
	}
	delay = time.Duration(bud.jitter() * float64(most))
	if remaining <= delay+least {
		return 0, DeniedTime
	}
	return delay, ""
}
