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
	// rampTimeout is the time without a change after which a ramp ends: the replica has got hardly any calls.
	rampTimeout = time.Minute
)

// ramp limits the calls that are in flight at a replica, those of all fronts together.
type ramp struct {
	limit     int
	loweredAt time.Time // zero if the limit was not lowered
	changedAt time.Time // when it was last set, raised or lowered
}

func newRamp(wrm WarmUp, now time.Time) ramp {
	return ramp{limit: max(wrm.calls()/rampDivisor, 1), changedAt: now}
}

// hasRoom reports whether another call may be sent beside those in flight, of which some have had their first event. If
// no response was late, these show what the replica takes, also if other fronts have sent them.
func (rmp *ramp) hasRoom(calls, answered int) bool {
	limit := rmp.limit
	if rmp.loweredAt.IsZero() {
		limit = max(limit, rampGrowth*answered)
	}
	return calls < limit
}

// raise records that a call was answered on time beside others. The number includes the call.
func (rmp *ramp) raise(now time.Time, calls int) {
	if limit := rampGrowth * calls; limit > rmp.limit {
		rmp.limit, rmp.changedAt = limit, now
	}
}

// lower records that a call was late or failed that was sent beside others. One that was sent before the limit was last
// lowered says nothing of the new limit. It returns whether the limit was lowered.
func (rmp *ramp) lower(now, sentAt time.Time, calls int) bool {
	if sentAt.Before(rmp.loweredAt) {
		return false
	}
	rmp.limit = max(min(rmp.limit, calls)/rampGrowth, 1)
	rmp.loweredAt, rmp.changedAt = now, now
	return true
}
