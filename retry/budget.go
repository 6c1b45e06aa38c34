// Package retry limits the load that retries add, so that they do not overload a fleet that is already failing.
package retry

import (
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// burst is the capacity of the bucket in retries. It lets an entry with little traffic cope with the loss of one
	// agent.
	burst = 10
	// baseDelay is the upper bound of the random delay before the first retry. The bound doubles for each further
	// retry, up to maxDelay.
	baseDelay = 20 * time.Millisecond
	maxDelay  = 500 * time.Millisecond
)

// Reasons for which a retry is denied; they are labels of metrics.
const (
	DeniedBudget = "retry-budget-empty"
	DeniedTime   = "no-time-to-retry"
)

// Budget is a token bucket: first attempts add a fraction of a token, and each retry takes one. It is safe for
// concurrent use if its jitter function is.
type Budget struct {
	fraction float64
	jitter   func() float64 // in [0, 1)

	mu     sync.Mutex
	tokens float64
}

// NewBudget returns a full Budget that grants fraction retries for each first attempt. The function jitter returns
// numbers in [0, 1); if it is nil, they are random.
func NewBudget(fraction float64, jitter func() float64) *Budget {
	if jitter == nil {
		jitter = rand.Float64
	}
	return &Budget{fraction: fraction, jitter: jitter, tokens: burst}
}

// RecordFirstAttempt adds the retries that a first attempt grants.
func (bud *Budget) RecordFirstAttempt() {
	bud.mu.Lock()
	defer bud.mu.Unlock()
	bud.tokens = min(burst, bud.tokens+bud.fraction)
}

// RequestRetry takes a retry from the budget. Number 1 is the first retry of a call. It returns the delay before the
// retry, or the reason for which it is denied. A retry is denied, and costs nothing, if the remaining time is not
// longer than the delay and minDuration, the time that an attempt needs at least.
func (bud *Budget) RequestRetry(number int, remaining, minDuration time.Duration) (delay time.Duration, denied string) {
	delay, denied = bud.RequestUnchargedRetry(number, remaining, minDuration)
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

// RequestUnchargedRetry is RequestRetry for a call whose agent drains for a planned stop, so that it is sent to another
// one. It takes nothing from the budget.
func (bud *Budget) RequestUnchargedRetry(
	number int, remaining, minDuration time.Duration,
) (delay time.Duration, denied string) {
	bound := maxDelay
	if number < 6 { // 20 ms doubled five times is longer than maxDelay.
		bound = min(bound, baseDelay<<(number-1))
	}
	delay = time.Duration(bud.jitter() * float64(bound))
	if remaining <= delay+minDuration {
		return 0, DeniedTime
	}
	return delay, ""
}
