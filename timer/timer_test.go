package timer_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tarragonwheel/tarragonwheel/timer"
)

func ExampleNewManual() {
	svc, clock := timer.NewManual(time.Unix(0, 0))
	svc.After(time.Second, func() { fmt.Println("due") })
	clock.Advance(time.Second)
	// Output: due
}

// TestEveryStops guards against a repeated call that drifts, or that goes on after Stop.
func TestEveryStops(t *testing.T) {
	is := is.New(t)
	svc, clock := timer.NewManual(time.Unix(0, 0))
	count := 0
	sub := svc.Every(time.Second, func() { count++ })
	clock.Advance(3500 * time.Millisecond)
	is.Equal(count, 3)
	sub.Stop()
	clock.Advance(10 * time.Second)
	is.Equal(count, 3)
}

// TestWithTimeoutCause guards against a timeout that a caller cannot distinguish from a cancellation.
func TestWithTimeoutCause(t *testing.T) {
	is := is.New(t)
	svc, clock := timer.NewManual(time.Unix(0, 0))
	ctx, cancel := svc.WithTimeout(context.Background(), time.Second)
	defer cancel()
	clock.Advance(time.Second)
	is.Equal(context.Cause(ctx), context.DeadlineExceeded)
}
