package fleet_test

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tarragonwheel/tarragonwheel/fleet"
)

// TestNewPartsGoFirst guards against predictions that take the oldest prompt for the next one to be ready: an engine
// prefills the newest part of a split prompt first, so that old ones starve while new ones come.
func TestNewPartsGoFirst(t *testing.T) {
	iis := is.New(t)
	flt, clk, _ := newFleet()
	flt.UpdateRegistration(registration("i-1", 1, 1))
	rep := flt.ReplicaSet("s").Views()[0].Replica
	start := func(prefill time.Duration, part bool) {
		rep.StartTask(fleet.Task{PrefillTime: prefill, IsPart: part, SplitPrompt: part}, nil)
	}
	left := func() (list []time.Duration) {
		tasks := flt.ReplicaSet("s").Views()[0].Tasks
		slices.SortFunc(tasks, func(one, two fleet.Task) int { return int(one.ID) - int(two.ID) })
		for _, tsk := range tasks {
			list = append(list, tsk.PrefillLeft)
		}
		return list
	}
	start(time.Second, true)
	clk.Advance(400 * time.Millisecond)
	start(300*time.Millisecond, false)
	start(500*time.Millisecond, true)
	clk.Advance(100 * time.Millisecond)
	iis.Equal(left(), []time.Duration{time.Second, 1300 * time.Millisecond, 400 * time.Millisecond})
	vie := flt.ReplicaSet("s").Views()[0]
	iis.Equal(vie.SplitBacklog, time.Second)
	iis.Equal(vie.PrefillBacklog, 1300*time.Millisecond)
	clk.Advance(1200 * time.Millisecond)
	iis.Equal(left(), []time.Duration{0, 100 * time.Millisecond, 0})
}

// TestBacklogCountsFromItsArrival guards against a replica that is taken for idle because an old part, whose prompt
// still waits for other replicas, has been there for longer than all prefill there takes.
func TestBacklogCountsFromItsArrival(t *testing.T) {
	iis := is.New(t)
	flt, clk, _ := newFleet()
	flt.UpdateRegistration(registration("i-1", 1, 1))
	rep := flt.ReplicaSet("s").Views()[0].Replica
	rep.StartTask(fleet.Task{PrefillTime: 300 * time.Millisecond, IsPart: true, SplitPrompt: true}, nil)
	clk.Advance(4 * time.Second)
	rep.StartTask(fleet.Task{PrefillTime: time.Second}, nil)
	clk.Advance(100 * time.Millisecond)
	iis.Equal(flt.ReplicaSet("s").Views()[0].PrefillBacklog, 900*time.Millisecond)
}

// TestNewPartsWaitForPrefillBesideStreams guards against parts of prompts that are placed on engines which prefill a
// long prompt beside streams: the iteration in progress takes as long as that prefill, and a new part does not
// interrupt it.
func TestNewPartsWaitForPrefillBesideStreams(t *testing.T) {
	iis := is.New(t)
	flt, clk, _ := newFleet()
	flt.UpdateRegistration(registration("i-1", 1, 1))
	rep := flt.ReplicaSet("s").Views()[0].Replica
	rep.StartTask(fleet.Task{}, nil).MarkDecoding()
	rep.StartTask(fleet.Task{PrefillTime: 4 * time.Second, IsPart: true, SplitPrompt: true}, nil)
	clk.Advance(time.Second)
	vie := flt.ReplicaSet("s").Views()[0]
	iis.Equal(vie.PrefillInProgress, 3*time.Second)
	rep.StartTask(fleet.Task{PrefillTime: 50 * time.Millisecond, IsPart: true, SplitPrompt: true}, nil)
	rep.StartTask(fleet.Task{PrefillTime: 200 * time.Millisecond}, nil)
	clk.Advance(time.Second)
	vie = flt.ReplicaSet("s").Views()[0]
	iis.Equal(vie.PrefillInProgress, 2*time.Second)
	iis.Equal(vie.SplitBacklog, 2050*time.Millisecond)
	iis.Equal(vie.PrefillBacklog, 2250*time.Millisecond)
	clk.Advance(2100 * time.Millisecond)
	iis.Equal(flt.ReplicaSet("s").Views()[0].PrefillBacklog, 150*time.Millisecond)
}
