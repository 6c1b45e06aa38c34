package fleet_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tarragonwheel/tarragonwheel/fleet"
)

// registerIn registers a number of replicas in a data centre.
func registerIn(flt *fleet.Fleet, dataCentre string, count int) {
	for num := range count {
		reg := registration(fmt.Sprint(dataCentre, "-", num), 1, 1)
		reg.DataCentre = dataCentre
		flt.UpdateRegistration(reg)
	}
}

// countIn returns the number of views in a data centre.
func countIn(views []fleet.View, dataCentre string) int {
	num := 0
	for idx := range views {
		if views[idx].DataCentre == dataCentre {
			num++
		}
	}
	return num
}

// TestEvacuatedReplicasAreNotPlacedOn guards against calls that are placed in an evacuated data centre, as its own cell
// or that of others, in the sample of other cells or at the last resort, also by replicas that register meanwhile.
func TestEvacuatedReplicasAreNotPlacedOn(t *testing.T) {
	iis := is.New(t)
	flt, _, _ := newFleet()
	registerIn(flt, "a", 30)
	flt.SetEvacuated([]string{"a"})
	registerIn(flt, "b", 30)
	registerIn(flt, "c", 2)
	set := flt.ReplicaSet("s")
	for _, views := range [][]fleet.View{
		set.Views(), set.WiderViews("a", nil), set.WiderViews("b", nil), set.WiderViews("c", nil),
		set.LastResortViews(fleet.Evidence{ArrivedAt: fleetStart, DrainTime: drainTime}, nil),
	} {
		iis.Equal(countIn(views, "a"), 0)
		iis.True(len(views) > 0)
	}
	list, hasMore := set.CellViews("a", nil)
	iis.Equal(len(list), 0)
	iis.True(hasMore) // The call is placed elsewhere.
	flt.SetEvacuated([]string{"b"})
	iis.Equal(countIn(set.Views(), "a"), 30)
	iis.Equal(countIn(set.Views(), "b"), 0)
	other := registration("i-1", 1, 1)
	other.Service, other.DataCentre = "t", "b"
	flt.UpdateRegistration(other)
	iis.Equal(len(flt.ReplicaSet("t").Views()), 0) // The service was not known before.
}

// TestShortageCountsEvacuated guards against a refusal with a wrong reason, or none, if no replica is left outside of
// the evacuated data centres.
func TestShortageCountsEvacuated(t *testing.T) {
	iis := is.New(t)
	flt, _, _ := newFleet()
	registerIn(flt, "a", 3)
	flt.SetEvacuated([]string{"a"})
	sho, isShort := flt.ReplicaSet("s").Shortage(nil)
	iis.True(isShort)
	iis.Equal(sho.Evacuated, 3)
	_, known := sho.CapacityReturnsIn(time.Minute, 0)
	iis.True(!known) // The operator decides.
	registerIn(flt, "b", 1)
	_, isShort = flt.ReplicaSet("s").Shortage(nil)
	iis.True(!isShort)
	flt.ReplicaSet("s").Views()[0].Replica.RecordPause(time.Second)
	sho, isShort = flt.ReplicaSet("s").Shortage(nil)
	iis.True(isShort)
	iis.Equal(sho.Evacuated, 3)
	iis.Equal(len(sho.Pauses), 1)
}

// TestEvacuatedReplicaIsQueriedForItsCallsOnly guards against queries for reports that reach an evacuated data centre
// without a call in flight there.
func TestEvacuatedReplicaIsQueriedForItsCallsOnly(t *testing.T) {
	iis := is.New(t)
	flt, _, _ := newFleet()
	flt.UpdateRegistration(registration("i-1", 1, 1))
	rep := onlyReplica(t, flt)
	iis.True(rep.TakesQueries())
	tsk := rep.StartTask(fleet.Task{}, func(fleet.TaskChange) {})
	flt.SetEvacuated([]string{"z"})
	iis.True(rep.Evacuated() && rep.TakesQueries())
	tsk.End()
	iis.True(!rep.TakesQueries())
}

// BenchmarkCellViews measures what a call costs in a cell of the target's size, of which a data centre is evacuated or
// none.
func BenchmarkCellViews(b *testing.B) {
	for name, evacuated := range map[string][]string{"none": nil, "another": {"b"}, "own": {"a"}} {
		b.Run(name, func(b *testing.B) {
			flt, _, _ := newFleet()
			registerIn(flt, "a", 1714)
			registerIn(flt, "b", 1714)
			flt.SetEvacuated(evacuated)
			set := flt.ReplicaSet("s")
			for b.Loop() {
				set.CellViews("a", nil)
			}
		})
	}
}
