package quota_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tarragonwheel/tarragonwheel/proto"
	"github.com/tarragonwheel/tarragonwheel/quota"
	"github.com/tarragonwheel/tarragonwheel/timer"
)

const limit = 10_000 // tokens a second

// fleet is a number of entries on one manual clock. Once a second, each receives the demand of the others as it was a
// second before.
type fleet struct {
	clock   *timer.Service
	time    *timer.Manual
	entries map[string]*quota.Limiter
	pending []proto.EntryDemand // delivered by the next exchange
}

func newFleet() *fleet {
	flt := &fleet{entries: make(map[string]*quota.Limiter)}
	flt.clock, flt.time = timer.NewManual(time.Unix(0, 0))
	return flt
}

func (flt *fleet) join(name string) {
	flt.entries[name] = quota.New(quota.Options{Clock: flt.clock, Self: name, Limit: func(account string) int {
		return map[string]int{"large": limit, "small": limit / 10}[account]
	}})
}

// run sends requests of 100 tokens to the entries for the given number of seconds. The rates are in requests a second,
// by entry. It returns the tokens admitted a second by all entries.
func (flt *fleet) run(seconds int, account string, rates map[string]int) float64 {
	admitted := 0
	for range seconds {
		for tenth := range 10 {
			for name, rate := range rates {
				for range rate*(tenth+1)/10 - rate*tenth/10 {
					if _, ok := flt.entries[name].Admit(account, 100); ok {
						admitted += 100
					}
				}
			}
			flt.time.Advance(100 * time.Millisecond)
		}
		flt.exchange()
	}
	return float64(admitted) / float64(seconds)
}

// exchange delivers the demand of the previous exchange, and collects the present one.
func (flt *fleet) exchange() {
	var now []proto.EntryDemand
	for name, lim := range flt.entries {
		now = append(now, proto.EntryDemand{Entry: name, Accounts: lim.HeartbeatDemand()})
	}
	for _, lim := range flt.entries {
		lim.ApplyReport(len(flt.entries), flt.pending)
	}
	flt.pending = now
}

// Guards against entries that each grant the whole limit, and against the loss of the idle entries' share.
func TestShareFollowsDemand(t *testing.T) {
	is := is.New(t)
	flt := newFleet()
	for num := range 4 {
		flt.join(fmt.Sprint("e", num))
	}
	even := map[string]int{"e0": 100, "e1": 100, "e2": 100, "e3": 100} // Four times the limit.
	flt.exchange()
	flt.exchange()
	flt.time.Advance(time.Minute)
	flt.exchange()
	is.True(flt.run(10, "large", even) < 1.2*limit) // All begin at once: at most 2 s of the limit too much.
	got := flt.run(20, "large", even)
	is.True(got > 0.95*limit && got < 1.05*limit)
	skewed := map[string]int{"e0": 300}
	got = flt.run(20, "large", skewed)
	is.True(got > 0.6*limit && got < 1.05*limit) // While the demand shifts, at most 8 s of the limit are lost.
	got = flt.run(20, "large", skewed)
	is.True(got > 0.9*limit && got < 1.05*limit)
	flt.run(10, "small", map[string]int{"e1": 9})
	is.True(flt.run(10, "small", map[string]int{"e1": 9}) > 890) // It uses the share of the idle entries.
}

// Guards against entries that join and leave and thereby multiply the limit, or whose share is lost when they leave.
func TestEntriesComeAndGo(t *testing.T) {
	is := is.New(t)
	flt := newFleet()
	flt.join("e0")
	flt.join("e1")
	rates := map[string]int{"e0": 200, "e1": 200}
	flt.run(20, "large", rates)
	for round := range 5 {
		delete(flt.entries, fmt.Sprint("e", round+1))
		delete(rates, fmt.Sprint("e", round+1))
		got := flt.run(10, "large", rates) // One entry has left.
		is.True(got > 0.7*limit)           // Less than 3 s of the limit are lost.
		name := fmt.Sprint("e", round+2)
		flt.join(name)
		flt.exchange() // An entry gets no calls before the first report,
		flt.exchange() // which is a second old.
		rates[name] = 200
		got = flt.run(10, "large", rates)
		is.True(got < 1.1*limit) // Less than 1 s of the limit is granted twice.
	}
	got := flt.run(20, "large", rates)
	is.True(got > 0.95*limit && got < 1.05*limit)
}

// Guards against a prompt longer than the burst that never runs or costs nothing.
func TestLongPromptBorrows(t *testing.T) {
	is := is.New(t)
	flt := newFleet()
	flt.join("e0")
	lim := flt.entries["e0"]
	_, ok := lim.Admit("large", 20*limit)
	is.True(ok)
	wait, ok := lim.Admit("large", 1)
	is.True(!ok)
	is.Equal(wait, 20*time.Second)
	flt.time.Advance(wait)
	_, ok = lim.Admit("large", 20*limit)
	is.True(ok)
	lim.Refund("large", 20*limit) // It was not executed.
	_, ok = lim.Admit("large", 1)
	is.True(ok)
	_, ok = lim.Admit("unlimited", 1<<40)
	is.True(ok)
}
