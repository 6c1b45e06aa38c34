package retry_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tarragonwheel/tarragonwheel/retry"
	"github.com/tarragonwheel/tarragonwheel/timer"
)

// TestShareKeepsToTheTerms guards against processes that together repeat more than the terms allow, however the repeats
// fall into windows.
func TestShareKeepsToTheTerms(t *testing.T) {
	iis := is.New(t)
	const sharers = 4
	trm := retry.SharedLimits{Ratio: 0.2, Extra: 100, Window: 10 * time.Second}
	clk, man := timer.NewManual(time.Unix(1700000000, 0))
	shr := retry.NewSharedBudget(clk, func() retry.SharedLimits { return trm }, func() int { return sharers })
	man.Advance(time.Minute) // It saves up no more than its part.
	firsts, repeats := 0, 0
	for range 1000 { // one window of 10 s
		man.Advance(10 * time.Millisecond)
		if firsts%10 == 0 {
			shr.RecordFirstAttempt()
		}
		firsts++
		for shr.TakeRetry() {
			repeats++
		}
	}
	allowed := trm.Extra + trm.Ratio*float64(sharers*firsts/10)
	iis.True(float64(sharers*repeats) <= allowed)
	iis.True(repeats > 0)
}
