package admit_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tarragonwheel/tarragonwheel/admit"
)

func newHoldBench() *bench {
	bnc := newBench()
	bnc.led.ShareHolds(0.8)
	return bnc
}

func (bnc *bench) hold(id string, tokens int) (*admit.Ticket, error) {
	return bnc.Hold(admit.HoldRequest{
		To: tokens, Request: admit.Request{ID: id, Remaining: time.Hour, Streamed: true},
	})
}

// Guards against holds that exceed their share of memory, and against a hold that is not wholly returned.
func TestHoldsStayWithinTheirShare(t *testing.T) {
	is := is.New(t)
	bnc := newHoldBench()
	_, err := bnc.hold("h1", 80_001)
	is.Equal(reason(err), admit.ReasonHoldRefused)
	hld, err := bnc.hold("h1", 80_000)
	is.NoErr(err)
	_, err = bnc.hold("h2", 1)
	is.Equal(reason(err), admit.ReasonHoldRefused)
	is.True(passed(bnc.must(t, 10_000)))
	hld.Begin()
	is.True(bnc.State().Work > 0) // The part counts in predictions.
	hld.Prefilled()
	is.True(hld.Release())
	is.Equal(bnc.led.Usage().UsedHold, 0)
	is.Equal(bnc.led.Usage().FreeHold(), 80_000)
}

// Guards against long requests that take freed memory for ever before a hold that was refused, and against a claim that
// outlives the interest in it or delays short requests.
func TestRefusedHoldMeetsItsClaim(t *testing.T) {
	is := is.New(t)
	bnc := newHoldBench()
	first := bnc.must(t, 60_000)
	is.True(passed(first))
	_, err := bnc.hold("h1", 50_000)
	is.Equal(reason(err), admit.ReasonHoldRefused)
	later := bnc.must(t, 41_000)
	is.True(passed(bnc.must(t, 1000)))
	is.True(first.Release())
	is.True(!passed(later)) // It would fit, but the refused hold comes before it.
	hld, err := bnc.hold("h1", 50_000)
	is.NoErr(err)
	is.True(!passed(later))
	hld.Withdraw() // Another agent of the group has refused.
	is.True(!passed(later))
	bnc.time.Advance(4 * time.Second)
	bnc.Retry()
	is.True(passed(later))
}

// Guards against a long request that waits for ever while holds come and go.
func TestHoldsLeaveOverdueRequestsAlone(t *testing.T) {
	is := is.New(t)
	bnc := newHoldBench()
	one, err := bnc.hold("h1", 40_000)
	is.NoErr(err)
	long := bnc.must(t, 60_000) // due after 8 times 6 s
	is.True(!passed(long))
	two, err := bnc.hold("h2", 10_000)
	is.NoErr(err)
	bnc.time.Advance(50 * time.Second)
	_, err = bnc.hold("h3", 10_000)
	is.Equal(reason(err), admit.ReasonHoldRefused)
	one.Withdraw()
	two.Withdraw() // Neither claim stops an overdue request.
	is.True(passed(long))
}
