package place_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tarragonwheel/tarragonwheel/fleet"
	"github.com/tarragonwheel/tarragonwheel/place"
)

// TestPartsAvoidWaitingParts guards against long prompts that delay one another without end: an engine prefills a new
// part before those that wait, so the parts must go to replicas where none waits.
func TestPartsAvoidWaitingParts(t *testing.T) {
	iis := is.New(t)
	list := views(20)
	req := longRequest(200000)
	req.Now = time.Unix(1700000000, 0)
	for idx := range 8 {
		list[idx].Tasks = append(list[idx].Tasks, fleet.Task{
			IsPart: true, SplitPrompt: true, PrefillTime: 600 * time.Millisecond, PrefillLeft: 500 * time.Millisecond,
			StartedAt: req.Now.Add(-100 * time.Millisecond), DueAt: req.Now.Add(4 * time.Second), Value: 15,
		})
		list[idx].PrefillBacklog, list[idx].SplitBacklog = 500*time.Millisecond, 500*time.Millisecond
	}
	pln, ok := place.OnEngine(req, engine(), list, nil)
	iis.True(ok)
	iis.True(pln.Primary.Position >= 8)
	iis.True(len(pln.Helpers) > 2)
	for _, hlp := range pln.Helpers {
		iis.True(hlp.View.Position >= 8)
	}
}

// TestPartGoesBeforeWaitingPrompts guards against a prediction that lets a part wait for the prompts at its replica, so
// that a long prompt is refused or sent elsewhere although it would be prefilled at once.
func TestPartGoesBeforeWaitingPrompts(t *testing.T) {
	iis := is.New(t)
	list := views(4)
	for idx := range list {
		list[idx].PrefillBacklog, list[idx].SplitBacklog = 3*time.Second, 3*time.Second
	}
	pln, ok := place.OnEngine(longRequest(100000), engine(), list, nil)
	iis.True(ok)
	iis.True(len(pln.Helpers) > 0)
	iis.True(pln.FirstEvent < time.Second)
}

// TestBusyServiceLooksElsewhere guards against calls to a plain service that queue in their cell while other cells are
// idle.
func TestBusyServiceLooksElsewhere(t *testing.T) {
	iis := is.New(t)
	list := views(3)
	pln, ok := place.OnService(shortRequest(), list)
	iis.True(ok)
	iis.True(!pln.ShouldLookElsewhere())
	for idx := range list {
		addDecodeStreams(&list[idx], 18) // two more than slots
	}
	pln, ok = place.OnService(shortRequest(), list)
	iis.True(ok)
	iis.True(pln.ShouldLookElsewhere())
}

// TestReplicasInSlowStartAreNoHelpers guards against a long prompt that waits for a part at a cold replica, and against
// parts that a cold replica gets beside the calls of its quota.
func TestReplicasInSlowStartAreNoHelpers(t *testing.T) {
	iis := is.New(t)
	list := views(20)
	for idx := range 12 {
		list[idx].SlowStart = true
	}
	pln, ok := place.OnEngine(longRequest(200000), engine(), list, nil)
	iis.True(ok)
	iis.True(len(pln.Helpers) > 0)
	for _, hlp := range pln.Helpers {
		iis.True(!hlp.View.SlowStart)
	}
}

// TestPartsAvoidPrefillBesideStreams guards against a prompt of which one part waits for seconds, because its engine
// prefills a long prompt in an iteration that also produces tokens of streams.
func TestPartsAvoidPrefillBesideStreams(t *testing.T) {
	iis := is.New(t)
	list := views(20)
	for idx := range 8 {
		addDecodeStreams(&list[idx], 2)
		list[idx].PrefillInProgress, list[idx].PrefillBacklog = 3*time.Second, 3*time.Second
	}
	pln, ok := place.OnEngine(longRequest(200000), engine(), list, nil)
	iis.True(ok)
	iis.True(len(pln.Helpers) > 0)
	iis.True(pln.Primary.Position >= 8)
	for _, hlp := range pln.Helpers {
		iis.True(hlp.View.Position >= 8)
	}
}
