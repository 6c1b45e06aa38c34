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
	fmt.Println(led.Reserve(ledger.Reservation{Owner: "one", Tokens: 900}))
	fmt.Println(led.Usage().Free(), led.Release("one"), led.Release("one"))
	// Output:
	// <nil>
	// 100 true false
}

// Guards against long requests that take the share of memory or slots kept for short ones.
func TestHeadroomIsForShortRequests(t *testing.T) {
	is := is.New(t)
	led := ledger.New(0.2)
	led.Resize(1000, 5)
	is.True(trace.IsLimitExceeded(led.Reserve(ledger.Reservation{Owner: "long", Tokens: 801})))
	for idx := range 4 {
		is.NoErr(led.Reserve(ledger.Reservation{Owner: strconv.Itoa(idx), Tokens: 10}))
	}
	is.True(trace.IsLimitExceeded(led.Reserve(ledger.Reservation{Owner: "fifth", Tokens: 10})))
	is.NoErr(led.Reserve(ledger.Reservation{Owner: "short", Tokens: 960, Short: true}))
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
				owner := fmt.Sprint(wkr, "-", idx)
				rsv := ledger.Reservation{Owner: owner, Tokens: 1 + idx%90, Short: idx%2 == 0}
				if led.Reserve(rsv) == nil {
					if led.Reserve(rsv) == nil {
						t.Error("reserved twice")
					}
					if usg := led.Usage(); usg.Used > usg.Tokens || usg.UsedLong > usg.LongMax {
						t.Error("more reserved than there is")
					}
					led.Release(owner)
					led.Release(owner)
				}
			}
		})
	}
	wait.Wait()
	usg := led.Usage()
	is.Equal(usg.Used+usg.UsedLong+usg.Running, 0)
}
