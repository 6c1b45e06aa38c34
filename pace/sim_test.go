package pace_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/tarragonwheel/tarragonwheel/pace"
)

// Limits of the deployment for which the loads below stand: a cold replica handles perSecond calls a second, and all
// fronts together must never send more than hardLimit in any second.
const (
	perSecond = 32
	hardLimit = 53
	coldTime  = 3 * time.Second
	tick      = time.Millisecond
	// assumed is the number of fronts that one assumes that has just started.
	assumed = 512
)

var warmUp = pace.WarmUp{Time: coldTime, PerSecond: perSecond}

// simFront is a front in a simulation, with what it knows of others.
type simFront struct {
	addr   string
	fronts *pace.Fronts
	slow   []*pace.SlowStart // by replica
	rate   float64           // calls a second that arrive here
	ended  bool
}

// sim is a number of fronts that send calls to cold replicas, without a network: calls arrive after a random delay.
type sim struct {
	now      time.Time
	began    time.Time
	rnd      *rand.Rand
	replicas int
	fronts   []*simFront
	arrivals [][]time.Time // by replica
	at       map[time.Duration]func()
}

// newSim returns a simulation of fronts that all know each other, and of replicas that are cold from now on.
func newSim(fronts, replicas int, rate float64) *sim {
	start := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	sim := &sim{
		now: start, began: start, rnd: rand.New(rand.NewPCG(1, uint64(fronts*1000+replicas))), replicas: replicas,
		arrivals: make([][]time.Time, replicas), at: make(map[time.Duration]func()),
	}
	for num := range fronts {
		sim.add(fmt.Sprintf("10.0.%d.%d:7000", num/200, num%200), rate)
	}
	for _, frt := range sim.fronts {
		frt.fronts = pace.NewFronts(frt.addr, sim.others(frt, nil), 1)
		sim.markCold(frt, coldTime)
	}
	return sim
}

// add adds a front that knows no other.
func (sim *sim) add(addr string, rate float64) *simFront {
	frt := &simFront{addr: addr, rate: rate, fronts: pace.NewFronts(addr, nil, assumed)}
	for replica := range sim.replicas {
		frt.slow = append(frt.slow, pace.NewSlowStart(warmUp, uint64(replica)*7919, sim.now))
	}
	sim.fronts = append(sim.fronts, frt)
	return frt
}

// others returns the addresses of the live fronts other than the given one that the function accepts.
func (sim *sim) others(frt *simFront, accept func(idx int) bool) []string {
	var list []string
	for idx, other := range sim.fronts {
		if other != frt && !other.ended && (accept == nil || accept(idx)) {
			list = append(list, other.addr)
		}
	}
	return list
}

func (sim *sim) markCold(frt *simFront, left time.Duration) {
	for _, slo := range frt.slow {
		slo.MarkCold(sim.now, left)
	}
}

// run sends calls for the given time. Each call goes to a random replica that the front may send to, if there is one.
func (sim *sim) run(dur time.Duration) {
	for end := sim.now.Add(dur); sim.now.Before(end); sim.now = sim.now.Add(tick) {
		if fn := sim.at[sim.now.Sub(sim.began)]; fn != nil {
			fn()
		}
		for _, idx := range sim.rnd.Perm(len(sim.fronts)) {
			frt := sim.fronts[idx]
			if !frt.ended && sim.rnd.Float64() < frt.rate*tick.Seconds() {
				sim.send(frt)
			}
		}
	}
}

func (sim *sim) send(frt *simFront) {
	for _, replica := range sim.rnd.Perm(sim.replicas) {
		slo := frt.slow[replica]
		if slo.MayTake(sim.now, frt.fronts) {
			slo.Take(sim.now)
			delay := time.Duration(sim.rnd.Int64N(int64(25 * time.Millisecond)))
			sim.arrivals[replica] = append(sim.arrivals[replica], sim.now.Add(delay))
			return
		}
	}
}

// busiestSecond returns the largest number of calls that arrived at one replica within a second.
func (sim *sim) busiestSecond() int {
	most := 0
	for _, list := range sim.arrivals {
		slices.SortFunc(list, time.Time.Compare)
		first := 0
		for idx, at := range list {
			for at.Sub(list[first]) >= time.Second {
				first++
			}
			most = max(most, idx-first+1)
		}
	}
	return most
}

// leastUse returns the smallest number of calls that one replica got, as a share of what it can handle in the time.
func (sim *sim) leastUse(dur time.Duration) float64 {
	least := 1e9
	for _, list := range sim.arrivals {
		least = min(least, float64(len(list))/(perSecond*dur.Seconds()))
	}
	return least
}

// check checks the hard limit, and that nine tenths of what replicas can handle were used.
func (sim *sim) check(t *testing.T, dur time.Duration) {
	t.Helper()
	most, use := sim.busiestSecond(), sim.leastUse(dur)
	t.Logf("busiest second %d calls, least use %.3f", most, use)
	if most > hardLimit {
		t.Errorf("%d calls in a second, above %d", most, hardLimit)
	}
	if use < 0.9 {
		t.Errorf("used %.3f of the limit", use)
	}
}
