package fleet_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tarragonwheel/tarragonwheel/fleet"
)

// TestRampEndsWithTheBusiest guards against a slow start that goes on although the replica takes as many calls as any
// other, and against one that ends before.
func TestRampEndsWithTheBusiest(t *testing.T) {
	iis := is.New(t)
	flt, man := newPacedFleet()
	flt.UpdateRegistration(registration("i-2", fleetStart.UnixMilli(), 1))
	views := flt.ReplicaSet("s").Views()
	iis.Equal(len(views), 2)
	cold, busy := views[0].Replica, views[1].Replica
	if views[1].SlowStart {
		cold, busy = busy, cold
	}
	for range 10 {
		busy.StartTask(fleet.Task{}, nil)
	}
	man.Advance(3 * time.Second)
	for num, want := range []bool{true, true, true, false} { // Limits of 2, 4, 8 and 16.
		calls := 1 << num
		for range calls {
			cold.StartTask(fleet.Task{}, nil)
		}
		cold.RecordFirstEvent(fleet.Sent{At: fleetStart.Add(3 * time.Second), Calls: calls}, true)
		for _, vie := range flt.ReplicaSet("s").Views() {
			if vie.Replica == cold {
				iis.Equal(vie.SlowStart, want)
			}
		}
	}
}

// TestFirstEventsOfPeersCount guards against a front that leaves a replica idle, or overloads it, because it sees only
// the responses to its own calls.
func TestFirstEventsOfPeersCount(t *testing.T) {
	for _, tst := range []struct {
		took time.Duration
		over bool
	}{{300 * time.Millisecond, true}, {3 * time.Second, false}} {
		iis := is.New(t)
		flt, man := newPacedFleet()
		flt.MarkCold(registration("i-1", 1, 1).DataCentre)
		man.Advance(3 * time.Second)
		hash := onlyReplica(t, flt).LeavingNotice().Replica
		var tasks []fleet.RemoteTask
		for num := range 20 {
			tasks = append(tasks, fleet.RemoteTask{Replica: hash, Task: fleet.Task{
				ID: uint32(num), StartedAt: fleetStart.Add(3 * time.Second),
				ExpectedAt: fleetStart.Add(3200 * time.Millisecond),
			}})
		}
		flt.ApplyRemoteTasks("10.0.0.9:7000", tasks)
		iis.Equal(usableReplicas(flt), 0) // 20 calls are in flight, above the limit of the ramp.
		man.Advance(tst.took)
		flt.ApplyRemoteTasks("10.0.0.9:7000", []fleet.RemoteTask{{
			Replica: hash, ProgressOnly: true, Task: fleet.Task{ID: 3, Phase: fleet.Decode},
		}})
		iis.Equal(usableReplicas(flt) == 1, tst.over)
		if tst.over {
			iis.True(!flt.ReplicaSet("s").Views()[0].SlowStart) // Its 16 slots may be used.
		}
	}
}

// TestFailingReplicaRespondsAgain guards against a replica that fails all calls and gets all of them when it recovers,
// and against one that is held back because single calls there fail.
func TestFailingReplicaRespondsAgain(t *testing.T) {
	iis := is.New(t)
	flt, _ := newPacedFleet()
	rep := onlyReplica(t, flt)
	for range 3 {
		rep.RecordFailure()
	}
	rep.RecordSuccess()
	rep.RecordUnreachable() // As a lost response counts.
	iis.Equal(takeAll(rep), 20)
	for range 3 {
		rep.RecordFailure()
	}
	iis.Equal(takeAll(rep), 4)
}
