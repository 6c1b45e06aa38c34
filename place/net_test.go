package place_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tarragonwheel/tarragonwheel/fleet"
	"github.com/tarragonwheel/tarragonwheel/place"
)

// read adds prompts that are being read for so long to a view.
func read(vie *fleet.View, left time.Duration) {
	vie.Tasks = append(vie.Tasks,
		fleet.Task{IsPart: true, SplitPrompt: true, PrefillTime: left, KVTokens: 20000, Value: 1})
	vie.PrefillBacklog += left
	vie.SplitBacklog += left
}

// TestHugePromptIsRefusedByBusyReplicas answers the pattern in which one prompt of several hundred thousand tokens
// keeps a third of the replicas from all others for ten seconds and is late all the same. It is served by idle
// replicas, and prompts of common length are served by busy ones.
func TestHugePromptIsRefusedByBusyReplicas(t *testing.T) {
	iis := is.New(t)
	pln, ok := place.OnEngine(longJob(680000), engine(), views(18), 0)
	iis.True(ok)
	iis.True(!pln.CausesOverload())
	busy := func() []fleet.View {
		list := views(18)
		for idx := range list {
			read(&list[idx], 900*time.Millisecond)
		}
		return list
	}
	pln, ok = place.OnEngine(longJob(680000), engine(), busy(), 6)
	iis.True(!ok || pln.CausesOverload())
	pln, ok = place.OnEngine(longJob(154000), engine(), busy(), 6)
	iis.True(ok)
	iis.True(!pln.CausesOverload())
}

// TestPromptThatHarmsMoreThanItEarnsIsRefused answers the pattern in which a long prompt would make the streams of
// every replica late.
func TestPromptThatHarmsMoreThanItEarnsIsRefused(t *testing.T) {
	iis := is.New(t)
	list := views(18)
	for idx := range list {
		write(&list[idx], 13)
	}
	pln, ok := place.OnEngine(longJob(250000), engine(), list, 0)
	iis.True(ok)
	iis.True(pln.CausesOverload())
}

// TestLateShortCallIsNoOverload guards against the refusal of a call that would be late, but does not harm others.
func TestLateShortCallIsNoOverload(t *testing.T) {
	iis := is.New(t)
	job := shortJob()
	job.LatencyTarget = -time.Second
	job.ClientIdleTimeout = 800 * time.Millisecond
	list := views(4)
	for idx := range list {
		write(&list[idx], 15)
	}
	pln, ok := place.OnEngine(job, engine(), list, 0)
	iis.True(ok)
	iis.True(!pln.CausesOverload())
}

// TestNothingIsSentBeyondPatience answers the pattern of calls that wait for slots until their clients leave and come
// back, so that the replicas work for nobody: clients leave long before their deadline if no event comes.
func TestNothingIsSentBeyondPatience(t *testing.T) {
	iis := is.New(t)
	job := shortJob()
	full := func() []fleet.View {
		list := views(4)
		for idx := range list {
			write(&list[idx], 40)
		}
		return list
	}
	_, ok := place.OnEngine(job, engine(), full(), 0)
	iis.True(ok)
	job.ClientIdleTimeout = 2 * time.Second
	_, ok = place.OnEngine(job, engine(), full(), 0)
	iis.True(!ok)
}
