package queue_test

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tarragonwheel/tarragonwheel/queue"
	"github.com/tarragonwheel/tarragonwheel/timer"
)

var start = time.Unix(1700000000, 0)

// enter lets a call wait and returns when it is in the queue. Its name is sent to order at its turn.
func enter(t *testing.T, que *queue.Queue, name string, arrived, startBy time.Duration, order chan string) {
	t.Helper()
	before := que.Len()
	go func() {
		if que.Wait(context.Background(), start.Add(arrived), start.Add(startBy)) == nil {
			order <- name
		}
	}()
	for que.Len() == before {
		time.Sleep(time.Millisecond)
	}
}

// TestOnTimeCallsGoFirst answers the pattern of a burst that exceeds the slots: in order of arrival, every call would be
// late once the queue is longer than the goal.
func TestOnTimeCallsGoFirst(t *testing.T) {
	iis := is.New(t)
	clk, _ := timer.NewManual(start.Add(500 * time.Millisecond))
	que := queue.New(clk)
	order := make(chan string, 1)
	enter(t, que, "late first", 0, 100*time.Millisecond, order)
	enter(t, que, "late second", 10*time.Millisecond, 110*time.Millisecond, order)
	enter(t, que, "on time", 400*time.Millisecond, 600*time.Millisecond, order)
	enter(t, que, "on time, sooner", 410*time.Millisecond, 550*time.Millisecond, order)
	for _, want := range []string{"on time", "on time, sooner", "late first", "late second"} {
		que.Wake()
		iis.Equal(<-order, want)
	}
}

// TestCallThatEndsLeaves guards against turns that are given to calls whose client has left.
func TestCallThatEndsLeaves(t *testing.T) {
	iis := is.New(t)
	clk, _ := timer.NewManual(start)
	que := queue.New(clk)
	ctx, cancel := context.WithCancelCause(context.Background())
	left := errors.New("client left")
	cancel(left)
	iis.True(errors.Is(que.Wait(ctx, start, start), left))
	iis.Equal(que.Len(), 0)
}
