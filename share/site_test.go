package share_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"github.com/tarragonwheel/tarragonwheel/cost"
	"github.com/tarragonwheel/tarragonwheel/fleet"
	"github.com/tarragonwheel/tarragonwheel/place"
	"github.com/tarragonwheel/tarragonwheel/share"
	"github.com/tarragonwheel/tarragonwheel/timer"
)

// flow is a stream of calls of one account with prompts of one length.
type flow struct {
	account string
	perS    float64
	tokens  int
	target  time.Duration // latency target
	limit   time.Duration // time for which the client waits
	from    time.Duration // time of the first call
	until   time.Duration // time of the last call; 0 for the end
}

// tally counts the calls of an account.
type tally struct {
	calls, refused, late int
	longestHeld          time.Duration // before a call was placed or refused
}

func (tal *tally) refusedShare() float64 { return float64(tal.refused) / float64(max(tal.calls, 1)) }

// site is a simulated fleet of one service with the placement of one front, on a manual clock. Each replica prefills
// one prompt after the other, and each call decodes for a second.
type site struct {
	clock     *timer.Service
	manual    *timer.Manual
	fleet     *fleet.Fleet
	rnd       *rand.Rand
	ledger    *share.Ledger // nil for none
	replicas  map[string]*replica
	tallies   map[string]*tally // by account
	decisions []string
	maxPrice  float64
}

const decodeTime = time.Second

func newSite(t *testing.T, seed uint64, replicas int, withLedger bool) *site {
	t.Helper()
	clk, man := timer.NewManual(time.Unix(1700000000, 0))
	sit := &site{
		clock: clk, manual: man, fleet: fleet.New(clk, logr.Discard(), nil), rnd: rand.New(rand.NewPCG(seed, 1)),
		replicas: make(map[string]*replica), tallies: make(map[string]*tally),
	}
	if withLedger {
		sit.ledger = share.New(clk)
	}
	for num := range replicas {
		id := fmt.Sprint("i-", num)
		sit.replicas[id] = &replica{clock: clk, at: clk.Now()}
		sit.fleet.UpdateRegistration(fleet.Registration{
			ID: id, Service: "s", Address: "10.0.0.1:80", DataCentre: "z", Slots: 16, Sequence: 1,
		})
	}
	return sit
}

func testEngine() *cost.Engine {
	return &cost.Engine{
		Slots: 16, MemoryTokens: 315000, Step: 850 * time.Microsecond, StepPerStream: 4250 * time.Nanosecond,
		StepPer1kTokens: 2850 * time.Nanosecond, PrefillTokensPerS: 177000, PrefillPerMPairs: 184 * time.Microsecond,
		PrefillChunk: 2048, StepsPerIteration: 51,
	}
}

// run plays the flows for the given time and returns the tallies of all accounts.
func (sit *site) run(dur time.Duration, flows ...flow) map[string]*tally {
	for _, flo := range flows {
		if flo.until == 0 {
			flo.until = dur
		}
		sit.clock.After(flo.from+sit.pause(&flo), func() { sit.arrive(flo, sit.clock.Now()) })
	}
	sit.manual.Advance(dur)
	return sit.tallies
}

// pause returns a random time between two calls of a flow.
func (sit *site) pause(flo *flow) time.Duration {
	return time.Duration(sit.rnd.ExpFloat64() / flo.perS * float64(time.Second))
}

// arrive handles a call of a flow and schedules the next one.
func (sit *site) arrive(flo flow, start time.Time) {
	if next := sit.pause(&flo); sit.clock.Now().Add(next).Sub(time.Unix(1700000000, 0)) < flo.until {
		sit.clock.After(next, func() { sit.arrive(flo, sit.clock.Now()) })
	}
	tal := sit.tallies[flo.account]
	if tal == nil {
		tal = &tally{}
		sit.tallies[flo.account] = tal
	}
	tal.calls++
	sit.place(&flo, tal, start)
}

// place places, defers or refuses a call as the relay does.
func (sit *site) place(flo *flow, tal *tally, arrived time.Time) {
	held := sit.clock.Since(arrived)
	pln, ok := sit.choose(flo, held)
	sit.maxPrice = max(sit.maxPrice, pln.Price)
	if ok && pln.ShouldDefer() {
		sit.clock.After(60*time.Millisecond, func() { sit.place(flo, tal, arrived) })
		return
	}
	tal.longestHeld = max(tal.longestHeld, held)
	sit.decisions = append(sit.decisions, fmt.Sprint(flo.account, ok, pln.Primary.ID, len(pln.Helpers), pln.NetValue))
	if !ok || pln.CausesOverload() {
		tal.refused++
		return
	}
	if sit.ledger != nil {
		sit.ledger.Add(flo.account, pln.PrefillTime*time.Duration(len(pln.Helpers)+1))
	}
	sit.serve(flo, tal, &pln, arrived)
}

// choose chooses the placement of a call that has been held for the given time.
func (sit *site) choose(flo *flow, held time.Duration) (place.Placement, bool) {
	req := place.Request{
		Now: sit.clock.Now(), PromptTokens: flo.tokens, OutputTokens: 800, LatencyTarget: flo.target - held,
		GapTarget: time.Second, TimeLeft: flo.limit - held, DataCentre: "z",
	}
	if sit.ledger != nil {
		req.PriceFactor = sit.ledger.PriceFactor(flo.account)
	}
	reps := sit.fleet.ReplicaSet("s")
	views, _ := reps.CellViews("z", nil)
	return place.OnEngine(req, testEngine(), views, reps.PrefillLoads())
}

// serve runs a call on the replicas of a placement. It counts the call as late if its first event is.
func (sit *site) serve(flo *flow, tal *tally, pln *place.Placement, arrived time.Time) {
	views := []fleet.View{pln.Primary}
	for _, hlp := range pln.Helpers {
		views = append(views, hlp.View)
	}
	left := len(views) // parts that are not yet prefilled
	var primary *fleet.LocalTask
	for idx := range views {
		tsk := views[idx].Replica.StartTask(fleet.Task{
			KVTokens: flo.tokens / len(views), PrefillTime: pln.PrefillTime, GapTarget: time.Second,
			Value: pln.Value, DueAt: arrived.Add(flo.target), ExpectedAt: sit.clock.Now().Add(pln.FirstEvent),
			SplitPrompt: len(views) > 1, IsPart: idx > 0,
		}, nil)
		if idx == 0 {
			primary = tsk
		}
		sit.replicas[views[idx].ID].add(len(views) > 1, &job{left: pln.PrefillTime, onEnd: func() {
			if idx > 0 {
				tsk.End()
			}
			if left--; left > 0 {
				return
			}
			if sit.clock.Since(arrived) > flo.target {
				tal.late++
			}
			primary.MarkDecoding()
			sit.clock.After(decodeTime, primary.End)
		}})
	}
}

// replica is a simulated replica. As fleet predicts, it prefills the newest part of a split prompt first, and whole
// prompts in the order of their arrival.
type replica struct {
	clock *timer.Service
	parts []*job // the one in progress last
	whole []*job // the one in progress first
	at    time.Time
	next  *timer.Subscription // the end of the job in progress
}

// job is the prefill of a prompt or of a part.
type job struct {
	left  time.Duration
	onEnd func()
}

func (rep *replica) add(isPart bool, jbb *job) {
	rep.advance()
	if isPart {
		rep.parts = append(rep.parts, jbb)
	} else {
		rep.whole = append(rep.whole, jbb)
	}
	rep.advance()
}

// advance prefills until the present time and schedules the end of the job in progress.
func (rep *replica) advance() {
	passed := rep.clock.Since(rep.at)
	rep.at = rep.clock.Now()
	if rep.next != nil {
		rep.next.Stop()
	}
	for len(rep.parts)+len(rep.whole) > 0 {
		var jbb *job
		if last := len(rep.parts) - 1; last >= 0 {
			jbb = rep.parts[last]
		} else {
			jbb = rep.whole[0]
		}
		if jbb.left > passed {
			jbb.left -= passed
			rep.next = rep.clock.After(jbb.left, rep.advance)
			return
		}
		passed -= jbb.left
		if len(rep.parts) > 0 {
			rep.parts = rep.parts[:len(rep.parts)-1]
		} else {
			rep.whole = rep.whole[1:]
		}
		jbb.onEnd()
	}
}
