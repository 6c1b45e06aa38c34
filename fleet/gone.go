package fleet

import "time"

const (
	// goneKeptFor is the time for which a replica that has gone is remembered. It is longer than the age of a copy from
	// which the store may be restored.
	goneKeptFor = 2 * time.Minute
	// maxGone is the number of replicas that are remembered at most.
	maxGone = 4096
)

// goneReplicas holds the last registrations of replicas that have been removed, by ID, so that an older record does not
// bring one back into use.
type goneReplicas map[string]goneReplica

type goneReplica struct {
	last Registration
	at   time.Time // of the removal
	// unregistered is false if the registration was merely missing after an outage or a restore of the store, so that
	// the replica may write the same one again.
	unregistered bool
}

// add remembers a replica that is removed.
func (gon goneReplicas) add(last Registration, unregistered bool, now time.Time) {
	gon[last.ID] = goneReplica{last: last, at: now, unregistered: unregistered}
	if len(gon) <= maxGone {
		return
	}
	oldest := last.ID
	for id, one := range gon {
		if one.at.Before(gon[oldest].at) {
			oldest = id
		}
	}
	delete(gon, oldest)
}

// removeStale forgets the replicas that were removed long ago.
func (gon goneReplicas) removeStale(now time.Time) {
	for id, one := range gon {
		if now.Sub(one.at) >= goneKeptFor {
			delete(gon, id)
		}
	}
}

// admit returns whether a registration may bring its replica into use: it must not be older than the last one before
// the replica was removed. A replica that had begun to drain keeps draining in the same incarnation.
func (gon goneReplicas) admit(reg *Registration) bool {
	one, known := gon[reg.ID]
	if !known {
		return true
	}
	isSame := reg.StartedAtMs == one.last.StartedAtMs && reg.Sequence == one.last.Sequence
	if !reg.Newer(&one.last) || isSame && one.unregistered {
		return false
	}
	if reg.StartedAtMs == one.last.StartedAtMs {
		reg.Draining = reg.Draining || one.last.Draining
	}
	delete(gon, reg.ID)
	return true
}
