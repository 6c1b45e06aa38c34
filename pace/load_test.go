package pace_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tarragonwheel/tarragonwheel/pace"
)

// demand is the rate of calls at one of 45 fronts that is enough to use 45 cold replicas, of which each front may send
// 32 calls a second in all.
const demand = 60.0

// TestQuotasAddUp guards against quotas that exceed the limit or leave a part of it unused, for fewer fronts than calls
// a second and for more.
func TestQuotasAddUp(t *testing.T) {
	chk := is.New(t)
	for _, num := range []int{1, 2, 3, 26, 31, 32, 33, 45, 500} {
		var addrs []string
		for idx := range num {
			addrs = append(addrs, fmt.Sprintf("10.1.%d.%d:7000", idx/200, idx%200))
		}
		for replica := range uint64(20) {
			sum := 0
			for idx, own := range addrs {
				others := append(append([]string{}, addrs[:idx]...), addrs[idx+1:]...)
				sum += pace.NewFronts(own, others, 1).Quota(replica, perSecond)
			}
			chk.Equal(sum, perSecond)
		}
	}
}

// TestMoreFrontsNeverRaiseAQuota guards against a sum above the limit while some fronts know of one that others have
// not heard of yet, or have forgotten.
func TestMoreFrontsNeverRaiseAQuota(t *testing.T) {
	chk := is.New(t)
	var others []string
	last := make([]int, 50)
	for replica := range last {
		last[replica] = perSecond
	}
	for num := range 100 {
		frs := pace.NewFronts("10.1.0.1:7000", others, 1)
		for replica := range last {
			quota := frs.Quota(uint64(replica), perSecond)
			chk.True(quota <= last[replica])
			last[replica] = quota
		}
		others = append(others, fmt.Sprintf("10.2.0.%d:7000", num))
	}
}

// TestOneColdReplica guards against one cold replica that all calls of 45 fronts go to: it is overloaded or left idle.
func TestOneColdReplica(t *testing.T) {
	sim := newSim(45, 1, demand)
	sim.run(coldTime)
	sim.check(t, coldTime)
}

// TestAllReplicasColdTogether guards against 45 cold replicas of which some get too many calls of 45 fronts.
func TestAllReplicasColdTogether(t *testing.T) {
	sim := newSim(45, 45, demand)
	sim.run(coldTime)
	sim.check(t, coldTime)
}

// TestFewFronts guards against a quota of many calls a second, for four fronts, that is not used or exceeded.
func TestFewFronts(t *testing.T) {
	sim := newSim(4, 3, 100)
	sim.run(coldTime)
	sim.check(t, coldTime)
}

// TestHalfOfTheFrontsCutOff guards against a sum of twice the limit when 22 of 45 fronts lose touch with the others:
// both parts keep counting those that they have lost. The fronts that are restarted meanwhile take all from the store.
func TestHalfOfTheFrontsCutOff(t *testing.T) {
	sim := newSim(45, 20, demand)
	sim.at[500*time.Millisecond] = func() {
		for _, frt := range sim.fronts[:5] { // They list the addresses again, and do not hear of the other part.
			frt.fronts = pace.NewFronts(frt.addr, nil, assumed)
			for replica := range frt.slow {
				frt.slow[replica] = pace.NewSlowStart(warmUp, uint64(replica)*7919, sim.now)
			}
			sim.markCold(frt, coldTime-500*time.Millisecond)
		}
	}
	sim.at[2500*time.Millisecond] = func() {
		for _, frt := range sim.fronts[:5] {
			frt.fronts = pace.NewFronts(frt.addr, sim.others(frt, nil), 1)
		}
	}
	sim.run(coldTime)
	if most := sim.busiestSecond(); most > hardLimit {
		t.Errorf("%d calls in a second, above %d", most, hardLimit)
	}
	if use := sim.leastUse(coldTime); use < 0.9*40/45 { // Five fronts have sent next to nothing for most of the time.
		t.Errorf("used %.3f of the limit", use)
	}
}

// TestHalfForgotten guards against two parts of the fronts that have forgotten each other and of which one was started
// again: the sum is above the target, but must not exceed the hard limit.
func TestHalfForgotten(t *testing.T) {
	sim := newSim(45, 20, demand)
	for idx, frt := range sim.fronts {
		if idx < 22 {
			frt.fronts = pace.NewFronts(frt.addr, sim.others(frt, func(other int) bool { return other < 22 }), 1)
		}
	}
	sim.run(coldTime)
	sim.check(t, coldTime)
}

// TestFrontStartsInTheMiddle guards against a front that starts while replicas are cold and knows no other yet: it
// would take the whole limit for itself.
func TestFrontStartsInTheMiddle(t *testing.T) {
	sim := newSim(45, 20, demand)
	sim.at[time.Second] = func() {
		frt := sim.add("10.9.0.1:7000", demand)
		sim.markCold(frt, 2*time.Second) // As the registrations say.
		sim.at[sim.now.Sub(sim.began)+20*time.Millisecond] = func() {
			for _, old := range sim.fronts[:45] {
				old.fronts = pace.NewFronts(old.addr, sim.others(old, nil), 1)
			}
		}
	}
	sim.run(coldTime)
	sim.check(t, coldTime)
}

// TestAllFrontsStartTogether guards against 45 or 500 fronts that start together with cold replicas, before any of them
// has heard of another.
func TestAllFrontsStartTogether(t *testing.T) {
	for _, num := range []int{45, 500} {
		sim := newSim(num, 20, demand)
		for _, frt := range sim.fronts {
			frt.fronts = pace.NewFronts(frt.addr, nil, assumed)
		}
		sim.run(2 * time.Second)
		if most := sim.busiestSecond(); most > hardLimit {
			t.Errorf("%d fronts: %d calls in a second, above %d", num, most, hardLimit)
		}
	}
}

// TestFrontsAreReplaced guards against quotas that are used twice in a second when fronts stop and others start at new
// addresses: the shares of the old ones are taken over a second after they have stopped.
func TestFrontsAreReplaced(t *testing.T) {
	sim := newSim(45, 20, demand)
	learn := func() {
		for _, frt := range sim.fronts {
			frt.fronts = pace.NewFronts(frt.addr, sim.others(frt, nil), 1)
		}
	}
	sim.at[700*time.Millisecond] = func() {
		for _, frt := range sim.fronts[:4] {
			frt.ended = true
		}
		for num := range 4 {
			frt := sim.add(fmt.Sprintf("10.9.0.%d:7000", num), demand)
			sim.markCold(frt, 2300*time.Millisecond)
		}
	}
	sim.at[1700*time.Millisecond] = learn
	sim.run(coldTime)
	sim.check(t, coldTime)
}

// TestReplicaTurnsColdAgain guards against calls from before that count for nothing when a replica turns cold again
// just before its cold time ends.
func TestReplicaTurnsColdAgain(t *testing.T) {
	sim := newSim(45, 5, demand)
	sim.at[coldTime-100*time.Millisecond] = func() {
		for _, frt := range sim.fronts {
			sim.markCold(frt, coldTime)
		}
	}
	sim.run(2*coldTime - 100*time.Millisecond)
	sim.check(t, 2*coldTime-100*time.Millisecond)
}

// TestFleetOfTheTarget guards against quotas that most of 500 fronts cannot use, as they have none at a replica.
func TestFleetOfTheTarget(t *testing.T) {
	sim := newSim(500, 100, 20)
	sim.run(coldTime)
	sim.check(t, coldTime)
}
