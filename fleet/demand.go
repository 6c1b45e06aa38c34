package fleet

import (
	"math"
	"time"
)

// LongPrefill is the prefill time from which a prompt counts as long: its prefill noticeably delays streams on the same
// engine.
const LongPrefill = 120 * time.Millisecond

// demandHalfLife is the half-life of past demand. Mixes of short and long prompts change within seconds.
const demandHalfLife = 2 * time.Second

// prefillDemand estimates the prefill time of long prompts and parts of split prompts that arrives per second.
type prefillDemand struct {
	prefillSeconds float64 // past prefill time in seconds, decayed
	updated        time.Time
}

func (dem *prefillDemand) decay(now time.Time) {
	if !dem.updated.IsZero() {
		dem.prefillSeconds *= math.Exp2(-float64(now.Sub(dem.updated)) / float64(demandHalfLife))
	}
	dem.updated = now
}

func (dem *prefillDemand) add(tsk *Task, now time.Time) {
	if tsk.Phase != Prefill || (tsk.PrefillTime < LongPrefill && !tsk.IsPart) {
		return
	}
	dem.decay(now)
	dem.prefillSeconds += tsk.PrefillTime.Seconds()
}

// rate returns the prefill time that arrives, in seconds per second.
func (dem *prefillDemand) rate(now time.Time) float64 {
	dem.decay(now)
	return dem.prefillSeconds * math.Ln2 / demandHalfLife.Seconds()
}

// addDemand counts a task that starts at a replica. The caller holds the lock.
func (set *ReplicaSet) addDemand(rep *Replica, tsk *Task, now time.Time) {
	dem := set.demand[rep.reg.DataCentre]
	if dem == nil {
		dem = &prefillDemand{}
		set.demand[rep.reg.DataCentre] = dem
	}
	dem.add(tsk, now)
}
