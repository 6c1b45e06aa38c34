package fleet_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tarragonwheel/tarragonwheel/fleet"
)

// addReplicas registers replicas of service s in a data centre.
func addReplicas(flt *fleet.Fleet, dataCentre string, num int) {
	for idx := range num {
		reg := registration(fmt.Sprint("i-", dataCentre, "-", idx), 1, 1)
		reg.DataCentre = dataCentre
		flt.UpdateRegistration(reg)
	}
}

// TestCellsOfLargeDataCentres guards against processes that each exchange the load of the whole of a large fleet, and
// against small data centres that are cut off from the replicas of others.
func TestCellsOfLargeDataCentres(t *testing.T) {
	iis := is.New(t)
	flt, _, _ := newFleet()
	addReplicas(flt, "large", 30)
	addReplicas(flt, "small", 10)
	addReplicas(flt, "tiny", 4)
	set := flt.ReplicaSet("s")
	list, hasMore := set.CellViews("large", nil)
	iis.Equal(len(list), 30)
	iis.True(hasMore)
	iis.Equal(list[0].Cell, "large")
	list, hasMore = set.CellViews("small", nil)
	iis.Equal(len(list), 14)
	iis.True(hasMore)
	iis.Equal(list[0].Cell, "")
	list, _ = set.CellViews("unknown", nil)
	iis.Equal(len(list), 14)
	iis.True(flt.IsCell("large"))
	iis.True(!flt.IsCell("small"))
	iis.Equal(len(set.Views()), 44)
}

// TestSummaryStandsForTasksElsewhere guards against calls that all cells place on the same replica elsewhere, because
// its load is known only there, and against counting a task twice that is known both by itself and in a summary.
func TestSummaryStandsForTasksElsewhere(t *testing.T) {
	iis := is.New(t)
	there, _, _ := newFleet()
	here, clk, _ := newFleet()
	for _, flt := range []*fleet.Fleet{there, here} {
		addReplicas(flt, "large", 30)
	}
	busy := there.ReplicaSet("s").Views()[0].Replica
	for range 3 {
		busy.StartTask(fleet.Task{
			Phase: fleet.Decode, KVTokens: 100, Value: 2, GapTarget: time.Second, PrefillTime: time.Millisecond,
		}, nil)
	}
	busy.StartTask(fleet.Task{KVTokens: 1000, Value: 5, PrefillTime: 2 * time.Second, IsPart: true}, nil)
	view := func() fleet.View { return here.ReplicaSet("s").Views()[0] }
	view().Replica.StartTask(fleet.Task{KVTokens: 7, PrefillTime: time.Millisecond}, nil)
	clk.Advance(time.Second)
	iis.Equal(len(there.Summaries("small")), 0)
	iis.Equal(len(there.Summaries("large")), 30)
	here.ApplySummaries(there.Summaries("large"))
	vie := view()
	iis.Equal(vie.Calls(), 3) // The task of this process is older than the summary, so it is part of it.
	iis.Equal(vie.ShortCalls(), 3)
	iis.Equal(vie.DecodeStreams, 3)
	iis.Equal(vie.KVTokens, 1300)
	iis.True(vie.PrefillBacklog > 0)
	iis.Equal(vie.Tasks[0].Value, 6.0) // What a further call there may delay.
	view().Replica.StartTask(fleet.Task{KVTokens: 7, PrefillTime: time.Millisecond}, nil)
	vie = view()
	iis.Equal(vie.Calls(), 4)
	iis.Equal(vie.KVTokens, 1307)
	clk.Advance(5 * time.Second) // The summary has timed out.
	vie = view()
	iis.Equal(vie.Calls(), 2)
}

// TestHeartbeatIsTold guards against sending other processes each sign of life of a replica, and against withholding a
// change.
func TestHeartbeatIsTold(t *testing.T) {
	iis := is.New(t)
	flt, _, _ := newFleet()
	iis.True(!flt.IsHeartbeat(registration("i-1", 1, 4)))
	flt.UpdateRegistration(registration("i-1", 1, 4))
	iis.True(flt.IsHeartbeat(registration("i-1", 1, 5)))
	iis.True(!flt.IsHeartbeat(registration("i-1", 2, 5)))
	reg := registration("i-1", 1, 5)
	reg.Draining = true
	iis.True(!flt.IsHeartbeat(reg))
	// After an outage, a sign of life may be the return of a replica whose registration had expired.
	flt.StoreOutageEnded()
	flt.Unregister("i-1")
	iis.True(!flt.IsHeartbeat(registration("i-1", 1, 5)))
}

// TestWiderViewsDiffer guards against all processes of a busy cell that choose the same few replicas elsewhere.
func TestWiderViewsDiffer(t *testing.T) {
	iis := is.New(t)
	flt, _, _ := newFleet()
	addReplicas(flt, "own", 30)
	addReplicas(flt, "other", 90)
	addReplicas(flt, "unheard", 90)
	flt.ApplySummaries(flt.Summaries("other"))
	elsewhere := make(map[string]int)
	for range 50 {
		own := 0
		for _, vie := range flt.ReplicaSet("s").WiderViews("own", nil) {
			if vie.Cell == "own" {
				own++
				continue
			}
			iis.Equal(vie.Cell, "other") // Nothing is known of the load of the others.
			elsewhere[vie.ID]++
		}
		iis.Equal(own, 30)
	}
	iis.True(len(elsewhere) > 80) // almost all at some time
	for _, times := range elsewhere {
		iis.True(times < 25) // none always
	}
}
