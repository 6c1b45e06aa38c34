package fleet_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tarragonwheel/tarragonwheel/fleet"
)

// startOfClock is the time of the clock of newFleet before it is advanced.
var startOfClock = time.Unix(1700000000, 0)

// claimAtOnce has several processes claim the same replica at the same moment, for prefills of the given times, and
// exchange their claims. It returns which of them are outranked.
func claimAtOnce(prefills ...time.Duration) []bool {
	fleets := make([]*fleet.Fleet, len(prefills))
	claims := make([]*fleet.LocalTask, len(prefills))
	sent := make([][]fleet.RemoteTask, len(prefills))
	for idx, prefill := range prefills {
		flt, man, _ := newFleet()
		flt.UpdateRegistration(registration("i-1", 1, 1))
		rep := flt.ReplicaSet("s").Views()[0].Replica
		claims[idx] = rep.ClaimTask(fleet.Task{PrefillTime: prefill, IsPart: true}, func(chg fleet.TaskChange) {
			if chg.Urgent {
				chg.Task.ID += uint32(idx) // Processes number their tasks on their own.
				sent[idx] = append(sent[idx], fleet.RemoteTask{Replica: chg.Replica, Task: chg.Task})
			}
		})
		man.Advance(time.Millisecond)
		fleets[idx] = flt
	}
	outranked := make([]bool, len(prefills))
	for idx, flt := range fleets {
		for other := range sent {
			if other != idx {
				flt.ApplyRemoteTasks(fmt.Sprint("peer-", other), sent[other])
			}
		}
		outranked[idx] = claims[idx].Outranked(startOfClock)
	}
	return outranked
}

// TestOneOfSimultaneousClaimsStands guards against long prompts of several processes that occupy the same replicas
// because the processes placed them within milliseconds of each other, as when replicas become free that all of them
// wait for.
func TestOneOfSimultaneousClaimsStands(t *testing.T) {
	iis := is.New(t)
	iis.Equal(claimAtOnce(900*time.Millisecond, 400*time.Millisecond, 700*time.Millisecond), []bool{true, false, true})
	iis.Equal(claimAtOnce(400*time.Millisecond), []bool{false})
}

// TestClaimsThatWereInViewDoNotOutrank guards against a prompt that yields to tasks that were known when it was placed.
func TestClaimsThatWereInViewDoNotOutrank(t *testing.T) {
	iis := is.New(t)
	flt, man, _ := newFleet()
	flt.UpdateRegistration(registration("i-1", 1, 1))
	rep := flt.ReplicaSet("s").Views()[0].Replica
	hash := rep.LeavingNotice().Replica
	known := fleet.RemoteTask{Replica: hash, Task: fleet.Task{ID: 7, PrefillTime: time.Second, StartedAt: startOfClock}}
	flt.ApplyRemoteTasks("peer", []fleet.RemoteTask{known})
	man.Advance(time.Millisecond)
	claim := rep.ClaimTask(fleet.Task{PrefillTime: 2 * time.Second}, nil)
	man.Advance(time.Millisecond)
	flt.ApplyRemoteTasks("peer", []fleet.RemoteTask{known}) // It is sent again with all others.
	iis.True(!claim.Outranked(startOfClock.Add(time.Millisecond)))
}

// TestShortCallsDoNotOutrank guards against long prompts that never begin beside many short calls.
func TestShortCallsDoNotOutrank(t *testing.T) {
	iis := is.New(t)
	flt, man, _ := newFleet()
	flt.UpdateRegistration(registration("i-1", 1, 1))
	rep := flt.ReplicaSet("s").Views()[0].Replica
	claim := rep.ClaimTask(fleet.Task{PrefillTime: 2 * time.Second}, nil)
	man.Advance(time.Millisecond)
	short := fleet.Task{ID: 7, PrefillTime: 30 * time.Millisecond, StartedAt: startOfClock}
	flt.ApplyRemoteTasks("peer", []fleet.RemoteTask{{Replica: rep.LeavingNotice().Replica, Task: short}})
	iis.True(!claim.Outranked(startOfClock))
}
