package soak

import (
	"strings"
	"time"
)

const (
	// evacuationTime is the time within which fronts must stop to send calls to an evacuated data centre.
	evacuationTime = 5 * time.Second
	// Bounds of the time for which a data centre is evacuated. It is longer than evacuationTime, and may go on over
	// several phases.
	minEvacuated = 7 * time.Second
	maxEvacuated = 14 * time.Second
)

// dataCentres are those of the replicas. Each service has one replica in each.
var dataCentres = []string{"y", "z"}

// dataCentreOf returns the data centre of a replica, which its ID ends with.
func dataCentreOf(replica string) string { return replica[strings.LastIndexByte(replica, '-')+1:] }

// evacuation is the time for which a data centre was evacuated.
type evacuation struct {
	dataCentre string
	interval
}

// evacuate takes a random data centre out of service and returns it later. The other one stays in service meanwhile.
func (sok *Soak) evacuate() {
	if !sok.evacuating.CompareAndSwap(false, true) {
		return
	}
	name := dataCentres[sok.rnd.IntN(len(dataCentres))]
	dur := minEvacuated + time.Duration(sok.rnd.Int64N(int64(maxEvacuated-minEvacuated)))
	sok.store.PutEvacuation(name)
	sok.chk.mu.Lock()
	sok.chk.evacuations = append(sok.chk.evacuations,
		evacuation{dataCentre: name, interval: interval{from: time.Now(), until: time.Now().Add(dur)}})
	sok.chk.mu.Unlock()
	time.AfterFunc(dur, func() {
		sok.store.RemoveEvacuation(name)
		sok.evacuating.Store(false)
	})
}

// awaitReturn waits until no data centre is evacuated.
func (sok *Soak) awaitReturn() {
	for sok.evacuating.Load() {
		time.Sleep(slack)
	}
}

// verifyEvacuations checks that no call reached a replica in an evacuated data centre later than evacuationTime after
// the record. Faults do not excuse one, but fronts may have no connection to the store while the record is written in a
// fault phase, and a front that starts between a restore and the next write of the record knows nothing of it. The
// caller holds mu.
func (chk *checker) verifyEvacuations() {
	for _, evc := range chk.evacuations {
		limit := evc.from.Add(evacuationTime + slack)
		for _, flt := range chk.faults {
			if flt.from.Before(limit) && evc.from.Before(flt.until) && flt.until.Add(settleTime).After(limit) {
				limit = flt.until.Add(settleTime)
			}
		}
		for _, arv := range chk.arrivals {
			if dataCentreOf(arv.Replica) != evc.dataCentre || arv.At.Before(evc.from) || arv.At.After(evc.until) {
				continue
			}
			chk.recordCheck(invariantEvacuated, arv.At.Before(limit) || chk.inRestoreGap(arv.At),
				"%s got %s %v after its data centre was evacuated", arv.Replica, arv.Call, arv.At.Sub(evc.from))
		}
		if evc.until.After(limit) {
			chk.recordCheck(invariantEvacuated, true, "")
		}
	}
}

// inRestoreGap reports whether records may have been missing from a restored store at a time. The caller holds mu.
func (chk *checker) inRestoreGap(at time.Time) bool {
	for _, gap := range chk.restoreGaps {
		if at.After(gap.from) && at.Before(gap.until.Add(slack)) {
			return true
		}
	}
	return false
}
