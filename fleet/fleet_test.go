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
	var gone []string
	flt := fleet.New(clk, logr.Discard(), func(id string) { gone = append(gone, id) })
	return flt, man, &gone
}

func registration(id string, born, sequence int64) fleet.Registration {
	return fleet.Registration{
		ID: id, Service: "s", Address: "10.0.0.1:80", DataCentre: "z", Slots: 16, StartedAtMs: born, Sequence: sequence,
	}
}

func usable(flt *fleet.Fleet) int { return len(flt.Group("s").Views()) }

// TestDrainingReplicaGetsNoMoreCalls guards against a late record that puts a draining replica back into use.
func TestDrainingReplicaGetsNoMoreCalls(t *testing.T) {
	iis := is.New(t)
	flt, _, _ := newFleet()
	flt.UpdateRegistration(registration("i-1", 1, 4))
	iis.Equal(usable(flt), 1)
	reg := registration("i-1", 1, 5)
	reg.Draining = true
	flt.UpdateRegistration(reg)
	iis.Equal(usable(flt), 0)
	flt.UpdateRegistration(registration("i-1", 1, 4)) // written before, read later
	iis.Equal(usable(flt), 0)
	flt.UpdateRegistration(registration("i-1", 1, 6)) // says ready again within the same run
	iis.Equal(usable(flt), 0)
}

// TestNewIncarnationCountsAnew guards against a replica that is reborn under its ID and ignored for its low sequence.
func TestNewIncarnationCountsAnew(t *testing.T) {
	iis := is.New(t)
	flt, _, gone := newFleet()
	reg := registration("i-1", 1, 9)
	reg.Draining = true
	flt.UpdateRegistration(reg)
	flt.UpdateRegistration(registration("i-1", 2, 1))
	iis.Equal(usable(flt), 1)
	iis.Equal(*gone, []string{"i-1"})                  // its connections were dropped
	flt.UpdateRegistration(registration("i-1", 1, 10)) // of the first run
	iis.Equal(flt.Group("s").Views()[0].Draining, false)
}

// TestRemovalTakesEffectAtOnce guards against calls to a replica that has left without draining.
func TestRemovalTakesEffectAtOnce(t *testing.T) {
	iis := is.New(t)
	flt, _, gone := newFleet()
	flt.UpdateRegistration(registration("i-1", 1, 1))
	flt.Unregister("i-1")
	iis.Equal(usable(flt), 0)
	iis.Equal(*gone, []string{"i-1"})
}

// TestLapsedRegistrationMayComeBack guards against a fleet that is empty after an outage of the store in which
// registrations lapsed.
func TestLapsedRegistrationMayComeBack(t *testing.T) {
	iis := is.New(t)
	flt, man, _ := newFleet()
	flt.UpdateRegistration(registration("i-1", 1, 1))
	flt.UpdateRegistration(registration("i-2", 1, 1))
	flt.StoreOutageEnded()
	flt.ReplaceRegistrations(nil)
	iis.Equal(usable(flt), 2)
	man.Advance(time.Second)
	flt.UpdateRegistration(registration("i-1", 1, 2))
	man.Advance(time.Second)
	flt.RemoveExpired()
	iis.Equal(usable(flt), 1) // i-2 did not come back
	man.Advance(time.Minute)
	flt.RemoveExpired()
	iis.Equal(usable(flt), 1)
}

// TestListingRemovesWhatIsMissing guards against replicas that left in records that were never read.
func TestListingRemovesWhatIsMissing(t *testing.T) {
	iis := is.New(t)
	flt, _, _ := newFleet()
	flt.UpdateRegistration(registration("i-1", 1, 1))
	flt.UpdateRegistration(registration("i-2", 1, 1))
	flt.ReplaceRegistrations([]fleet.Registration{registration("i-2", 1, 2)})
	iis.Equal(usable(flt), 1)
}

// TestRiskIsForgotten guards against a replica that is condemned for good, or not at all.
func TestRiskIsForgotten(t *testing.T) {
	iis := is.New(t)
	flt, man, _ := newFleet()
	flt.UpdateRegistration(registration("i-1", 1, 1))
	rep := flt.Group("s").Views()[0].Replica
	rep.RecordUnreachable()
	iis.True(flt.Group("s").Views()[0].FailureRate > 0.8)
	man.Advance(20 * time.Second)
	iis.True(flt.Group("s").Views()[0].FailureRate < 0.1)
}

// TestRemoteWorksEnd guards against works of other processes that are counted twice or never end.
func TestRemoteWorksEnd(t *testing.T) {
	iis := is.New(t)
	flt, man, _ := newFleet()
	flt.UpdateRegistration(registration("i-1", 1, 1))
	var hash uint32
	rep := flt.Group("s").Views()[0].Replica
	tkt := rep.StartTask(fleet.Task{KVTokens: 5}, func(rep uint32, _ fleet.Task, _ bool) { hash = rep })
	tokens := func() int { return flt.Group("s").Views()[0].KVTokens }
	rem := fleet.RemoteTask{Replica: hash, Task: fleet.Task{ID: 7, KVTokens: 100}}
	flt.ApplyRemoteTasks("peer", []fleet.RemoteTask{rem, rem})
	iis.Equal(tokens(), 105)
	moved := fleet.RemoteTask{Replica: hash, Task: fleet.Task{ID: 7, Phase: fleet.Decode}, ProgressOnly: true}
	flt.ApplyRemoteTasks("peer", []fleet.RemoteTask{moved})
	iis.Equal(tokens(), 105) // a move tells nothing of its size
	iis.Equal(flt.Group("s").Views()[0].DecodeStreams, 1)
	flt.ApplyRemoteTasks("peer", []fleet.RemoteTask{{Replica: hash, Task: fleet.Task{ID: 7}, Ended: true}})
	iis.Equal(tokens(), 5)
	flt.ApplyRemoteTasks("peer", []fleet.RemoteTask{rem})
	flt.RemovePeer("peer")
	iis.Equal(tokens(), 5)
	flt.ApplyRemoteTasks("peer", []fleet.RemoteTask{rem})
	man.Advance(4 * time.Second)
	iis.Equal(tokens(), 105) // the datagram that repeats it may be late
	man.Advance(time.Second)
	iis.Equal(tokens(), 5) // the datagram that ends it may be lost
	tkt.End()
	iis.Equal(tokens(), 0)
}

// TestSlowReplicaIsFound guards against a replica that works several times slower while it fails nothing, and against
// one that is held to be slow because of single long pauses.
func TestSlowReplicaIsFound(t *testing.T) {
	iis := is.New(t)
	flt, man, _ := newFleet()
	flt.UpdateRegistration(registration("i-1", 1, 1))
	rep := flt.Group("s").Views()[0].Replica
	pace := func() float64 { return flt.Group("s").Views()[0].LatencyRatio }
	for num := range 100 {
		rep.ObserveLatencyRatio(1.3)
		if num%8 == 0 {
			rep.ObserveLatencyRatio(20) // a long prompt is read
		}
	}
	iis.Equal(pace(), 1.0)
	for range 40 {
		rep.ObserveLatencyRatio(5)
	}
	iis.True(pace() > 4)
	man.Advance(5 * time.Second)
	iis.Equal(pace(), 1.0) // It is tried again.
}

// TestEarlyWorksCount answers the pattern in which a process starts while others have much work: they tell it of all
// of it at once, before it has read the registrations of the replicas.
func TestEarlyWorksCount(t *testing.T) {
	iis := is.New(t)
	clk := timer.New()
	other := fleet.New(clk, logr.Discard(), nil)
	reg := fleet.Registration{ID: "i-1", Service: "s", Address: "10.0.0.1:80", Slots: 4, Sequence: 1}
	other.UpdateRegistration(reg)
	other.Group("s").Views()[0].Replica.StartTask(fleet.Task{KVTokens: 1000}, nil)
	other.Group("s").Views()[0].Replica.StartTask(fleet.Task{KVTokens: 2000}, nil)
	news := other.LocalTasks()
	flt := fleet.New(clk, logr.Discard(), nil)
	flt.ApplyRemoteTasks("gone", news)
	flt.RemovePeer("gone")
	flt.ApplyRemoteTasks("peer", news)
	ended := news[0]
	ended.Ended = true
	flt.ApplyRemoteTasks("peer", []fleet.RemoteTask{ended})
	flt.UpdateRegistration(reg)
	iis.Equal(len(flt.Group("s").Views()[0].Tasks), 1)
	iis.Equal(flt.Group("s").Views()[0].Tasks[0].KVTokens, news[1].Task.KVTokens)
}

// TestReportedPaceCounts answers the pattern in which a slow replica reads parts of prompts but writes no streams, so
// that nothing but its own report shows that it is slow.
func TestReportedPaceCounts(t *testing.T) {
	iis := is.New(t)
	flt, man, _ := newFleet()
	flt.UpdateRegistration(registration("i-1", 1, 1))
	pace := func() float64 { return flt.Group("s").Views()[0].LatencyRatio }
	rep := flt.Group("s").Views()[0].Replica
	iis.True(rep.ShouldQueryLatency())
	iis.True(!rep.ShouldQueryLatency()) // It has just been asked.
	iis.Equal(pace(), 1.0)
	rep.SetReportedLatencyRatio(4)
	iis.Equal(pace(), 4.0)
	man.Advance(5 * time.Second)
	iis.Equal(pace(), 1.0) // It may have recovered.
	iis.True(rep.ShouldQueryLatency())
}
