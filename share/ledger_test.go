package share_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tarragonwheel/tarragonwheel/share"
	"github.com/tarragonwheel/tarragonwheel/timer"
)

func ExampleLedger() {
	clk, man := timer.NewManual(time.Unix(0, 0))
	led := share.New(clk)
	led.Add("one", time.Second)
	fmt.Println(led.PriceFactor("one"))
	led.Add("two", 3*time.Second)
	fmt.Println(led.PriceFactor("one"), led.PriceFactor("two"), led.PriceFactor("three"))
	man.Advance(time.Minute)
	fmt.Println(led.PriceFactor("two"))
	// Output:
	// 1
	// 0.5 1.5 0.5
	// 1
}

// TestLedgerIsBounded guards against a ledger that grows with the accounts, or that forgets busy ones for idle ones.
func TestLedgerIsBounded(t *testing.T) {
	iis := is.New(t)
	clk, _ := timer.NewManual(time.Unix(0, 0))
	led := share.New(clk)
	led.Add("busy", time.Hour)
	for num := range 3000 {
		led.Add(fmt.Sprint("account-", num), time.Second)
	}
	iis.Equal(led.Accounts(), 1024)
	iis.Equal(led.PriceFactor("busy"), 2.0)
}

// TestRetryAfterIsWithinBounds guards against clients that return while the replicas are still busy, too late for their
// deadline, or all together.
func TestRetryAfterIsWithinBounds(t *testing.T) {
	iis := is.New(t)
	for _, busyFor := range []time.Duration{0, 100 * time.Millisecond, time.Second, time.Minute} {
		for _, limit := range []time.Duration{400 * time.Millisecond, time.Second, 5 * time.Second, 20 * time.Second} {
			earliest, latest := share.RetryAfter(busyFor, limit, 0), share.RetryAfter(busyFor, limit, 0.999)
			iis.True(earliest >= 300*time.Millisecond)
			iis.True(latest <= limit)
			iis.True(latest-earliest >= min(limit-300*time.Millisecond, 390*time.Millisecond)*9/10)
		}
	}
	iis.True(share.RetryAfter(2*time.Second, 20*time.Second, 0) >= 2*time.Second)
	iis.True(share.RetryAfter(time.Second, -time.Second, 0) > 0) // The client has no time left.
}

// TestWaitingCallYieldsToAccountWithLessWork guards against a call that overtakes one of equal value whose account has
// had less, and against calls that wait for others of a different value or service.
func TestWaitingCallYieldsToAccountWithLessWork(t *testing.T) {
	iis := is.New(t)
	var que share.Queue
	wtr := share.Waiter{Service: "s", Value: 10, PriceFactor: 1}
	leave := que.Enter(wtr)
	iis.True(que.ShouldYield(share.Waiter{Service: "s", Value: 10.5, PriceFactor: 2}))
	iis.True(!que.ShouldYield(wtr))
	iis.True(!que.ShouldYield(share.Waiter{Service: "s", Value: 10, PriceFactor: 0.5}))
	iis.True(!que.ShouldYield(share.Waiter{Service: "s", Value: 20, PriceFactor: 2}))
	iis.True(!que.ShouldYield(share.Waiter{Service: "t", Value: 10, PriceFactor: 2}))
	leave()
	iis.True(!que.ShouldYield(share.Waiter{Service: "s", Value: 10, PriceFactor: 2}))
}

// BenchmarkLedger measures a call at the target's 750 accounts, with 86 calls a second.
func BenchmarkLedger(ben *testing.B) {
	clk, man := timer.NewManual(time.Unix(0, 0))
	led := share.New(clk)
	for idx := 0; ben.Loop(); idx++ {
		account := fmt.Sprint("account-", idx%750)
		led.PriceFactor(account)
		led.Add(account, time.Second)
		man.Advance(time.Second / 86)
	}
}
