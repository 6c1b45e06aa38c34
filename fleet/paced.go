package fleet

import (
	"time"

	"github.com/tarragonwheel/tarragonwheel/pace"
)

// slowStartAllowsCall reports whether the replica's slow start allows another call now. The caller holds the lock.
func (rep *Replica) slowStartAllowsCall(now time.Time) bool {
	slo := rep.notices.slowStart
	if slo == nil {
		return true
	}
	if !slo.MayTake(now, rep.set.pace.fronts()) {
		return false
	}
	return !slo.LimitsCalls(now) || slo.HasRoom(now, rep.callsInFlight(now))
}

// callsInFlight returns the number of tasks of all processes at the replica. The caller holds the lock.
func (rep *Replica) callsInFlight(now time.Time) int {
	rep.removeStaleTasks(now)
	calls := rep.numTasks()
	if rep.summary.fresh(now) { // It is in another cell, whose tasks are not known one by one.
		calls = max(calls, rep.summary.Calls)
	}
	return calls
}

// numTasks returns the number of known tasks at the replica. The caller holds the lock.
func (rep *Replica) numTasks() int {
	num := len(rep.localTasks)
	for _, tasks := range rep.remoteTasks {
		num += len(tasks)
	}
	return num
}

// TakeCall is called right before a call is sent, whose task has been started. It returns false if the replica is in a
// slow start that allows no call now. Otherwise the call counts, and TakeCall returns the number of calls in flight at
// the replica, including this one, or 0 if it is in no slow start.
func (rep *Replica) TakeCall() (calls int, ok bool) {
	rep.set.mu.Lock()
	defer rep.set.mu.Unlock()
	slo, now := rep.notices.slowStart, rep.set.clock.Now()
	if slo == nil {
		return 0, true
	}
	calls = rep.callsInFlight(now)
	if !slo.MayTake(now, rep.set.pace.fronts()) ||
		(slo.LimitsCalls(now) && !slo.HasRoom(now, calls-1)) { // Its own task is one of them.
		rep.set.pace.count("slow-start-call-denied")
		return 0, false
	}
	slo.Take(now)
	return calls, true
}

// Sent is a call that was sent to a replica, as its slow start takes it into account.
type Sent struct {
	At    time.Time
	Calls int // in flight at the replica then, including this one; 0 for one in no slow start
}

// RecordFirstEvent records that a call had its first event or its response, and whether that was on time.
func (rep *Replica) RecordFirstEvent(snt Sent, onTime bool) {
	rep.set.mu.Lock()
	defer rep.set.mu.Unlock()
	slo, now := rep.notices.slowStart, rep.set.clock.Now()
	if slo == nil {
		return
	}
	rep.recordResponds(now)
	if snt.Calls > 0 { // Otherwise it was sent before the slow start began.
		rep.recordPace(now, snt, onTime)
	}
}

// recordPeerFirstEvent records that a call of another process has had its first event. The caller holds the lock.
func (rep *Replica) recordPeerFirstEvent(tsk *Task, now time.Time) {
	if rep.notices.slowStart == nil || tsk.ExpectedAt.IsZero() || tsk.IsPart {
		return
	}
	onTime := pace.IsOnTime(now.Sub(tsk.StartedAt), tsk.ExpectedAt.Sub(tsk.StartedAt))
	rep.recordPace(now, Sent{At: tsk.StartedAt, Calls: rep.callsInFlight(now)}, onTime)
}

// recordPace raises or lowers the limit of a slow start, and ends it if the replica takes as many calls as any other.
// The caller holds the lock.
func (rep *Replica) recordPace(now time.Time, snt Sent, onTime bool) {
	slo := rep.notices.slowStart
	if !onTime {
		rep.lowerLimit(now, snt)
		return
	}
	slo.OnTime(now, snt.Calls)
	if slo.Limit(now) < rep.reg.Slots {
		return
	}
	if busiest := rep.set.busiestTasks(now); slo.Over(now, rep.reg.Slots, busiest) {
		rep.notices.slowStart = nil
		rep.set.pace.count("slow-start-over")
		rep.set.log.Info("fleet: slow start of a replica is over", "replica", rep.reg.ID, "limit", slo.Limit(now),
			"slots", rep.reg.Slots, "busiest", busiest)
	}
}

// busiestInterval is the time for which the number of tasks at the busiest replica is kept. In a large cell, to find it
// takes as long as a placement, and first events come much more often.
const busiestInterval = 250 * time.Millisecond

// busiestTasks returns the number of tasks at the busiest replica, as of up to busiestInterval ago. The caller holds
// the lock.
func (set *ReplicaSet) busiestTasks(now time.Time) int {
	if now.Sub(set.busiestAt) >= busiestInterval {
		set.busiest, set.busiestAt = 0, now
		for _, rep := range set.replicas {
			set.busiest = max(set.busiest, rep.numTasks())
		}
	}
	return set.busiest
}

// RecordLateOrFailed records that a call was late, refused or failed, which lowers the limit of a slow start.
func (rep *Replica) RecordLateOrFailed(snt Sent) {
	rep.set.mu.Lock()
	defer rep.set.mu.Unlock()
	if rep.notices.slowStart != nil && snt.Calls > 0 {
		rep.lowerLimit(rep.set.clock.Now(), snt)
	}
}

// lowerLimit lowers the calls that may be in flight. The caller holds the lock.
func (rep *Replica) lowerLimit(now time.Time, snt Sent) {
	if slo := rep.notices.slowStart; slo.Late(now, snt.At, snt.Calls) {
		rep.set.pace.count("slow-start-lowered")
		rep.set.log.Info("fleet: replica in slow start was late or failed", "replica", rep.reg.ID,
			"calls", snt.Calls, "sent-ago", now.Sub(snt.At), "limit", slo.Limit(now))
	}
}

// RecordNoConnection records that no connection could be made to the replica. It may have ended, and be cold when it
// responds again.
func (rep *Replica) RecordNoConnection() {
	rep.RecordUnreachable()
	rep.set.mu.Lock()
	defer rep.set.mu.Unlock()
	rep.markFailing()
}

// failingCalls is the number of calls that fail one after another from which a replica counts as failing altogether.
// One that loses a part of its responses rarely does.
const failingCalls = 4

// markFailing records that the replica does not respond, or that calls there fail. The caller holds the lock.
func (rep *Replica) markFailing() {
	set, now := rep.set, rep.set.clock.Now()
	if !set.warmUp.Applies() {
		return
	}
	if slo := rep.beginSlowStart(now); slo.MarkFailing(now) {
		set.pace.count("replica-failing")
		set.log.Info("fleet: replica does not respond, its next calls are limited", "replica", rep.reg.ID,
			"quota", slo.Quota(set.pace.fronts()))
	}
}

// recordResponds records that the replica has answered a call. The caller holds the lock.
func (rep *Replica) recordResponds(now time.Time) {
	if slo := rep.notices.slowStart; slo != nil && slo.Responds(now) {
		rep.set.pace.count("replica-responds-again")
		rep.set.log.Info("fleet: replica responds again, it may be cold", "replica", rep.reg.ID,
			"for", slo.ColdLeft(now))
	}
}

// AboveLimit reports whether a cold replica has got more calls of all fronts within the last second than it can handle,
// so that it may have ended because of that.
func (rep *Replica) AboveLimit() bool {
	rep.set.mu.Lock()
	defer rep.set.mu.Unlock()
	slo, now := rep.notices.slowStart, rep.set.clock.Now()
	if slo == nil {
		return false
	}
	others := 0
	for _, tasks := range rep.remoteTasks {
		for _, tsk := range tasks {
			if now.Sub(tsk.StartedAt) < time.Second {
				others++
			}
		}
	}
	return slo.AboveLimit(now, others)
}
