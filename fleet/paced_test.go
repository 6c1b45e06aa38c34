package fleet_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tarragonwheel/tarragonwheel/fleet"
	"github.com/tarragonwheel/tarragonwheel/pace"
	"github.com/tarragonwheel/tarragonwheel/timer"
)

// testWarmUp lets one front alone send four calls a second to a cold replica.
var testWarmUp = pace.WarmUp{Time: 3 * time.Second, PerSecond: 4}

// newPacedFleet returns a fleet of a service with slow starts, of which one replica was listed first.
func newPacedFleet() (*fleet.Fleet, *timer.Manual) {
	flt, man, _ := newFleet()
	flt.SetWarmUps(map[string]pace.WarmUp{"s": testWarmUp})
	flt.ReplaceRegistrations([]fleet.Registration{registration("i-1", fleetStart.UnixMilli(), 1)}, nil)
	return flt, man
}

// takeAll takes calls until the replica takes no more, 20 at most. The calls end at once.
func takeAll(rep *fleet.Replica) int {
	num := 0
	for ; num < 20; num++ {
		tsk := rep.StartTask(fleet.Task{}, nil)
		_, ok := rep.TakeCall()
		tsk.End()
		if !ok {
			break
		}
	}
	return num
}

// TestFirstListIsNotCold guards against a front that starts and treats all replicas as newly started.
func TestFirstListIsNotCold(t *testing.T) {
	iis := is.New(t)
	flt, _ := newPacedFleet()
	iis.Equal(takeAll(onlyReplica(t, flt)), 20)
}

// TestColdReplicas guards against a replica that gets calls above its limit after one of the events that make it cold,
// or for longer than it is cold, and against limits for other replicas.
func TestColdReplicas(t *testing.T) {
	start := fleetStart.UnixMilli()
	cold := func(reg fleet.Registration, left time.Duration) fleet.Registration {
		reg.WarmUpLeft = left
		return reg
	}
	for _, tst := range []struct {
		name string
		mark func(flt *fleet.Fleet)
		id   string // of the replica that is cold then; empty for none
		time time.Duration
	}{
		{"new incarnation", func(flt *fleet.Fleet) {
			flt.UpdateRegistration(registration("i-1", start+500, 1))
		}, "i-1", 3 * time.Second},
		{"new replica", func(flt *fleet.Fleet) {
			flt.UpdateRegistration(registration("i-2", start+500, 1))
		}, "i-2", 3 * time.Second},
		{"new replica without the time of its start", func(flt *fleet.Fleet) {
			flt.UpdateRegistration(registration("i-2", 0, 1))
		}, "i-2", 3 * time.Second},
		{"new replica that states the rest", func(flt *fleet.Fleet) {
			flt.UpdateRegistration(cold(registration("i-2", start+500, 1), time.Second))
		}, "i-2", time.Second},
		{"replica of long ago", func(flt *fleet.Fleet) {
			flt.UpdateRegistration(registration("i-2", start-60_000, 1))
		}, "", 0},
		{"registered again after it was missing", func(flt *fleet.Fleet) {
			flt.Unregister("i-1")
			flt.UpdateRegistration(registration("i-1", start, 2))
		}, "", 0},
		{"cold again", func(flt *fleet.Fleet) {
			flt.UpdateRegistration(cold(registration("i-1", start, 2), 2*time.Second))
		}, "i-1", 2 * time.Second},
		{"response", func(flt *fleet.Fleet) {
			flt.ReplicaSet("s").Views()[0].Replica.RecordCold(1500 * time.Millisecond)
		}, "i-1", 1500 * time.Millisecond},
		{"notice of a peer", func(flt *fleet.Fleet) {
			ntc := flt.ReplicaSet("s").Views()[0].Replica.ColdNotice(time.Second)
			flt.ApplyColdNotice(ntc)
		}, "i-1", time.Second},
		{"notice of a peer on another incarnation", func(flt *fleet.Fleet) {
			ntc := flt.ReplicaSet("s").Views()[0].Replica.ColdNotice(time.Second)
			ntc.StartedAtMs--
			flt.ApplyColdNotice(ntc)
		}, "", 0},
		{"data centre in service", func(flt *fleet.Fleet) {
			flt.MarkCold(registration("i-1", 1, 1).DataCentre)
		}, "i-1", 3 * time.Second},
		{"another data centre in service", func(flt *fleet.Fleet) { flt.MarkCold("other") }, "", 0},
	} {
		t.Run(tst.name, func(t *testing.T) {
			iis := is.New(t)
			flt, man := newPacedFleet()
			man.Advance(time.Second)
			tst.mark(flt)
			for _, vie := range flt.ReplicaSet("s").Views() {
				iis.Equal(vie.SlowStart, vie.ID == tst.id)
				num := takeAll(vie.Replica)
				if vie.ID != tst.id {
					iis.Equal(num, 20)
					continue
				}
				iis.Equal(num, 4)
				man.Advance(tst.time - time.Millisecond)
				iis.Equal(takeAll(vie.Replica) <= 4, true)
				man.Advance(time.Millisecond)
				iis.Equal(takeAll(vie.Replica), 20) // The calls end at once, so that none are in flight.
			}
		})
	}
}

// TestQuotaUsedUp guards against views with replicas that take no calls now, and against refusals without the time at
// which they do.
func TestQuotaUsedUp(t *testing.T) {
	iis := is.New(t)
	flt, man := newPacedFleet()
	flt.MarkCold(registration("i-1", 1, 1).DataCentre)
	rep := onlyReplica(t, flt)
	_, isShort := flt.ReplicaSet("s").Shortage(nil)
	iis.True(!isShort)
	iis.Equal(takeAll(rep), 4)
	iis.Equal(usableReplicas(flt), 0)
	man.Advance(600 * time.Millisecond)
	sho, isShort := flt.ReplicaSet("s").Shortage(nil)
	iis.True(isShort)
	next, known := sho.NextWarmUpCall()
	iis.True(known)
	iis.Equal(next, 430*time.Millisecond)
	wait, known := sho.CapacityReturnsIn(time.Second, 0.5)
	iis.True(known)
	iis.Equal(wait, next)
	iis.Equal(len(flt.ReplicaSet("s").LastResortViews(fleet.Evidence{}, nil)), 0)
	man.Advance(next)
	iis.Equal(usableReplicas(flt), 1)
}

// TestNoSlowStartWithoutRate guards against limits at services for which the operator states none.
func TestNoSlowStartWithoutRate(t *testing.T) {
	iis := is.New(t)
	flt, _, _ := newFleet()
	flt.ReplaceRegistrations(nil, nil)
	flt.UpdateRegistration(registration("i-1", fleetStart.UnixMilli(), 1))
	flt.MarkCold(registration("i-1", 1, 1).DataCentre)
	rep := onlyReplica(t, flt)
	rep.RecordNoConnection()
	iis.True(!rep.RecordCold(time.Minute))
	iis.Equal(takeAll(rep), 20)
}

// TestConfigurationAfterRegistrations guards against a front that learns of the rate after it has listed the replicas.
func TestConfigurationAfterRegistrations(t *testing.T) {
	iis := is.New(t)
	flt, man, _ := newFleet()
	reg := registration("i-1", fleetStart.UnixMilli(), 1)
	reg.WarmUpLeft = 2 * time.Second
	flt.ReplaceRegistrations([]fleet.Registration{reg}, nil)
	man.Advance(500 * time.Millisecond)
	flt.SetWarmUps(map[string]pace.WarmUp{"s": testWarmUp})
	rep := onlyReplica(t, flt)
	iis.Equal(takeAll(rep), 4)
	man.Advance(1500 * time.Millisecond) // The age of the registration counts.
	iis.Equal(takeAll(rep), 20)
	flt.SetWarmUps(nil)
	iis.True(!flt.ReplicaSet("s").Views()[0].SlowStart)
}

// TestReplicaRespondsAgain guards against a replica that was restarted cold while it was unreachable, and gets all
// calls at once.
func TestReplicaRespondsAgain(t *testing.T) {
	iis := is.New(t)
	flt, man := newPacedFleet()
	rep := onlyReplica(t, flt)
	rep.RecordNoConnection()
	iis.Equal(takeAll(rep), 4)
	man.Advance(1100 * time.Millisecond)
	rep.RecordSuccess()
	man.Advance(2 * time.Second) // It is cold for 3 s from its first response on.
	iis.Equal(takeAll(rep), 4)
	man.Advance(time.Second)
	iis.Equal(takeAll(rep), 20)
}

// TestCrashAboveLimit guards against calls that are blocked because a cold replica ended that got too many of them from
// several fronts, and against crashes at a normal rate that count for nothing.
func TestCrashAboveLimit(t *testing.T) {
	iis := is.New(t)
	flt, man := newPacedFleet()
	flt.MarkCold(registration("i-1", 1, 1).DataCentre)
	rep := onlyReplica(t, flt)
	iis.Equal(takeAll(rep), 4)
	iis.True(!rep.AboveLimit())
	hash := rep.LeavingNotice().Replica
	var tasks []fleet.RemoteTask
	for num := range 3 {
		tasks = append(tasks, fleet.RemoteTask{Replica: hash, Task: fleet.Task{
			ID: uint32(num), StartedAt: fleetStart,
		}})
	}
	flt.ApplyRemoteTasks("10.0.0.9:7000", tasks)
	iis.True(rep.AboveLimit())
	man.Advance(2 * time.Second)
	iis.True(!rep.AboveLimit())
}

// TestHeartbeatOfColdReplica guards against fronts that are not told that a replica has turned cold again, because its
// registration differs in nothing else.
func TestHeartbeatOfColdReplica(t *testing.T) {
	iis := is.New(t)
	flt, man := newPacedFleet()
	reg := registration("i-1", fleetStart.UnixMilli(), 2)
	iis.True(flt.IsHeartbeat(reg))
	reg.WarmUpLeft = 3 * time.Second
	iis.True(!flt.IsHeartbeat(reg))
	flt.UpdateRegistration(reg)
	man.Advance(time.Second)
	reg.WarmUpLeft = 2 * time.Second
	iis.True(flt.IsHeartbeat(reg))
	man.Advance(2 * time.Second)
	reg.WarmUpLeft = 3 * time.Second
	iis.True(!flt.IsHeartbeat(reg))
}

// BenchmarkViews measures the views of 45 replicas with the tasks of 45 fronts, of which none or all are cold.
func BenchmarkViews(b *testing.B) {
	for _, cold := range []bool{false, true} {
		b.Run(fmt.Sprint("cold=", cold), func(b *testing.B) {
			flt, _, _ := newFleet()
			flt.SetWarmUps(map[string]pace.WarmUp{"s": {Time: time.Second, PerSecond: 32}})
			var regs []fleet.Registration
			for num := range 45 {
				regs = append(regs, registration(fmt.Sprint("i-", num), fleetStart.UnixMilli(), 1))
			}
			flt.ReplaceRegistrations(regs, nil)
			if cold {
				flt.MarkCold(regs[0].DataCentre)
			}
			for idx, vie := range flt.ReplicaSet("s").Views() {
				for peer := range 4 {
					flt.ApplyRemoteTasks(fmt.Sprint("10.0.0.", (idx+peer)%45, ":7000"), []fleet.RemoteTask{{
						Replica: vie.Replica.LeavingNotice().Replica, Task: fleet.Task{ID: 1, StartedAt: fleetStart},
					}})
				}
			}
			for b.Loop() {
				flt.ReplicaSet("s").Views()
			}
		})
	}
}
