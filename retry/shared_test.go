package retry_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tarragonwheel/tarragonwheel/retry"
	"github.com/tarragonwheel/tarragonwheel/timer"
)

// TestSharedBudgetKeepsToTheLimits guards against processes that together retry more often in a window than the limits
// allow.
func TestSharedBudgetKeepsToTheLimits(t *testing.T) {
	iis := is.New(t)
	const sharers = 4
	limits := retry.SharedLimits{Ratio: 0.2, Extra: 100, Window: 10 * time.Second}
	clk, man := timer.NewManual(time.Unix(1700000000, 0))
	bud := retry.NewSharedBudget(clk, func() retry.SharedLimits { return limits }, func() int { return sharers })
	man.Advance(time.Minute) // An idle process must not collect more than its part.
	firstAttempts, retries := 0, 0
	for range 1000 { // one window of 10 s
		man.Advance(10 * time.Millisecond)
		if firstAttempts%10 == 0 {
			bud.RecordFirstAttempt()
		}
		firstAttempts++
		for bud.TakeRetry() {
			retries++
		}
	}
	allowed := limits.Extra + limits.Ratio*float64(sharers*firstAttempts/10)
	iis.True(float64(sharers*retries) <= allowed)
	iis.True(retries > 0)
}
