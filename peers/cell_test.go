package peers_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tarragonwheel/tarragonwheel/fleet"
)

// startInCell runs a process in a data centre. Its fleet has two data centres, a and b, that are cells.
func startInCell(t *testing.T, name, dataCentre string) *process {
	t.Helper()
	prc := startIn(t, name, dataCentre, freeAddress(t))
	for _, cell := range []string{"a", "b"} {
		for idx := range 30 {
			prc.flt.UpdateRegistration(fleet.Registration{
				ID: fmt.Sprint("i-", cell, idx), Service: "s", Address: "10.0.0.1:80", DataCentre: cell,
				Slots: 4, Sequence: 1,
			})
		}
	}
	return prc
}

// replicaIn returns the first replica in a data centre and its view.
func (prc *process) replicaIn(dataCentre string) (*fleet.Replica, fleet.View) {
	list, _ := prc.flt.ReplicaSet("s").CellViews(dataCentre, nil)
	return list[0].Replica, list[0]
}

// waitFor returns when the condition holds.
func waitFor(t *testing.T, condition func() bool) {
	t.Helper()
	for t.Context().Err() == nil && !condition() {
		time.Sleep(time.Millisecond)
	}
}

// TestCellsExchangeSummaries guards against an exchange that grows with the square of the fleet: a task is known at
// once to the processes of its cell, and to others only in summaries, which come from one process of a cell.
func TestCellsExchangeSummaries(t *testing.T) {
	iis := is.New(t)
	one, two, other := startInCell(t, "one", "a"), startInCell(t, "two", "a"), startInCell(t, "other", "b")
	time.Sleep(1100 * time.Millisecond) // until they have noticed that their data centres are cells
	iis.NoErr(one.exc.AddPeer(two.addr))
	iis.NoErr(one.exc.AddPeer(other.addr))
	iis.NoErr(two.exc.AddPeer(other.addr))
	waitFor(t, func() bool { return other.exc.LiveProcesses() == 3 && one.exc.LiveProcesses() == 3 })
	iis.Equal(one.exc.LiveNear(), 2)
	iis.Equal(other.exc.LiveNear(), 1)
	rep, _ := one.replicaIn("a")
	rep.StartTask(fleet.Task{KVTokens: 7}, one.exc.QueueTaskChange)
	waitFor(t, func() bool { _, vie := two.replicaIn("a"); return len(vie.Tasks) == 1 })
	waitFor(t, func() bool { _, vie := other.replicaIn("a"); return vie.Calls() == 1 })
	_, vie := other.replicaIn("a")
	iis.Equal(len(vie.Tasks), 0)
	// A task that leaves its cell is known at once in both.
	rep, _ = one.replicaIn("b")
	rep.StartTask(fleet.Task{KVTokens: 9}, one.exc.QueueTaskChange)
	for _, prc := range []*process{two, other} {
		waitFor(t, func() bool { _, vie := prc.replicaIn("b"); return len(vie.Tasks) == 1 })
	}
}

// TestSummariesDoNotGrowWithTheFleet guards against bytes between data centres that grow with the number of replicas
// times the number of processes.
func TestSummariesDoNotGrowWithTheFleet(t *testing.T) {
	iis := is.New(t)
	one, other := startInCell(t, "one", "a"), startInCell(t, "other", "b")
	for _, prc := range []*process{one, other} {
		for idx := range 200 {
			prc.flt.UpdateRegistration(fleet.Registration{
				ID: fmt.Sprint("more-", idx), Service: "s", Address: "10.0.0.1:80", DataCentre: "a",
				Slots: 4, Sequence: 1,
			})
		}
	}
	iis.NoErr(one.exc.AddPeer(other.addr))
	known := func() (num int) {
		list, _ := other.flt.ReplicaSet("s").CellViews("a", nil)
		for _, vie := range list {
			if vie.SummaryAge > 0 {
				num++
			}
		}
		return num
	}
	waitFor(t, func() bool { return known() > 0 })
	iis.True(known() <= 40) // in the first message
	waitFor(t, func() bool { return known() > 80 })
}
