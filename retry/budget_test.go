package retry_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tarragonwheel/tarragonwheel/retry"
)

// TestBudgetBoundsRetries guards against retries that multiply the load of a fleet that fails every attempt.
func TestBudgetBoundsRetries(t *testing.T) {
	is := is.New(t)
	bud := retry.NewBudget(0.1, nil)
	retries := 0
	for range 1000 {
		bud.RecordFirstAttempt()
		if _, denied := bud.RequestRetry(1, time.Minute, 0); denied == "" {
			retries++
		} else {
			is.Equal(denied, retry.DeniedBudget)
		}
	}
	is.True(retries >= 100 && retries <= 110) // a tenth of the first attempts, and the burst
	_, denied := bud.RequestUnchargedRetry(1, time.Minute, 0)
	is.Equal(denied, "") // A planned stop is not delayed by an empty budget.
}

// TestNoRetryWithoutTime guards against a retry that cannot end in time, and against charging the budget for it.
func TestNoRetryWithoutTime(t *testing.T) {
	is := is.New(t)
	bud := retry.NewBudget(0, func() float64 { return 0.5 })
	for range 20 {
		_, denied := bud.RequestRetry(1, 25*time.Millisecond, 20*time.Millisecond)
		is.Equal(denied, retry.DeniedTime)
	}
	delay, denied := bud.RequestRetry(3, time.Second, 20*time.Millisecond)
	is.Equal(denied, "")
	is.Equal(delay, 40*time.Millisecond)
}
