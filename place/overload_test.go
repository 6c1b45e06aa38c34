package place_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tarragonwheel/tarragonwheel/fleet"
	"github.com/tarragonwheel/tarragonwheel/place"
)

// addPart adds a part of a split prompt to a view, with the given prefill time.
func addPart(vie *fleet.View, prefill time.Duration) {
	vie.Tasks = append(vie.Tasks,
		fleet.Task{IsPart: true, SplitPrompt: true, PrefillTime: prefill, KVTokens: 20000, Value: 1})
	vie.PrefillBacklog += prefill
	vie.SplitBacklog += prefill
}

// TestHugePromptIsRefusedByBusyReplicas guards against one prompt of several hundred thousand tokens that occupies a
// third of the replicas for ten seconds and misses its target all the same. Idle replicas must accept such a prompt,
// and busy ones must accept prompts of common length.
func TestHugePromptIsRefusedByBusyReplicas(t *testing.T) {
	iis := is.New(t)
	pln, ok := place.OnEngine(longRequest(680000), engine(), views(18), nil)
	iis.True(ok)
	iis.True(!pln.CausesOverload())
	busy := func() []fleet.View {
		list := views(18)
		for idx := range list {
			addPart(&list[idx], 900*time.Millisecond)
		}
		return list
	}
	pln, ok = place.OnEngine(longRequest(680000), engine(), busy(), fleet.PrefillLoads{"": 6})
	iis.True(!ok || pln.CausesOverload())
	pln, ok = place.OnEngine(longRequest(154000), engine(), busy(), fleet.PrefillLoads{"": 6})
	iis.True(ok)
	iis.True(!pln.CausesOverload())
}

// TestPromptThatCostsMoreThanItEarnsIsRefused guards against a long prompt whose prefill would make the streams of
// every replica miss their gap target.
func TestPromptThatCostsMoreThanItEarnsIsRefused(t *testing.T) {
	iis := is.New(t)
	list := views(18)
	for idx := range list {
		addDecodeStreams(&list[idx], 13)
	}
	pln, ok := place.OnEngine(longRequest(250000), engine(), list, nil)
	iis.True(ok)
	iis.True(pln.CausesOverload())
}

// TestLateShortCallIsNoOverload guards against the refusal of a call that would miss its target, but costs other calls
// nothing.
func TestLateShortCallIsNoOverload(t *testing.T) {
	iis := is.New(t)
	req := shortRequest()
	req.LatencyTarget = -time.Second
	req.ClientIdleTimeout = 800 * time.Millisecond
	list := views(4)
	for idx := range list {
		addDecodeStreams(&list[idx], 15)
	}
	pln, ok := place.OnEngine(req, engine(), list, nil)
	iis.True(ok)
	iis.True(!pln.CausesOverload())
}

// TestNothingIsSentBeyondClientIdleTimeout guards against calls that wait for slots until their clients disconnect and
// retry, so that the replicas serve nobody. Clients disconnect long before the deadline if no event arrives.
func TestNothingIsSentBeyondClientIdleTimeout(t *testing.T) {
	iis := is.New(t)
	req := shortRequest()
	full := func() []fleet.View {
		list := views(4)
		for idx := range list {
			addDecodeStreams(&list[idx], 40)
		}
		return list
	}
	_, ok := place.OnEngine(req, engine(), full(), nil)
	iis.True(ok)
	req.ClientIdleTimeout = 2 * time.Second
	_, ok = place.OnEngine(req, engine(), full(), nil)
	iis.True(!ok)
}

// TestPriceFactorAppliesToBusyReplicasOnly guards against accounts that are treated alike on busy replicas, whatever
// they have had, or unlike on idle ones. Load: a prompt of 250,000 tokens for 18 replicas with a backlog of 0.9 s or
// none.
func TestPriceFactorAppliesToBusyReplicasOnly(t *testing.T) {
	iis := is.New(t)
	place250k := func(backlog time.Duration, factor float64) (place.Placement, bool) {
		list := views(18)
		for idx := range list {
			list[idx].PrefillBacklog = backlog
		}
		req := longRequest(250000)
		req.PriceFactor = factor
		return place.OnEngine(req, engine(), list, nil)
	}
	idle, _ := place250k(0, 0)
	for _, factor := range []float64{0.5, 1, 2} {
		pln, ok := place250k(0, factor)
		iis.True(ok)
		iis.Equal(pln, idle)
	}
	below, ok := place250k(900*time.Millisecond, 0.5)
	iis.True(ok)
	equal, ok := place250k(900*time.Millisecond, 1)
	iis.True(ok)
	iis.Equal(below.Primary.ID, equal.Primary.ID) // The factor does not change the placement.
	iis.Equal(2*below.Price, equal.Price)
	iis.True(below.NetValue > equal.NetValue)
	above, ok := place250k(900*time.Millisecond, 2)
	iis.True(!ok || above.CausesOverload())
	iis.Equal(above.Price, 2*equal.Price)
}

// TestHopelessPromptIsNotDeferred guards against a prompt that waits for a better placement until its target is missed,
// although it would not be worth its price even if no other prompt arrived. Load: streams on all replicas, and a
// backlog of 8 s that is not over before the target of 3 s.
func TestHopelessPromptIsNotDeferred(t *testing.T) {
	iis := is.New(t)
	list := views(20)
	for idx := range list {
		addDecodeStreams(&list[idx], 8)
		list[idx].PrefillBacklog = 8 * time.Second
	}
	pln, ok := place.OnEngine(longRequest(340000), engine(), list, nil)
	iis.True(!ok || (!pln.ShouldDefer() && pln.CausesOverload()))
	iis.True(pln.BusyFor >= 7*time.Second)
}

// TestDeferralEndsBeforeClientDisconnects guards against a prompt that is deferred for longer than its client waits for
// an event. Load: streams on all replicas, and a client that disconnects after 900 ms.
func TestDeferralEndsBeforeClientDisconnects(t *testing.T) {
	iis := is.New(t)
	list := views(20)
	for idx := range list {
		addDecodeStreams(&list[idx], 8)
	}
	req := longRequest(300000)
	req.ClientIdleTimeout = 900 * time.Millisecond
	pln, ok := place.OnEngine(req, engine(), list, nil)
	iis.True(ok)
	iis.True(!pln.ShouldDefer())
}

// TestPunctualShortCallPassesWithAnyFactor guards against the refusal of short calls that would be on time, because
// long prompts keep the other replicas busy. Load: a backlog of 2 s on three of four replicas.
func TestPunctualShortCallPassesWithAnyFactor(t *testing.T) {
	iis := is.New(t)
	list := views(4)
	for idx := range list[1:] {
		list[idx+1].PrefillBacklog = 2 * time.Second
	}
	req := shortRequest()
	req.ClientIdleTimeout = 2 * time.Second
	req.PriceFactor = 2
	pln, ok := place.OnEngine(req, engine(), list, nil)
	iis.True(ok)
	iis.True(pln.Price > 0)
	iis.True(!pln.CausesOverload())
}
