package fleet

import (
	"math"
	"time"
)

// LongPrefill is the prefill time from which a prompt counts as long: its prefill delays streams on the same engine
// noticeably.
const LongPrefill = 120 * time.Millisecond

// demandHalfLife is how fast past demand is forgotten. Mixes of short and long prompts change within seconds.
const demandHalfLife = 2 * time.Second

// demand measures the reading time of long prompts that arrives in a second.
type demand struct {
	reading float64 // seconds of reading, decayed
	updated time.Time
}

func (dem *demand) decay(now time.Time) {
	if !dem.updated.IsZero() {
		dem.reading *= math.Exp2(-float64(now.Sub(dem.updated)) / float64(demandHalfLife))
	}
	dem.updated = now
}

func (dem *demand) add(wrk *Task, now time.Time) {
	if wrk.Phase != Prefill || (wrk.PrefillTime < LongPrefill && !wrk.IsPart) {
		return
	}
	dem.decay(now)
	dem.reading += wrk.PrefillTime.Seconds()
}

// rate returns the seconds of reading that arrive in a second.
func (dem *demand) rate(now time.Time) float64 {
	dem.decay(now)
	return dem.reading * math.Ln2 / demandHalfLife.Seconds()
}

// LongPrefillLoad returns the prefill time of long prompts that arrives for the service, in seconds per second.
func (grp *Group) LongPrefillLoad() float64 {
	grp.mu.Lock()
	defer grp.mu.Unlock()
	return grp.demand.rate(grp.clock.Now())
}
