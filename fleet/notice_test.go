package fleet_test

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tarragonwheel/tarragonwheel/fleet"
)

// drainTime is the time within which calls must stop to arrive for a replica that leaves.
const drainTime = 2 * time.Second

// fleetStart is the time at which fleets of tests start.
var fleetStart = time.Unix(1700000000, 0)

// onlyReplica returns the one replica that takes calls.
func onlyReplica(t *testing.T, flt *fleet.Fleet) *fleet.Replica {
	t.Helper()
	list := flt.ReplicaSet("s").Views()
	if len(list) != 1 {
		t.Fatalf("%d replicas take calls", len(list))
	}
	return list[0].Replica
}

// TestLeavingHoldsForOneIncarnation guards against a replica that leaves and gets calls because its registration was
// lost for a while, and against a new start at its address that is held back.
func TestLeavingHoldsForOneIncarnation(t *testing.T) {
	for _, tst := range []struct {
		name      string
		change    func(flt *fleet.Fleet)
		takesMore bool
	}{
		{"renewed", func(flt *fleet.Fleet) { flt.UpdateRegistration(registration("i-1", 1, 9)) }, false},
		{"removed and registered again", func(flt *fleet.Fleet) {
			flt.Unregister("i-1")
			flt.UpdateRegistration(registration("i-1", 1, 9))
		}, false},
		{"restarted under its ID", func(flt *fleet.Fleet) { flt.UpdateRegistration(registration("i-1", 2, 1)) }, true},
		{"restarted after its removal", func(flt *fleet.Fleet) {
			flt.Unregister("i-1")
			flt.UpdateRegistration(registration("i-1", 2, 1))
		}, true},
		{"another replica at its address", func(flt *fleet.Fleet) {
			flt.UpdateRegistration(registration("i-2", 3, 1))
		}, true},
	} {
		t.Run(tst.name, func(t *testing.T) {
			iis := is.New(t)
			flt, man, _ := newFleet()
			flt.UpdateRegistration(registration("i-1", 1, 4))
			isNew, isNewToPeers := onlyReplica(t, flt).RecordLeaving()
			iis.True(isNew)
			iis.True(isNewToPeers)
			iis.Equal(usableReplicas(flt), 0)
			man.Advance(time.Second)
			tst.change(flt)
			iis.Equal(usableReplicas(flt) > 0, tst.takesMore)
		})
	}
}

// TestNoticeOfRemovedReplicaIsKept guards against calls to a replica that says that it leaves while its registration is
// missing, and is registered again.
func TestNoticeOfRemovedReplicaIsKept(t *testing.T) {
	iis := is.New(t)
	flt, _, _ := newFleet()
	flt.UpdateRegistration(registration("i-1", 1, 4))
	rep := onlyReplica(t, flt)
	flt.Unregister("i-1")
	rep.RecordLeaving() // in the response to a call that was in flight
	flt.UpdateRegistration(registration("i-1", 1, 5))
	iis.Equal(usableReplicas(flt), 0)
}

// TestLastResort guards against calls to a replica later than the drain time after it has said that it leaves, and
// against a service that has no replicas because all say so falsely.
func TestLastResort(t *testing.T) {
	const age = 200 * time.Millisecond // of the registrations, if the store answers
	for _, tst := range []struct {
		name    string
		after   time.Duration // from the response until the call is placed
		waited  time.Duration // from the arrival of the call until it is placed
		regsAge time.Duration
		want    int
	}{
		{"within the drain time", drainTime - time.Millisecond, 0, age, 1},
		{"after the drain time", drainTime, 0, age, 0},
		{"arrived within the drain time", drainTime + time.Second, 2 * time.Second, age, 1},
		{"long after", 4 * drainTime, 0, age, 0},
		{"still registered after many drain times", 5*drainTime + time.Second, 0, age, 1},
		{"the same while the store is down", 5*drainTime + time.Second, 0, math.MaxInt64, 0},
	} {
		t.Run(tst.name, func(t *testing.T) {
			iis := is.New(t)
			flt, man, _ := newFleet()
			flt.UpdateRegistration(registration("i-1", 1, 4))
			onlyReplica(t, flt).RecordLeaving()
			man.Advance(tst.after)
			views := flt.ReplicaSet("s").LastResortViews(fleet.Evidence{
				ArrivedAt: fleetStart.Add(tst.after - tst.waited), DrainTime: drainTime, RegistrationsAge: tst.regsAge,
			}, nil)
			iis.Equal(len(views), tst.want)
		})
	}
}

// TestRepeatedNoticeDoesNotRenewTheDrainTime guards against a drain time that never ends because the replica says in
// each response that it leaves.
func TestRepeatedNoticeDoesNotRenewTheDrainTime(t *testing.T) {
	iis := is.New(t)
	flt, man, _ := newFleet()
	flt.UpdateRegistration(registration("i-1", 1, 4))
	rep := onlyReplica(t, flt)
	rep.RecordLeaving()
	man.Advance(drainTime)
	isNew, _ := rep.RecordLeaving()
	iis.True(!isNew)
	iis.Equal(len(flt.ReplicaSet("s").LastResortViews(fleet.Evidence{
		ArrivedAt: fleetStart.Add(drainTime), DrainTime: drainTime, RegistrationsAge: math.MaxInt64,
	}, nil)), 0)
}

// TestPauseOnlyGrows guards against calls within a pause that a replica has asked for, because it has asked for a
// shorter one later.
func TestPauseOnlyGrows(t *testing.T) {
	iis := is.New(t)
	flt, man, _ := newFleet()
	flt.UpdateRegistration(registration("i-1", 1, 4))
	rep := onlyReplica(t, flt)
	iis.True(rep.RecordPause(3 * time.Second))
	iis.True(!rep.RecordPause(time.Second))
	rep.RecordSuccess()
	man.Advance(3*time.Second - time.Millisecond)
	iis.Equal(usableReplicas(flt), 0)
	iis.True(rep.Paused())
	evi := fleet.Evidence{ArrivedAt: fleetStart, DrainTime: drainTime}
	iis.Equal(len(flt.ReplicaSet("s").LastResortViews(evi, nil)), 0)
	man.Advance(time.Millisecond)
	iis.Equal(usableReplicas(flt), 1)
}

// TestShortage guards against callers that are told to come again when no replica takes calls yet, or that all come at
// the same time.
func TestShortage(t *testing.T) {
	iis := is.New(t)
	flt, man, _ := newFleet()
	_, isShort := flt.ReplicaSet("s").Shortage(nil)
	iis.True(!isShort) // There is no replica.
	for _, id := range []string{"i-1", "i-2", "i-3", "i-4"} {
		flt.UpdateRegistration(registration(id, 1, 1))
	}
	pauses := map[string]time.Duration{"i-1": 2 * time.Second, "i-2": 4 * time.Second, "i-3": 40 * time.Second}
	for _, vie := range flt.ReplicaSet("s").Views() {
		if pauses[vie.ID] > 0 {
			vie.Replica.RecordPause(pauses[vie.ID])
		}
	}
	_, isShort = flt.ReplicaSet("s").Shortage(nil)
	iis.True(!isShort) // One replica takes calls.
	man.Advance(time.Second)
	onlyReplica(t, flt).RecordLeaving()
	sho, isShort := flt.ReplicaSet("s").Shortage(nil)
	iis.True(isShort)
	iis.Equal(sho.Leaving, 1)
	iis.Equal(len(sho.Pauses), 3)
	iis.Equal(sho.NoticeAge, time.Second)
	times := make(map[time.Duration]bool)
	for _, rnd := range []float64{0, 0.4, 0.6, 0.999} {
		in, known := sho.CapacityReturnsIn(10*time.Second, rnd)
		iis.True(known)
		times[in] = true
	}
	iis.Equal(times, map[time.Duration]bool{time.Second: true, 3 * time.Second: true})
	in, _ := sho.CapacityReturnsIn(500*time.Millisecond, 0.999) // The caller waits for none of them.
	iis.Equal(in, time.Second)
}

// TestNoticeOfPeer guards against notices of peers that take the last replicas of a service away, or that hold a new
// start of a replica back.
func TestNoticeOfPeer(t *testing.T) {
	iis := is.New(t)
	flt, man, _ := newFleet()
	flt.UpdateRegistration(registration("i-1", 1, 4))
	rep := onlyReplica(t, flt)
	ntc := rep.LeavingNotice()
	ntc.At = fleetStart
	other := ntc
	other.StartedAtMs = 7
	flt.ApplyLeavingNotices([]fleet.LeavingNotice{other, {Replica: 4711}})
	iis.Equal(usableReplicas(flt), 1)
	flt.ApplyLeavingNotices([]fleet.LeavingNotice{ntc})
	iis.Equal(usableReplicas(flt), 0)
	man.Advance(time.Hour)
	views := flt.ReplicaSet("s").LastResortViews(fleet.Evidence{
		ArrivedAt: fleetStart.Add(time.Hour), DrainTime: drainTime, RegistrationsAge: math.MaxInt64,
	}, nil)
	iis.Equal(len(views), 1)
	isNew, isNewToPeers := rep.RecordLeaving()
	iis.True(isNew)
	iis.True(!isNewToPeers)
}
