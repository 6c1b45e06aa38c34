package once_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tarragonwheel/tarragonwheel/logsvc"
	"github.com/tarragonwheel/tarragonwheel/once"
	"github.com/tarragonwheel/tarragonwheel/proto"
	"github.com/tarragonwheel/tarragonwheel/timer"
)

const manySlots = 16

// keyOf returns a key of the given slot that differs for each name.
func keyOf(slot int, name string) string {
	for num := 0; ; num++ {
		key := fmt.Sprint(name, num)
		if once.NewKey("acc", key).Slot(manySlots) == slot {
			return key
		}
	}
}

// Guards against a process that reads the streams of slots for which it has no calls, or that reads the log before its
// first call.
func TestOnlyUsedSlotsAreRead(t *testing.T) {
	is := is.New(t)
	ben := newBench(t, timer.New())
	var mu sync.Mutex
	streams := make(map[string]bool)
	rec, _ := ben.start(t, func(opts *once.Options) {
		opts.Slots = manySlots
		opts.Read = func(
			ctx context.Context, stream string, from int64, limit int, wait time.Duration,
		) (logsvc.Batch, error) {
			mu.Lock()
			streams[stream] = true
			mu.Unlock()
			return ben.cli.Read(ctx, stream, from, limit, wait)
		}
	})
	is.Equal(rec.Followed(), 0)
	svc := &service{}
	for _, name := range []string{"a", "b"} {
		is.Equal(rec.Do(context.Background(), ben.request(keyOf(3, name), "b"), svc.run).Outcome, proto.OutcomeDone)
	}
	is.Equal(rec.Followed(), 1)
	mu.Lock()
	defer mu.Unlock()
	is.Equal(streams, map[string]bool{"once-holds-3": true})
}

// Guards against reading the stream of an idle slot indefinitely, and against a second run of a call that another
// process ran while the slot was not followed here.
func TestIdleSlotIsNotReadUntilNextCall(t *testing.T) {
	is := is.New(t)
	clk, man := timer.NewManual(time.Unix(1000, 0))
	ben := newBench(t, clk)
	shortPolls := func(opts *once.Options) {
		opts.Slots = manySlots
		opts.Read = func(
			ctx context.Context, stream string, from int64, limit int, wait time.Duration,
		) (logsvc.Batch, error) {
			return ben.cli.Read(ctx, stream, from, limit, min(wait, 10*time.Millisecond))
		}
	}
	svc := &service{}
	one, _ := ben.start(t, shortPolls)
	one.Do(context.Background(), ben.request(keyOf(3, "a"), "b"), svc.run)
	man.Advance(2 * time.Minute)
	until(t, func() bool { return one.Followed() == 0 })
	before := one.Remembered()

	two, grp := ben.start(t, shortPolls)
	two.Do(context.Background(), ben.request(keyOf(3, "b"), "b"), svc.run)
	is.NoErr(grp.Stop())
	is.Equal(one.Remembered(), before) // The records of the other process have not been read here.
	res := one.Do(context.Background(), ben.request(keyOf(3, "b"), "b"), svc.run)
	is.Equal(res.Outcome, proto.OutcomeDone)
	is.True(!res.Ran)
	is.Equal(svc.runs.Load(), int32(2))
	is.Equal(one.Followed(), 1)
}
