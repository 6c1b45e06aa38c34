package ledger_test

import (
	"fmt"
	"strconv"
	"sync"
	"testing"

	"github.com/gravitational/trace"
	"github.com/matryer/is"

	"github.com/tarragonwheel/tarragonwheel/ledger"
)

func ExampleLedger_Reserve() {
	led := ledger.New(0.1)
	led.Resize(1000, 10)
	fmt.Println(led.Reserve(ledger.Reservation{AttemptID: "one", Tokens: 900}))
	fmt.Println(led.Usage().Free(), led.Release("one"), led.Release("one"))
	// Output:
	// <nil>
	// 100 true false
}

// Guards against long requests that use the memory or slots of the headroom for short requests.
func TestHeadroomIsForShortRequests(t *testing.T) {
	is := is.New(t)
	led := ledger.New(0.2)
	led.Resize(1000, 5)
	is.True(trace.IsLimitExceeded(led.Reserve(ledger.Reservation{AttemptID: "long", Tokens: 801})))
	for idx := range 4 {
		is.NoErr(led.Reserve(ledger.Reservation{AttemptID: strconv.Itoa(idx), Tokens: 10}))
	}
	is.True(trace.IsLimitExceeded(led.Reserve(ledger.Reservation{AttemptID: "fifth", Tokens: 10})))
	is.NoErr(led.Reserve(ledger.Reservation{AttemptID: "short", Tokens: 960, Short: true}))
}

// Guards against memory counted twice or freed twice when attempts reserve and release at the same time.
func TestConcurrentUseReturnsToZero(t *testing.T) {
	is := is.New(t)
	led := ledger.New(0.1)
	led.Resize(500, 64)
	var wait sync.WaitGroup
	for wkr := range 16 {
		wait.Go(func() {
			for idx := range 500 {
				attempt := fmt.Sprint(wkr, "-", idx)
				rsv := ledger.Reservation{AttemptID: attempt, Tokens: 1 + idx%90, Short: idx%2 == 0}
				if led.Reserve(rsv) == nil {
					if led.Reserve(rsv) == nil {
						t.Error("the ledger accepted a second reservation for the same attempt")
					}
					if usg := led.Usage(); usg.Used > usg.Tokens || usg.UsedLong > usg.LongLimit {
						t.Error("the reserved memory exceeds the engine's or the limit for long requests")
					}
					led.Release(attempt)
					led.Release(attempt)
				}
			}
		})
	}
	wait.Wait()
	usg := led.Usage()
	is.Equal(usg.Used+usg.UsedLong+usg.Running, 0)
}
