package fleet

import (
	"time"

	"github.com/tarragonwheel/tarragonwheel/pace"
)

// notices holds what an incarnation of a replica has said of its state in its responses. The lock of the replica's set
// guards it.
type notices struct {
	leavingAt   time.Time       // when a response to this process first said that it leaves; zero if none has
	peerAt      time.Time       // when a response to another process said so; zero if none is known
	pausedAt    time.Time       // when the response came that set pausedUntil
	pausedUntil time.Time       // until then it wants no calls of this process
	slowStart   *pace.SlowStart // nil if it is in none
}

// takesCalls tells whether the replica wants new calls, as far as it has said.
func (ntc *notices) takesCalls(now time.Time) bool { return !ntc.leaving() && !ntc.paused(now) }

func (ntc *notices) leaving() bool { return !ntc.leavingAt.IsZero() || !ntc.peerAt.IsZero() }

func (ntc *notices) paused(now time.Time) bool { return now.Before(ntc.pausedUntil) }

// RecordLeaving records that a response of the replica said that it leaves. It returns whether this is new, and whether
// peers do not know it either.
func (rep *Replica) RecordLeaving() (isNew, isNewToPeers bool) {
	rep.set.mu.Lock()
	defer rep.set.mu.Unlock()
	ntc := rep.notices
	isNew = ntc.leavingAt.IsZero()
	if isNew {
		ntc.leavingAt = rep.set.clock.Now()
	}
	return isNew, isNew && ntc.peerAt.IsZero()
}

// RecordPause records that the replica wants no calls of this process for the given time. Nothing ends a pause sooner,
// neither a shorter one nor a later success. RecordPause returns whether the pause has become longer.
func (rep *Replica) RecordPause(pause time.Duration) bool {
	rep.set.mu.Lock()
	defer rep.set.mu.Unlock()
	ntc, now := rep.notices, rep.set.clock.Now()
	until := now.Add(pause)
	if !until.After(ntc.pausedUntil) {
		return false
	}
	ntc.pausedAt, ntc.pausedUntil = now, until
	return true
}

// Paused tells whether the replica has asked for a pause that is not over.
func (rep *Replica) Paused() bool {
	rep.set.mu.Lock()
	defer rep.set.mu.Unlock()
	return rep.notices.paused(rep.set.clock.Now())
}

// Evidence bounds when a replica that has said that it leaves may still get a call.
type Evidence struct {
	// ArrivedAt is when the call arrived from its client.
	ArrivedAt time.Time
	// DrainTime is the time within which calls must stop to arrive for a replica that leaves.
	DrainTime time.Duration
	// RegistrationsAge is how old the known registrations may be.
	RegistrationsAge time.Duration
}

// doubtDrainTimes is the number of drain times after which a replica that is still registered as ready is not about to
// leave, whatever it says.
const doubtDrainTimes = 5

// mayServe tells whether a replica that has said that it leaves may serve a call that no other replica takes: one that
// arrived within the drain time, or any call if nothing but the word of peers or a word that has proved false speaks
// against it.
func (ntc *notices) mayServe(evi Evidence, now time.Time) bool {
	switch {
	case ntc.paused(now):
		return false
	case ntc.leavingAt.IsZero():
		return true
	case evi.ArrivedAt.Before(ntc.leavingAt.Add(evi.DrainTime)):
		return true
	}
	return now.Sub(ntc.leavingAt) > doubtDrainTimes*evi.DrainTime && evi.RegistrationsAge < evi.DrainTime
}

// LastResortViews returns a view of each replica of the service in allowed data centres that may serve a call that
// would be refused otherwise, although the replica has said that it leaves.
func (set *ReplicaSet) LastResortViews(evi Evidence, allowed DataCentres) []View {
	now := set.clock.Now()
	return set.viewsIf(func(_ string, rep *Replica) bool {
		return allowed.has(rep.reg.DataCentre) && !rep.evacuatedLocked() && rep.notices.mayServe(evi, now) &&
			rep.slowStartAllowsCall(now)
	})
}
