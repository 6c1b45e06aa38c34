package fleet_test

import (
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"

	"github.com/tarragonwheel/tarragonwheel/fleet"
	"github.com/tarragonwheel/tarragonwheel/timer"
)

func newFleet() (*fleet.Fleet, *timer.Manual, *[]string) {
	clk, man := timer.NewManual(time.Unix(1700000000, 0))
	var removed []string
	flt := fleet.New(clk, logr.Discard(), func(id string) { removed = append(removed, id) })
	return flt, man, &removed
}

func registration(id string, startedAtMs, sequence int64) fleet.Registration {
	return fleet.Registration{
		ID: id, Service: "s", Address: "10.0.0.1:80", DataCentre: "z", Slots: 16,
		StartedAtMs: startedAtMs, Sequence: sequence,
	}
}

func usableReplicas(flt *fleet.Fleet) int { return len(flt.ReplicaSet("s").Views()) }

// TestDrainingReplicaGetsNoMoreCalls guards against an outdated registration that puts a draining replica back into
// use.
func TestDrainingReplicaGetsNoMoreCalls(t *testing.T) {
	iis := is.New(t)
	flt, _, _ := newFleet()
	flt.UpdateRegistration(registration("i-1", 1, 4))
	iis.Equal(usableReplicas(flt), 1)
	reg := registration("i-1", 1, 5)
	reg.Draining = true
	flt.UpdateRegistration(reg)
	iis.Equal(usableReplicas(flt), 0)
	flt.UpdateRegistration(registration("i-1", 1, 4)) // older, but received later
	iis.Equal(usableReplicas(flt), 0)
	flt.UpdateRegistration(registration("i-1", 1, 6)) // claims to be ready again in the same incarnation
	iis.Equal(usableReplicas(flt), 0)
}

// TestNewIncarnationRestartsSequence guards against a replica that restarts under its ID and is ignored because its
// sequence number is lower than before.
func TestNewIncarnationRestartsSequence(t *testing.T) {
	iis := is.New(t)
	flt, _, removed := newFleet()
	reg := registration("i-1", 1, 9)
	reg.Draining = true
	flt.UpdateRegistration(reg)
	flt.UpdateRegistration(registration("i-1", 2, 1))
	iis.Equal(usableReplicas(flt), 1)
	iis.Equal(*removed, []string{"i-1"})               // its connections were dropped
	flt.UpdateRegistration(registration("i-1", 1, 10)) // of the first incarnation
	iis.Equal(flt.ReplicaSet("s").Views()[0].Draining, false)
}

// TestRemovalTakesEffectAtOnce guards against calls to a replica whose registration was removed without draining.
func TestRemovalTakesEffectAtOnce(t *testing.T) {
	iis := is.New(t)
	flt, _, removed := newFleet()
	flt.UpdateRegistration(registration("i-1", 1, 1))
	flt.Unregister("i-1")
	iis.Equal(usableReplicas(flt), 0)
	iis.Equal(*removed, []string{"i-1"})
}

// TestExpiredRegistrationMayBeRenewed guards against a fleet that is empty after a store outage because registrations
// expired during it.
func TestExpiredRegistrationMayBeRenewed(t *testing.T) {
	iis := is.New(t)
	flt, man, _ := newFleet()
	flt.UpdateRegistration(registration("i-1", 1, 1))
	flt.UpdateRegistration(registration("i-2", 1, 1))
	flt.StoreOutageEnded()
	flt.ReplaceRegistrations(nil, nil)
	iis.Equal(usableReplicas(flt), 2)
	man.Advance(time.Second)
	flt.UpdateRegistration(registration("i-1", 1, 2))
	man.Advance(time.Second)
	flt.RemoveExpired()
	iis.Equal(usableReplicas(flt), 1) // i-2 did not register again
	man.Advance(time.Minute)
	flt.RemoveExpired()
	iis.Equal(usableReplicas(flt), 1)
}

// TestListingRemovesMissingReplicas guards against replicas that stay in the fleet because their removal was never
// received.
func TestListingRemovesMissingReplicas(t *testing.T) {
	iis := is.New(t)
	flt, _, _ := newFleet()
	flt.UpdateRegistration(registration("i-1", 1, 1))
	flt.UpdateRegistration(registration("i-2", 1, 1))
	flt.ReplaceRegistrations([]fleet.Registration{registration("i-2", 1, 2)}, nil)
	iis.Equal(usableReplicas(flt), 1)
}

// TestFailureRateDecays guards against a replica whose failures are ignored, or held against it forever.
func TestFailureRateDecays(t *testing.T) {
	iis := is.New(t)
	flt, man, _ := newFleet()
	flt.UpdateRegistration(registration("i-1", 1, 1))
	rep := flt.ReplicaSet("s").Views()[0].Replica
	rep.RecordUnreachable()
	iis.True(flt.ReplicaSet("s").Views()[0].FailureRate > 0.8)
	man.Advance(20 * time.Second)
	iis.True(flt.ReplicaSet("s").Views()[0].FailureRate < 0.1)
}

// TestRemoteTasksEnd guards against tasks of other processes that are counted twice or never removed.
func TestRemoteTasksEnd(t *testing.T) {
	iis := is.New(t)
	flt, man, _ := newFleet()
	flt.UpdateRegistration(registration("i-1", 1, 1))
	var hash uint32
	rep := flt.ReplicaSet("s").Views()[0].Replica
	tsk := rep.StartTask(fleet.Task{KVTokens: 5}, func(chg fleet.TaskChange) { hash = chg.Replica })
	tokens := func() int { return flt.ReplicaSet("s").Views()[0].KVTokens }
	rem := fleet.RemoteTask{Replica: hash, Task: fleet.Task{ID: 7, KVTokens: 100}}
	flt.ApplyRemoteTasks("peer", []fleet.RemoteTask{rem, rem})
	iis.Equal(tokens(), 105)
	progress := fleet.RemoteTask{Replica: hash, Task: fleet.Task{ID: 7, Phase: fleet.Decode}, ProgressOnly: true}
	flt.ApplyRemoteTasks("peer", []fleet.RemoteTask{progress})
	iis.Equal(tokens(), 105) // a progress-only update does not carry the size
	iis.Equal(flt.ReplicaSet("s").Views()[0].DecodeStreams, 1)
	flt.ApplyRemoteTasks("peer", []fleet.RemoteTask{{Replica: hash, Task: fleet.Task{ID: 7}, Ended: true}})
	iis.Equal(tokens(), 5)
	flt.ApplyRemoteTasks("peer", []fleet.RemoteTask{rem})
	flt.RemovePeer("peer")
	iis.Equal(tokens(), 5)
	flt.ApplyRemoteTasks("peer", []fleet.RemoteTask{rem})
	man.Advance(4 * time.Second)
	iis.Equal(tokens(), 105) // The datagram that sends it again may be late.
	man.Advance(time.Second)
	iis.Equal(tokens(), 5) // The datagram with its end may be lost.
	tsk.End()
	iis.Equal(tokens(), 0)
}

// TestSlowReplicaIsDetected guards against a replica that becomes several times slower without failures and goes
// unnoticed, and against one that counts as slow because of single long pauses.
func TestSlowReplicaIsDetected(t *testing.T) {
	iis := is.New(t)
	flt, man, _ := newFleet()
	flt.UpdateRegistration(registration("i-1", 1, 1))
	rep := flt.ReplicaSet("s").Views()[0].Replica
	latencyRatio := func() float64 { return flt.ReplicaSet("s").Views()[0].LatencyRatio }
	for num := range 100 {
		rep.ObserveLatencyRatio(1.3)
		if num%8 == 0 {
			rep.ObserveLatencyRatio(20) // a long prompt is prefilled
		}
	}
	iis.Equal(latencyRatio(), 1.0)
	for range 40 {
		rep.ObserveLatencyRatio(5)
	}
	iis.True(latencyRatio() > 4)
	man.Advance(5 * time.Second)
	iis.Equal(latencyRatio(), 1.0) // It gets calls again, as it may have recovered.
}

// TestPendingTasksAreApplied guards against the loss of tasks when a process starts while others have many in flight:
// they send all of them at once, before the process has read the registrations of the replicas.
func TestPendingTasksAreApplied(t *testing.T) {
	iis := is.New(t)
	clk := timer.New()
	other := fleet.New(clk, logr.Discard(), nil)
	reg := fleet.Registration{ID: "i-1", Service: "s", Address: "10.0.0.1:80", Slots: 4, Sequence: 1}
	other.UpdateRegistration(reg)
	other.ReplicaSet("s").Views()[0].Replica.StartTask(fleet.Task{KVTokens: 1000}, nil)
	other.ReplicaSet("s").Views()[0].Replica.StartTask(fleet.Task{KVTokens: 2000}, nil)
	updates := other.LocalTasks()
	flt := fleet.New(clk, logr.Discard(), nil)
	flt.ApplyRemoteTasks("gone", updates)
	flt.RemovePeer("gone")
	flt.ApplyRemoteTasks("peer", updates)
	ended := updates[0]
	ended.Ended = true
	flt.ApplyRemoteTasks("peer", []fleet.RemoteTask{ended})
	flt.UpdateRegistration(reg)
	iis.Equal(len(flt.ReplicaSet("s").Views()[0].Tasks), 1)
	iis.Equal(flt.ReplicaSet("s").Views()[0].Tasks[0].KVTokens, updates[1].Task.KVTokens)
}

// TestReportedLatencyRatioCounts guards against a slow replica that goes unnoticed because it only prefills parts of
// prompts: it has no decoding streams, so only the latency ratio that it reports shows that it is slow.
func TestReportedLatencyRatioCounts(t *testing.T) {
	iis := is.New(t)
	flt, man, _ := newFleet()
	flt.UpdateRegistration(registration("i-1", 1, 1))
	latencyRatio := func() float64 { return flt.ReplicaSet("s").Views()[0].LatencyRatio }
	rep := flt.ReplicaSet("s").Views()[0].Replica
	iis.True(rep.ShouldQueryLatency())
	iis.True(!rep.ShouldQueryLatency()) // It has just been queried.
	iis.Equal(latencyRatio(), 1.0)
	rep.SetReportedLatencyRatio(4)
	iis.Equal(latencyRatio(), 4.0)
	man.Advance(5 * time.Second)
	iis.Equal(latencyRatio(), 1.0) // It may have recovered.
	iis.True(rep.ShouldQueryLatency())
}

// TestOverwrittenRecordIsNoRemoval guards against a live replica that gets no calls because a list of the registrations
// holds the record of another writer in the place of its own, and against one that has gone and keeps getting them.
func TestOverwrittenRecordIsNoRemoval(t *testing.T) {
	iis := is.New(t)
	flt, man, _ := newFleet()
	flt.UpdateRegistration(registration("i-1", 1, 1))
	flt.UpdateRegistration(registration("i-2", 1, 1))
	flt.ReplaceRegistrations(nil, []string{"i-1", "i-2", "i-3"})
	iis.Equal(usableReplicas(flt), 2)
	man.Advance(time.Second)
	flt.UpdateRegistration(registration("i-1", 1, 2))
	man.Advance(time.Second)
	flt.RemoveExpired()
	iis.Equal(usableReplicas(flt), 1) // i-2 did not write again.
	flt.ReplaceRegistrations(nil, []string{"i-1"})
	flt.Unregister("i-1")
	iis.Equal(usableReplicas(flt), 0)
}
