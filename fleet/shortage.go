package fleet

import (
	"slices"
	"time"
)

// Shortage describes why no replica of a service takes calls.
type Shortage struct {
	Evacuated int             // replicas in evacuated data centres
	Leaving   int             // other replicas that have said that they leave
	NoticeAge time.Duration   // since the first of the notices that count
	Pauses    []time.Duration // remaining pauses of the other replicas
	WarmingUp []time.Duration // until the slow starts of the rest allow the next call of this process
}

// Shortage returns why no replica of the service in allowed data centres takes calls. It returns false if one does, or
// if there is none.
func (set *ReplicaSet) Shortage(allowed DataCentres) (Shortage, bool) {
	set.mu.Lock()
	defer set.mu.Unlock()
	var sho Shortage
	now := set.clock.Now()
	for _, rep := range set.replicas {
		ntc := rep.notices
		switch {
		case rep.reg.Draining || !allowed.has(rep.reg.DataCentre):
		case rep.takesCalls(now):
			return Shortage{}, false
		case rep.evacuatedLocked():
			sho.Evacuated++
		case ntc.leaving():
			sho.Leaving++
			sho.NoticeAge = max(sho.NoticeAge, now.Sub(earliest(ntc.leavingAt, ntc.peerAt)))
		case !ntc.paused(now):
			sho.WarmingUp = append(sho.WarmingUp, max(ntc.slowStart.NextIn(now, set.pace.fronts()), minWarmUpWait))
		default:
			sho.Pauses = append(sho.Pauses, ntc.pausedUntil.Sub(now))
			sho.NoticeAge = max(sho.NoticeAge, now.Sub(ntc.pausedAt))
		}
	}
	return sho, sho.Evacuated+sho.Leaving+len(sho.Pauses)+len(sho.WarmingUp) > 0
}

// earliest returns the earlier of two times, of which one may be zero for none.
func earliest(one, two time.Time) time.Time {
	if one.IsZero() || (!two.IsZero() && two.Before(one)) {
		return two
	}
	return one
}

// minWarmUpWait is the shortest time until a slow start allows the next call. That of a replica that waits for
// responses is not known.
const minWarmUpWait = 5 * time.Millisecond

// NextWarmUpCall returns the time until the slow start of a replica allows the next call of this process. It returns
// false if no replica takes calls for other reasons than a slow start.
func (sho *Shortage) NextWarmUpCall() (time.Duration, bool) {
	if len(sho.WarmingUp) == 0 {
		return 0, false
	}
	return slices.Min(sho.WarmingUp), true
}

// CapacityReturnsIn returns when a caller that waits for the given time at most should come again. That is when the
// pause of a replica ends, or its slow start allows a call, that is chosen with a random number in [0, 1), so that
// callers return as the replicas do. It returns false if no such time is known.
func (sho *Shortage) CapacityReturnsIn(limit time.Duration, rnd float64) (time.Duration, bool) {
	var list []time.Duration
	var first time.Duration
	waits := slices.Concat(sho.Pauses, sho.WarmingUp)
	for _, pause := range waits {
		first = leastPositive(first, pause)
		if pause <= limit {
			list = append(list, pause)
		}
	}
	switch {
	case len(waits) == 0:
		return 0, false
	case len(list) == 0:
		return first, true
	}
	return list[int(rnd*float64(len(list)))], true
}
