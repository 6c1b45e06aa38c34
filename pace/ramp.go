package pace

import "time"

const (
	// rampDivisor gives the calls that may be in flight at first, from the calls in a second: those of a quarter of a
	// second, in which a replica has usually answered the first ones.
	rampDivisor = 4
	// rampGrowth is the factor by which a call that was answered on time beside others raises the limit. Doubling
	// reaches the slots of a replica within a few response times. One call for each response would take seconds, since
	// each front sees only the responses to its own calls.
	rampGrowth = 2
	// rampInterval is the time without a late response after which the limit doubles by itself. A front that has no
	// call in flight there learns nothing, since those of the others take all of its limit.
	rampInterval = time.Second
	maxRampSteps = 16 // so that the limit does not overflow
)

// A first event is on time if it comes later than predicted by lateShare of the predicted time at most, or by minLate.
const (
	lateShare = 0.5
	minLate   = 300 * time.Millisecond
)

// IsOnTime reports whether a first event that was predicted after some time is on time.
func IsOnTime(took, predicted time.Duration) bool {
	return took <= predicted+max(time.Duration(lateShare*float64(predicted)), minLate)
}

// ramp limits the calls that are in flight at a replica, those of all fronts together.
type ramp struct {
	limit     int
	loweredAt time.Time // zero if the limit was not lowered
	changedAt time.Time // from when on it doubles by itself
}

// newRamp returns the ramp of a replica that is cold until the given time.
func newRamp(wrm WarmUp, coldUntil time.Time) ramp {
	return ramp{limit: max(wrm.calls()/rampDivisor, 1), changedAt: coldUntil}
}

// limitAt returns the limit at the given time.
func (rmp *ramp) limitAt(now time.Time) int {
	steps := int(max(now.Sub(rmp.changedAt), 0) / rampInterval)
	return rmp.limit << min(steps, maxRampSteps)
}

// hasRoom reports whether another call may be sent beside those in flight.
func (rmp *ramp) hasRoom(now time.Time, calls int) bool { return calls < rmp.limitAt(now) }

// raise records that a call was answered on time beside others. The number includes the call.
func (rmp *ramp) raise(now time.Time, calls int) {
	if limit := rampGrowth * calls; limit > rmp.limitAt(now) {
		rmp.limit = limit
		rmp.changedAt = latest(rmp.changedAt, now)
	}
}

// lower records that a call was late or failed that was sent beside others. One that was sent before the limit was last
// lowered says nothing of the new limit. It returns whether the limit was lowered.
func (rmp *ramp) lower(now, sentAt time.Time, calls int) bool {
	if sentAt.Before(rmp.loweredAt) {
		return false
	}
	rmp.limit = max(min(rmp.limitAt(now), calls)/rampGrowth, 1)
	rmp.loweredAt, rmp.changedAt = now, latest(rmp.changedAt, now)
	return true
}

func latest(one, two time.Time) time.Time {
	if two.After(one) {
		return two
	}
	return one
}
