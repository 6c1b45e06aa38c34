package admit_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tarragonwheel/tarragonwheel/admit"
)

// newPartBench returns a bench of which 80% of the memory may be reserved for parts of split prompts.
func newPartBench() *bench {
	bnc := newBench()
	bnc.led.SetPartShare(0.8)
	return bnc
}

func (bnc *bench) reservePart(id string, tokens int) (*admit.Ticket, error) {
	return bnc.ReservePart(admit.PartRequest{
		To: tokens, Request: admit.Request{ID: id, Remaining: time.Hour, Streamed: true},
	})
}

// Guards against part reservations that exceed their share of memory, and against one that is not fully released.
func TestPartsStayWithinTheirShare(t *testing.T) {
	is := is.New(t)
	bnc := newPartBench()
	_, err := bnc.reservePart("h1", 80_001)
	is.Equal(reason(err), admit.ReasonPartRefused)
	hld, err := bnc.reservePart("h1", 80_000)
	is.NoErr(err)
	_, err = bnc.reservePart("h2", 1)
	is.Equal(reason(err), admit.ReasonPartRefused)
	is.True(dispatched(bnc.mustSubmit(t, 10_000)))
	hld.BeginPrefill()
	is.True(bnc.State().QueuedPrefill > 0) // The part counts in predictions.
	hld.EndPrefill()
	is.True(hld.Release())
	is.Equal(bnc.led.Usage().UsedByParts, 0)
	is.Equal(bnc.led.Usage().FreeForPart(), 80_000)
}

// Guards against starvation of a refused part reservation by long requests that take all freed memory before it tries
// again, and against a memory claim that never expires or delays short requests.
func TestRefusedPartFindsClaimedMemory(t *testing.T) {
	is := is.New(t)
	bnc := newPartBench()
	first := bnc.mustSubmit(t, 60_000)
	is.True(dispatched(first))
	_, err := bnc.reservePart("h1", 50_000)
	is.Equal(reason(err), admit.ReasonPartRefused)
	later := bnc.mustSubmit(t, 41_000)
	is.True(dispatched(bnc.mustSubmit(t, 1000)))
	is.True(first.Release())
	is.True(!dispatched(later)) // It would fit, but the memory is claimed for h1.
	hld, err := bnc.reservePart("h1", 50_000)
	is.NoErr(err)
	is.True(!dispatched(later))
	hld.Withdraw() // Another agent of the group has refused.
	is.True(!dispatched(later))
	bnc.time.Advance(4 * time.Second)
	bnc.DispatchAfterResize()
	is.True(dispatched(later))
}

// Guards against starvation of a long request by a succession of part reservations.
func TestPartsDoNotDelayOverdueRequests(t *testing.T) {
	is := is.New(t)
	bnc := newPartBench()
	one, err := bnc.reservePart("h1", 40_000)
	is.NoErr(err)
	long := bnc.mustSubmit(t, 60_000) // due after short bias 8 x 6 s of prefill
	is.True(!dispatched(long))
	two, err := bnc.reservePart("h2", 10_000)
	is.NoErr(err)
	bnc.time.Advance(50 * time.Second)
	_, err = bnc.reservePart("h3", 10_000)
	is.Equal(reason(err), admit.ReasonPartRefused)
	one.Withdraw()
	two.Withdraw() // A claim does not delay an overdue request.
	is.True(dispatched(long))
}
