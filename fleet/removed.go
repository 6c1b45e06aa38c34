package fleet

import "time"

const (
	// removedKeptFor is the time for which the last registration of a removed replica is remembered. It is longer than
	// the age of a copy from which the store may be restored.
	removedKeptFor = 2 * time.Minute
	// noticesKeptFor is the time for which the notices of a removed replica are remembered.
	noticesKeptFor = 10 * time.Minute
	// maxRemoved is the number of replicas whose last registrations are remembered at most, and of incarnations whose
	// notices are.
	maxRemoved = 4096
)

// incarnation identifies one start of a replica of a service.
type incarnation struct {
	id, service, address string
	startedAtMs          int64
}

func incarnationOf(reg *Registration) incarnation {
	return incarnation{id: reg.ID, service: reg.Service, address: reg.Address, startedAtMs: reg.StartedAtMs}
}

// removedReplica is an incarnation of a replica that is not registered any more.
type removedReplica struct {
	last    Registration
	notices *notices
	at      time.Time // of the removal
	// unregistered is false if the registration was merely missing after an outage or a restore of the store, so that
	// the replica may write the same one again.
	unregistered bool
}

// removedReplicas holds the replicas that have been removed: the last incarnation of each ID, so that an older record
// does not bring it back into use, and the notices of each incarnation, since a registration may be lost and come back
// while the replica lives on.
type removedReplicas struct {
	lastByID      map[string]*removedReplica
	byIncarnation map[incarnation]*removedReplica
}

func newRemovedReplicas() removedReplicas {
	return removedReplicas{
		lastByID: make(map[string]*removedReplica), byIncarnation: make(map[incarnation]*removedReplica),
	}
}

// add remembers a replica that is removed. Calls in flight there may still add to its notices.
func (rmv *removedReplicas) add(rem *removedReplica) {
	rmv.lastByID[rem.last.ID] = rem
	if len(rmv.lastByID) > maxRemoved {
		oldest := rem.last.ID
		for id, one := range rmv.lastByID {
			if one.at.Before(rmv.lastByID[oldest].at) {
				oldest = id
			}
		}
		delete(rmv.lastByID, oldest)
	}
	if len(rmv.byIncarnation) >= maxRemoved {
		rmv.removeOldNotices(rem.at)
	}
	if len(rmv.byIncarnation) < maxRemoved {
		rmv.byIncarnation[incarnationOf(&rem.last)] = rem
	}
}

// admit returns whether a registration may bring its replica into use: it must not be older than the last one before
// the replica was removed. A replica that had begun to drain keeps draining in the same incarnation.
func (rmv *removedReplicas) admit(reg *Registration) bool {
	one, known := rmv.lastByID[reg.ID]
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
	delete(rmv.lastByID, reg.ID)
	return true
}

// takeNotices returns the notices of an incarnation, and forgets them here. An incarnation that has not been registered
// before has none.
func (rmv *removedReplicas) takeNotices(inc incarnation) *notices {
	old, found := rmv.byIncarnation[inc]
	if !found {
		return &notices{}
	}
	delete(rmv.byIncarnation, inc)
	return old.notices
}

// removeStale forgets the replicas that were removed long ago.
func (rmv *removedReplicas) removeStale(now time.Time) {
	for id, one := range rmv.lastByID {
		if now.Sub(one.at) >= removedKeptFor {
			delete(rmv.lastByID, id)
		}
	}
	rmv.removeOldNotices(now)
}

// removeOldNotices forgets the notices of replicas that were removed long ago.
func (rmv *removedReplicas) removeOldNotices(now time.Time) {
	for inc, old := range rmv.byIncarnation {
		if now.Sub(old.at) > noticesKeptFor {
			delete(rmv.byIncarnation, inc)
		}
	}
}
