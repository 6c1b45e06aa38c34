package front

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"

	"github.com/tarragonwheel/tarragonwheel/follow"
	"github.com/tarragonwheel/tarragonwheel/group"
	"github.com/tarragonwheel/tarragonwheel/metric"
	"github.com/tarragonwheel/tarragonwheel/timer"
)

// TestLongStopIsNoticed guards against calls that are sent with outdated knowledge of evacuated data centres after the
// process was stopped, and against calls that wait although it was not, or longer than needed.
func TestLongStopIsNoticed(t *testing.T) {
	iis := is.New(t)
	var fzw freezeWatch
	start := time.Unix(1_700_000_000, 0)
	for _, at := range []time.Duration{0, time.Second, time.Second + maxFreeze} {
		resumedAt, isNew := fzw.recordRun(start.Add(at))
		iis.True(resumedAt.IsZero() && !isNew)
	}
	resumed := start.Add(time.Minute)
	for num := range 3 {
		resumedAt, isNew := fzw.recordRun(resumed.Add(time.Duration(num) * time.Millisecond))
		iis.Equal(resumedAt, resumed)
		iis.Equal(isNew, num == 0)
	}
	fzw.finish()
	resumedAt, _ := fzw.recordRun(resumed.Add(time.Second))
	iis.True(resumedAt.IsZero())
}

// TestCallsWaitForTheTopicAfterAStop guards against calls that are sent to an evacuated data centre just after the
// process was stopped, because its long poll has not shown the record yet, and against calls that wait for ever for a
// store that does not answer.
func TestCallsWaitForTheTopicAfterAStop(t *testing.T) {
	for name, storeAnswers := range map[string]bool{"store answers": true, "store is lost": false} {
		t.Run(name, func(t *testing.T) {
			iis := is.New(t)
			clk := timer.New()
			grp := group.New(t.Context(), "test")
			t.Cleanup(func() { _ = grp.Stop() })
			var reads, listings atomic.Int64
			frt := &Front{
				clock: clk, log: logr.Discard(), metrics: metric.New(), following: make(chan struct{}),
			}
			frt.configFollower = follow.Start(grp, follow.Options{
				Name: "configuration", Clock: clk, Log: logr.Discard(),
				LongPollTimeout: func() time.Duration { return time.Minute }, ResponseTimeout: time.Second,
				OnList: func([]follow.Record, follow.Position) { listings.Add(1) }, OnChange: func(follow.Record) {},
				Source: follow.Source{
					List: func(context.Context) ([]follow.Record, follow.Position, error) {
						return nil, follow.Position{Era: 1}, nil
					},
					Read: func(
						ctx context.Context, from follow.Position, wait time.Duration,
					) ([]follow.Record, follow.Position, error) {
						if wait > 0 { // A long poll on a dead connection.
							<-ctx.Done()
							return nil, follow.Position{}, ctx.Err()
						}
						if !storeAnswers {
							return nil, follow.Position{}, errors.New("no answer")
						}
						reads.Add(1)
						return nil, from, nil
					},
				},
			})
			close(frt.following)
			for listings.Load() == 0 {
				time.Sleep(time.Millisecond)
			}
			time.Sleep(20 * time.Millisecond) // until the long poll has begun
			frt.awaitOperatorTopic(t.Context())
			iis.Equal(reads.Load(), int64(0)) // The process was not stopped.
			frt.freeze.ranAt = clk.Now().Add(-maxFreeze - time.Second)
			begun := time.Now()
			frt.awaitOperatorTopic(t.Context())
			waited := time.Since(begun)
			iis.Equal(reads.Load() > 0, storeAnswers)
			if storeAnswers {
				iis.True(waited < maxCatchUpTime)
			} else {
				iis.True(waited >= maxCatchUpTime)
			}
			iis.True(!frt.hasMissedRecords())
		})
	}
}
