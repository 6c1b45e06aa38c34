package front

import (
	"github.com/tarragonwheel/tarragonwheel/evac"
	"github.com/tarragonwheel/tarragonwheel/follow"
	"github.com/tarragonwheel/tarragonwheel/platform"
)

// applyOperatorRecords applies a listing of the operator's topic. The evacuated data centres come first: with a
// configuration the front begins to serve.
func (frt *Front) applyOperatorRecords(list []follow.Record, at follow.Position) {
	var evacuated []string
	for _, rec := range list {
		if name, ok := platform.EvacuatedDataCentre(rec.Key); ok && rec.Value != nil {
			evacuated = append(evacuated, name)
		}
	}
	frt.evacuations.List(evacuated, at)
	for _, rec := range list {
		frt.applyConfigRecord(rec)
	}
}

// applyOperatorRecord applies a record of the operator that was read after the listing.
func (frt *Front) applyOperatorRecord(rec follow.Record) {
	if name, ok := platform.EvacuatedDataCentre(rec.Key); ok {
		frt.evacuations.Record(name, rec.Value != nil)
		return
	}
	frt.applyConfigRecord(rec)
}

// setEvacuated takes data centres out of service and returns others, and tells the peers if it was read in the store.
// The peers of one that has told this front get its state from there as well.
func (frt *Front) setEvacuated(chg evac.Change) {
	frt.fleet.SetEvacuated(chg.InForce)
	for range chg.Evacuated {
		frt.metrics.CountEvent("data-centre-evacuated")
	}
	for _, name := range chg.Returned {
		frt.fleet.MarkCold(name) // Its replicas may have been restarted meanwhile.
		frt.metrics.CountEvent("data-centre-returned")
	}
	if chg.FromStore && frt.peers != nil {
		frt.peers.QueueEvacuations()
	}
}
