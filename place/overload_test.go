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
