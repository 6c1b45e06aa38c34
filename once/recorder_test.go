package once_test

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tarragonwheel/tarragonwheel/logsvc"
	"github.com/tarragonwheel/tarragonwheel/once"
	"github.com/tarragonwheel/tarragonwheel/proto"
	"github.com/tarragonwheel/tarragonwheel/timer"
)

// Guards against a retry through another process, after the first process has ended, that runs the call again or gets
// another answer.
func TestRetryElsewhereGetsRecordedAnswer(t *testing.T) {
	is := is.New(t)
	ben := newBench(t, timer.New())
	svc := &service{size: 5}
	one, grp := ben.start(t, nil)
	is.Equal(one.Do(context.Background(), ben.request("k", "b"), svc.run).Outcome, proto.OutcomeDone)
	is.NoErr(grp.Stop()) // A planned stop records the ends of calls.
	two, _ := ben.start(t, nil)
	res := two.Do(context.Background(), ben.request("k", "b"), svc.run)
	is.Equal(res.Outcome, proto.OutcomeDone)
	is.Equal(res.Answer.Status, 201)
	is.Equal(len(res.Answer.Body), 5)
	is.Equal(svc.runs.Load(), int32(1))
	is.Equal(two.Do(context.Background(), ben.request("k", "x"), svc.run).Reason, once.ReasonKeyReused)
}

// Guards against a long answer that is written to the log, or a call whose outcome is not reported as done once its
// answer is lost.
func TestLongAnswerIsLostWithItsProcess(t *testing.T) {
	is := is.New(t)
	ben := newBench(t, timer.New())
	svc := &service{size: once.MaxRecordedBody + 1}
	one, grp := ben.start(t, nil)
	one.Do(context.Background(), ben.request("k", "b"), svc.run)
	is.Equal(len(one.Do(context.Background(), ben.request("k", "b"), svc.run).Answer.Body), svc.size)
	is.NoErr(grp.Stop())
	two, _ := ben.start(t, nil)
	res := two.Do(context.Background(), ben.request("k", "b"), svc.run)
	is.Equal(res.Outcome, proto.OutcomeDone)
	is.Equal(res.Reason, once.ReasonAnswerLost)
	is.Equal(svc.runs.Load(), int32(1))
}

// Guards against reporting an answer as lost when it was dropped from memory but is in the log.
func TestDroppedAnswerIsReadFromLog(t *testing.T) {
	is := is.New(t)
	ben := newBench(t, timer.New())
	svc := &service{size: 100}
	rec, _ := ben.start(t, func(opts *once.Options) { opts.AnswerMemory = 50 })
	rec.Do(context.Background(), ben.request("k", "b"), svc.run)
	until(t, func() bool {
		return rec.Do(context.Background(), ben.request("k", "b"), svc.run).Answer != nil
	})
	is.Equal(svc.runs.Load(), int32(1))
}

// Guards against the refusal of a call whose start is in the log, when only the response to the append was lost.
func TestLostAppendResponseIsResolvedByReading(t *testing.T) {
	is := is.New(t)
	ben := newBench(t, timer.New())
	svc := &service{}
	rec, _ := ben.start(t, nil)
	ben.log.LoseResponses(1)
	is.Equal(rec.Do(context.Background(), ben.request("k", "b"), svc.run).Outcome, proto.OutcomeDone)
	is.Equal(svc.runs.Load(), int32(1))
}

// Guards against a second run, or a key that loses its answer, when each batch is appended twice.
func TestBatchAppendedTwiceIsIdempotent(t *testing.T) {
	is := is.New(t)
	ben := newBench(t, timer.New())
	svc := &service{}
	rec, _ := ben.start(t, func(opts *once.Options) {
		opts.Append = func(ctx context.Context, stream string, data []byte) (int64, error) {
			_, _ = ben.cli.Append(ctx, stream, data)
			return ben.cli.Append(ctx, stream, data)
		}
	})
	is.Equal(rec.Do(context.Background(), ben.request("k", "b"), svc.run).Outcome, proto.OutcomeDone)
	until(t, func() bool { return ben.log.Appends() == 4 })
	two, _ := ben.start(t, nil)
	is.Equal(two.Do(context.Background(), ben.request("k", "b"), svc.run).Outcome, proto.OutcomeDone)
	is.Equal(svc.runs.Load(), int32(1))
}

// Guards against a call that runs after it was refused, and against a key that stays blocked, when an append takes
// effect long after the call has given up.
func TestLateAppendIsAbandoned(t *testing.T) {
	is := is.New(t)
	ben := newBench(t, timer.New())
	svc := &service{}
	rec, _ := ben.start(t, func(opts *once.Options) { opts.RecordLimit = 50 * time.Millisecond })
	ben.log.SetDelay(300 * time.Millisecond)
	res := rec.Do(context.Background(), ben.request("k", "b"), svc.run)
	is.Equal(res.Outcome, proto.OutcomeNotRun)
	is.Equal(res.Reason, once.ReasonLogUnavailable)
	until(t, func() bool { return ben.log.Appends() >= 1 })
	ben.log.SetDelay(0)
	is.Equal(svc.runs.Load(), int32(0))
	ben.untilDone(t, rec, svc)
	is.Equal(svc.runs.Load(), int32(1))
}

// Guards against running a call after its deadline, when the process was paused between recording and running it.
func TestPausedOwnerDoesNotRun(t *testing.T) {
	is := is.New(t)
	clk, man := timer.NewManual(time.Unix(1000, 0))
	ben := newBench(t, clk)
	svc := &service{}
	rec, _ := ben.start(t, nil)
	pause := func(ctx context.Context, gate func() error) (once.Answer, bool, error) {
		man.Advance(time.Hour)
		return svc.run(ctx, gate)
	}
	res := rec.Do(context.Background(), ben.request("k", "b"), pause)
	is.Equal(res.Outcome, proto.OutcomeNotRun)
	is.Equal(res.Reason, once.ReasonTimeout)
	is.Equal(svc.runs.Load(), int32(0))
}

// Guards against a second run of a call that another process has started and not ended: it may have taken effect. Also
// checks that a retry at the process that runs the call waits for its answer.
func TestStartOfOtherProcessWithoutEndIsUnknown(t *testing.T) {
	is := is.New(t)
	ben := newBench(t, timer.New())
	one, _ := ben.start(t, nil)
	two, _ := ben.start(t, nil)
	running, release := make(chan struct{}), make(chan struct{})
	go one.Do(context.Background(), ben.request("k", "b"),
		func(context.Context, func() error) (once.Answer, bool, error) {
			close(running)
			<-release
			return once.Answer{Status: 200}, true, nil
		})
	<-running
	svc := &service{}
	res := two.Do(context.Background(), ben.request("k", "b"), svc.run)
	is.Equal(res.Outcome, proto.OutcomeUnknown)
	joined := make(chan once.Result, 1)
	go func() { joined <- one.Do(context.Background(), ben.request("k", "b"), svc.run) }()
	is.Equal(one.Do(context.Background(), ben.request("k", "x"), svc.run).Reason, once.ReasonKeyReused)
	close(release)
	is.Equal((<-joined).Answer.Status, 200)
	is.Equal(svc.runs.Load(), int32(0))
}

// Guards against a call that runs without a record while the log is down, and against a key that is still refused
// afterwards.
func TestLogDownRefuses(t *testing.T) {
	is := is.New(t)
	ben := newBench(t, timer.New())
	svc := &service{}
	rec, _ := ben.start(t, func(opts *once.Options) { opts.RecordLimit = 50 * time.Millisecond })
	ben.log.SetDown(true)
	res := rec.Do(context.Background(), ben.request("k", "b"), svc.run)
	is.Equal(res.Outcome, proto.OutcomeNotRun)
	is.Equal(res.Reason, once.ReasonLogUnavailable)
	is.True(res.RetryAfter > 0)
	ben.log.SetDown(false)
	ben.untilDone(t, rec, svc)
	is.Equal(svc.runs.Load(), int32(1))
}

// Guards against keys that stay in memory for ever.
func TestWindowForgetsKeys(t *testing.T) {
	is := is.New(t)
	clk, man := timer.NewManual(time.Unix(1000, 0))
	ben := newBench(t, clk)
	svc := &service{}
	rec, _ := ben.start(t, nil)
	rec.Do(context.Background(), ben.request("k", "b"), svc.run)
	is.Equal(rec.Remembered(), 1)
	// The end of the call may be read only after the first advance, and then counts from there.
	until(t, func() bool {
		man.Advance(2 * time.Minute)
		return rec.Remembered() == 0
	})
}

// Guards against running calls after the log has lost records: new records get offsets that count as read, so the start
// of another process could be missed and its call run again.
func TestLogThatLostRecordsIsNotUsed(t *testing.T) {
	is := is.New(t)
	ben := newBench(t, timer.New())
	svc := &service{}
	var empty atomic.Bool
	rec, _ := ben.start(t, func(opts *once.Options) {
		opts.RecordLimit = 50 * time.Millisecond
		opts.Read = func(
			ctx context.Context, stream string, from int64, limit int, wait time.Duration,
		) (logsvc.Batch, error) {
			if from > 1 && empty.Swap(false) { // A loss can't be detected before a slot has read anything.
				return logsvc.Batch{Oldest: 1, Next: 1}, nil
			}
			return ben.cli.Read(ctx, stream, from, limit, min(wait, 10*time.Millisecond))
		}
	})
	ben.untilDone(t, rec, svc)
	empty.Store(true)
	until(t, func() bool {
		key := time.Now().String()
		return rec.Do(context.Background(), ben.request(key, "b"), svc.run).Reason == once.ReasonLogUnavailable
	})
	for num := range 5 { // A follower that continued would have read the log again by then.
		time.Sleep(20 * time.Millisecond)
		res := rec.Do(context.Background(), ben.request(fmt.Sprint("other", num), "b"), svc.run)
		is.Equal(res.Reason, once.ReasonLogUnavailable)
	}
	is.Equal(rec.Do(context.Background(), ben.request("k", "b"), svc.run).Outcome, proto.OutcomeDone)
}
