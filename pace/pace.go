package pace

import "time"

// maxColdTime bounds what a replica states of its own cold time.
const maxColdTime = time.Minute

// ColdTolerance is how much longer a cold time must become to count as a new one. Statements of the same cold time
// differ by the time that they were on their way.
const ColdTolerance = 500 * time.Millisecond

// SlowStart is the slow start of one replica as one front sees it.
type SlowStart struct {
	warmUp    WarmUp
	replica   uint64 // hash of its ID
	coldUntil time.Time
	// failing is set while the replica does not respond. It may be cold when it responds again.
	failing      bool
	failingUntil time.Time // until then it may have responded to others; a front without a quota cannot find out
	window       window
	ramp         ramp
	fronts       *Fronts // for which the quota holds
	quota        int
}

// NewSlowStart returns the slow start of a replica, which is not cold yet.
func NewSlowStart(wrm WarmUp, replica uint64, now time.Time) *SlowStart {
	return &SlowStart{warmUp: wrm, replica: replica, ramp: newRamp(wrm, now)}
}

// Cold reports whether the rate of calls to the replica is limited.
func (slo *SlowStart) Cold(now time.Time) bool {
	return now.Before(slo.coldUntil) || now.Before(slo.failingUntil)
}

// ColdLeft returns the rest of the cold time, as far as it is known.
func (slo *SlowStart) ColdLeft(now time.Time) time.Duration { return max(slo.coldUntil.Sub(now), 0) }

// MarkCold records that the replica is cold for some time from now on. Nothing makes a cold time shorter. A new one
// starts the ramp again. It returns whether the cold time is a new one.
func (slo *SlowStart) MarkCold(now time.Time, left time.Duration) bool {
	before := slo.ColdLeft(now)
	until := now.Add(min(left, maxColdTime))
	if !until.After(slo.coldUntil) {
		return false
	}
	slo.coldUntil = until
	if left <= before+ColdTolerance {
		return false
	}
	slo.ramp = newRamp(slo.warmUp, until)
	return true
}

// MarkFailing records that the replica does not respond now. The rate of calls is limited for as long as it would be
// cold if it responded to other fronts from now on. MarkFailing returns whether the replica has responded before.
func (slo *SlowStart) MarkFailing(now time.Time) bool {
	isNew := !slo.failing
	slo.failing, slo.failingUntil = true, now.Add(slo.warmUp.Time)
	return isNew
}

// Responds records that the replica responds. If it did not before, it counts as just started. It returns whether that
// is so.
func (slo *SlowStart) Responds(now time.Time) bool {
	if !slo.failing {
		return false
	}
	slo.failing, slo.failingUntil = false, time.Time{}
	slo.MarkCold(now, slo.warmUp.Time)
	return true
}

// Quota returns the calls that this front may send to the replica in a second.
func (slo *SlowStart) Quota(frs *Fronts) int {
	if slo.fronts != frs {
		slo.fronts, slo.quota = frs, frs.Quota(slo.replica, slo.warmUp.calls())
	}
	return slo.quota
}

// MayTake reports whether the quota of this front allows another call now.
func (slo *SlowStart) MayTake(now time.Time, frs *Fronts) bool {
	return !slo.Cold(now) || slo.window.count(now) < slo.Quota(frs)
}

// LimitsCalls reports whether HasRoom decides about another call. While the replica is cold, the quotas suffice unless
// a response was late.
func (slo *SlowStart) LimitsCalls(now time.Time) bool {
	return !slo.Cold(now) || !slo.ramp.loweredAt.IsZero()
}

// HasRoom reports whether another call may be sent beside those that are in flight there from all fronts.
func (slo *SlowStart) HasRoom(now time.Time, calls int) bool { return slo.ramp.hasRoom(now, calls) }

// Take records that a call is sent now. Calls are also counted when the replica is not cold, since it may become cold
// within a second.
func (slo *SlowStart) Take(now time.Time) {
	slo.window.count(now) // Removes the old ones.
	slo.window.add(now)
}

// NextIn returns the time until the quota of this front allows another call, or until the cold time ends.
func (slo *SlowStart) NextIn(now time.Time, frs *Fronts) time.Duration {
	if !slo.Cold(now) {
		return 0
	}
	left := max(slo.ColdLeft(now), slo.failingUntil.Sub(now))
	if quota := slo.Quota(frs); quota > 0 {
		return min(slo.window.freeIn(now, quota), left)
	}
	return left
}

// AboveLimit reports whether a cold replica has got more calls within the last second than it can handle: those of this
// front and the given number of others.
func (slo *SlowStart) AboveLimit(now time.Time, others int) bool {
	return slo.Cold(now) && float64(slo.window.count(now)+others) > slo.warmUp.PerSecond
}

// OnTime records that a call of any front had its first event on time that was sent beside others. The number includes
// the call.
func (slo *SlowStart) OnTime(now time.Time, calls int) { slo.ramp.raise(now, calls) }

// Late records that a call of any front was late, refused or failed. It returns whether the limit of calls in flight
// was lowered.
func (slo *SlowStart) Late(now, sentAt time.Time, calls int) bool {
	return slo.ramp.lower(now, sentAt, calls)
}

// Limit returns the calls that may be in flight, as far as the responses to this front show.
func (slo *SlowStart) Limit(now time.Time) int { return slo.ramp.limitAt(now) }

// Over reports whether the replica takes as many calls as any other: as many as it has slots, and as are in flight at
// the busiest one.
func (slo *SlowStart) Over(now time.Time, slots, busiest int) bool {
	return !slo.Cold(now) && slo.ramp.limitAt(now) >= max(slots, busiest)
}
