package fleet_test

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tarragonwheel/tarragonwheel/fleet"
)

// TestViewsInAllowedDataCentres guards against views of replicas outside the allowed data centres, and against a sample
// of other cells that misses the few replicas in allowed ones.
func TestViewsInAllowedDataCentres(t *testing.T) {
	iis := is.New(t)
	flt, _, _ := newFleet()
	addReplicas(flt, "own", 30)
	addReplicas(flt, "other", 90)
	addReplicas(flt, "small", 2)
	flt.ApplySummaries(flt.Summaries("other")) // Now its replicas may be in the sample too.
	set := flt.ReplicaSet("s")
	allowed := fleet.DataCentres{"small": true}
	list, hasMore := set.CellViews("own", allowed)
	iis.Equal(len(list), 0)
	iis.True(hasMore)
	for range 20 {
		list = set.WiderViews("own", allowed)
		iis.Equal(len(list), 2)
		iis.Equal(list[0].DataCentre, "small")
	}
	list, hasMore = set.CellViews("own", fleet.DataCentres{"own": true})
	iis.Equal(len(list), 30)
	iis.True(!hasMore) // No replica elsewhere is allowed.
	iis.Equal(len(set.WiderViews("own", fleet.DataCentres{})), 0)
	inAllowed, all := set.CountIn(allowed)
	iis.Equal(inAllowed, 2)
	iis.Equal(all, 122)
}

// TestShortageInAllowedDataCentres guards against a replica elsewhere that hides that all allowed ones pause, and
// against a last resort outside the allowed data centres.
func TestShortageInAllowedDataCentres(t *testing.T) {
	iis := is.New(t)
	flt, _, _ := newFleet()
	addReplicas(flt, "own", 1)
	addReplicas(flt, "other", 1)
	set := flt.ReplicaSet("s")
	for _, vie := range set.Views() {
		if vie.DataCentre == "own" {
			vie.Replica.RecordLeaving()
		}
	}
	_, isShort := set.Shortage(nil)
	iis.True(!isShort)
	sho, isShort := set.Shortage(fleet.DataCentres{"own": true})
	iis.True(isShort)
	iis.Equal(sho.Leaving, 1)
	_, isShort = set.Shortage(fleet.DataCentres{"none": true})
	iis.True(!isShort)
	evi := fleet.Evidence{ArrivedAt: fleetStart, DrainTime: time.Hour, RegistrationsAge: math.MaxInt64}
	iis.Equal(len(set.LastResortViews(evi, nil)), 2)
	iis.Equal(len(set.LastResortViews(evi, fleet.DataCentres{"other": true})), 1)
	iis.Equal(len(set.LastResortViews(evi, fleet.DataCentres{"none": true})), 0)
}
