package admit_test

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tarragonwheel/tarragonwheel/admit"
	"github.com/tarragonwheel/tarragonwheel/cost"
	"github.com/tarragonwheel/tarragonwheel/ledger"
	"github.com/tarragonwheel/tarragonwheel/timer"
)

// bench is a queue on a manual clock, for an engine with 100,000 tokens of KV memory that prefills 10,000 tokens a
// second. Short prompts have up to 10,000 tokens.
type bench struct {
	*admit.Queue
	clock *timer.Service
	time  *timer.Manual
	model *cost.Model
	led   *ledger.Ledger
	count int
}

func newBench() *bench {
	bnc := &bench{model: cost.NewModel(), led: ledger.New(0.1)}
	bnc.clock, bnc.time = timer.NewManual(time.Unix(0, 0))
	bnc.model.ReportedRate(10_000)
	bnc.led.Resize(100_000, 20)
	bnc.Queue = admit.New(admit.Options{
		Clock: bnc.clock, Model: bnc.model, Ledger: bnc.led, ShortBias: 8, ShortLimit: 10_000,
		Window: 100 * time.Millisecond, Limit: 100,
	})
	return bnc
}

func (bnc *bench) submit(prompt int, remaining time.Duration) (*admit.Ticket, error) {
	bnc.count++
	return bnc.Submit(admit.Request{
		ID: fmt.Sprint(bnc.count), PromptTokens: prompt, Remaining: remaining, Streamed: true,
	})
}

func (bnc *bench) mustSubmit(t *testing.T, prompt int) *admit.Ticket {
	t.Helper()
	tick, err := bnc.submit(prompt, time.Hour)
	if err != nil {
		t.Fatal(err)
	}
	return tick
}

// dispatched reports whether the request has been dispatched, without waiting for it.
func dispatched(tick *admit.Ticket) bool {
	select {
	case <-tick.Ready():
		return tick.Wait(context.Background()) == nil
	default:
		return false
	}
}

// reason returns the reason code of a refusal, or the text of any other error.
func reason(err error) string {
	var ref *admit.Refusal
	if errors.As(err, &ref) {
		return ref.Reason
	}
	return fmt.Sprint(err)
}

// Guards against first-come-first-served dispatch, and against so many requests at the engine that the order of the
// queue has no effect.
func TestDueOrderAndWindow(t *testing.T) {
	is := is.New(t)
	bnc := newBench()
	one, two := bnc.mustSubmit(t, 20_000), bnc.mustSubmit(t, 20_000)
	long := bnc.mustSubmit(t, 20_001)
	is.True(dispatched(one) && dispatched(two))
	is.True(!dispatched(long)) // The engine has two requests that are due earlier.
	short := bnc.mustSubmit(t, 1000)
	is.True(dispatched(short)) // It is due before all requests at the engine.
	is.True(short.Priority() < one.Priority())
	bnc.time.Advance(17 * time.Second) // Now a short request is due after the long ones.
	late := bnc.mustSubmit(t, 1000)
	is.True(!dispatched(late))
	short.FirstToken()
	one.FirstToken()
	is.True(dispatched(long))
	is.True(!dispatched(late))
	two.FirstToken()
	is.True(dispatched(late))
}

// Guards against requests that are queued or executed although they cannot finish in time.
func TestRefusesWhatCannotFinish(t *testing.T) {
	is := is.New(t)
	bnc := newBench()
	_, err := bnc.submit(100_001, time.Hour)
	is.Equal(reason(err), admit.ReasonPromptTooLong)
	_, err = bnc.submit(20_000, 1900*time.Millisecond)
	is.Equal(reason(err), admit.ReasonCannotFinish)
	bnc.mustSubmit(t, 20_000)
	second := bnc.mustSubmit(t, 20_000)
	_, err = bnc.submit(20_000, 5*time.Second) // 4 s of prefill are ahead.
	is.Equal(reason(err), admit.ReasonCannotFinish)
	third, err := bnc.submit(20_000, 6100*time.Millisecond)
	is.NoErr(err)
	bnc.time.Advance(5 * time.Second) // The engine stalls.
	second.FirstToken()
	is.Equal(reason(third.Wait(context.Background())), admit.ReasonCannotFinish)
	bnc.Refuse("draining")
	_, err = bnc.submit(1000, time.Hour)
	is.Equal(reason(err), "draining")
}

// Guards against queued requests that reach the engine after their caller has disconnected or their time limit has
// passed, and against reservations that such requests leave behind.
func TestEndedInQueueNeverRuns(t *testing.T) {
	is := is.New(t)
	bnc := newBench()
	one, two := bnc.mustSubmit(t, 20_000), bnc.mustSubmit(t, 20_000)
	gone, late := bnc.mustSubmit(t, 20_000), bnc.mustSubmit(t, 20_000)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	is.Equal(reason(gone.Wait(ctx)), admit.ReasonCancelled)
	lim, stop := bnc.clock.WithTimeout(context.Background(), time.Second)
	defer stop()
	bnc.time.Advance(time.Second)
	is.Equal(reason(late.Wait(lim)), admit.ReasonTimeout)
	is.Equal(bnc.State().Waiting, 0)
	is.True(one.Release() && two.Release())
	is.True(!one.Release())
	is.Equal(reason(gone.Wait(context.Background())), admit.ReasonCancelled) // It stays refused.
	is.Equal(bnc.led.Usage().Used, 0)
	is.Equal(bnc.State().QueuedPrefill, time.Duration(0))
}

// Guards against a leaked reservation of a request whose caller disconnects at the moment of dispatch.
func TestCancelledAtDispatch(t *testing.T) {
	is := is.New(t)
	bnc := newBench()
	tick := bnc.mustSubmit(t, 1000)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	is.Equal(reason(tick.Wait(ctx)), admit.ReasonCancelled)
	is.Equal(bnc.led.Usage().Running, 0)
}

// Guards against starvation in both directions: a long request for which there is never enough free memory at once
// because short requests keep taking it, and short requests that have to wait because a long one does.
func TestMemoryWaitIsBounded(t *testing.T) {
	is := is.New(t)
	bnc := newBench()
	var running []*admit.Ticket
	for range 8 {
		tick := bnc.mustSubmit(t, 11_000)
		tick.FirstToken()
		running = append(running, tick)
	}
	long := bnc.mustSubmit(t, 80_000)
	is.True(!dispatched(long))
	bnc.time.Advance(65 * time.Second) // It is overdue.
	overtook := 0
	for idx := 0; idx < 100 && !dispatched(long); idx++ {
		// Each request that ends is followed by a short one.
		if len(running) > 0 {
			running[0].Release()
			running = running[1:]
		}
		tick := bnc.mustSubmit(t, 2000)
		if dispatched(tick) {
			tick.FirstToken()
			running = append(running, tick)
			overtook++
		}
	}
	is.True(dispatched(long))
	is.True(overtook > 0)  // Short requests still use the headroom.
	is.True(overtook < 20) // They don't delay the long request indefinitely.
	small := bnc.mustSubmit(t, 500)
	is.True(dispatched(small))
}

// Guards against a predicted prefill rate that never follows the engine's, also when one prefill interrupts another.
func TestLearnsPrefillRate(t *testing.T) {
	is := is.New(t)
	bnc := newBench()
	for range 40 {
		long, short := bnc.mustSubmit(t, 20_000), bnc.mustSubmit(t, 5000)
		bnc.time.Advance(time.Second)
		short.FirstToken()
		bnc.time.Advance(4 * time.Second)
		long.FirstToken()
		is.True(long.Release() && short.Release())
	}
	rate := bnc.model.Rate()
	is.True(rate > 4900 && rate < 5600) // 25,000 tokens in 5 s
}

// Guards against a learnt rate far above the engine's, when a long prefill that began in one rate sample ends in the
// next.
func TestRateOfInterruptedPrefill(t *testing.T) {
	is := is.New(t)
	bnc := newBench()
	long := bnc.mustSubmit(t, 40_000)
	bnc.time.Advance(3900 * time.Millisecond)
	short := bnc.mustSubmit(t, 1000)
	bnc.time.Advance(100 * time.Millisecond)
	short.FirstToken()
	bnc.time.Advance(100 * time.Millisecond)
	long.FirstToken()
	is.Equal(bnc.model.Rate(), 10_000.0)
}

// Guards against requests that are not streamed and occupy the window until their whole answer has arrived.
func TestUnobservedPrefillEndsWhenPredicted(t *testing.T) {
	is := is.New(t)
	bnc := newBench()
	for idx := range 2 {
		_, err := bnc.Submit(admit.Request{ID: fmt.Sprint("whole", idx), PromptTokens: 5000, Remaining: time.Hour})
		is.NoErr(err)
	}
	next := bnc.mustSubmit(t, 6000)
	is.True(!dispatched(next))
	bnc.time.Advance(600 * time.Millisecond)
	is.True(dispatched(next))
	is.Equal(bnc.model.Rate(), 10_000.0)
}

func ExampleQueue() {
	led := ledger.New(0.1)
	led.Resize(100_000, 8)
	que := admit.New(admit.Options{
		Clock: timer.New(), Model: cost.NewModel(), Ledger: led, ShortBias: 8, ShortLimit: 10_000, Limit: 10,
	})
	tick, err := que.Submit(admit.Request{ID: "attempt", PromptTokens: 500, Remaining: time.Minute})
	if err != nil {
		return
	}
	fmt.Println(tick.Wait(context.Background()), led.Usage().Used)
	tick.Release()
	fmt.Println(led.Usage().Used)
	// Output:
	// <nil> 500
	// 0
}

// Guards against entries that consider an engine free of long prompts while one takes longer to prefill than predicted.
func TestOverdueLongPrefillStillCounts(t *testing.T) {
	is := is.New(t)
	bnc := newBench()
	long, short := bnc.mustSubmit(t, 20_000), bnc.mustSubmit(t, 1000)
	is.Equal(bnc.State().LongPrefill, 2*time.Second)
	is.Equal(bnc.State().QueuedPrefill, 2100*time.Millisecond)
	short.FirstToken()
	bnc.time.Advance(3 * time.Second)
	is.True(bnc.State().LongPrefill > 0 && bnc.State().LongPrefill <= bnc.State().QueuedPrefill)
	long.FirstToken()
	is.Equal(bnc.State().LongPrefill, time.Duration(0))
}

// Guards against the dispatch of a request that can't finish in time because of the engine's prefill backlog.
func TestDispatchCountsEngineBacklog(t *testing.T) {
	is := is.New(t)
	bnc := newBench()
	one, two := bnc.mustSubmit(t, 20_000), bnc.mustSubmit(t, 20_000)
	third, err := bnc.submit(20_001, 6100*time.Millisecond)
	is.NoErr(err)
	is.True(dispatched(one) && dispatched(two))
	bnc.time.Advance(3 * time.Second) // A second longer than predicted.
	one.FirstToken()
	is.Equal(reason(third.Wait(context.Background())), admit.ReasonCannotFinish)
}
