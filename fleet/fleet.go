// Package fleet holds what a process knows of the replicas: which are registered, how reliable and fast they are, and
// the tasks of this and other processes that are in flight there.
package fleet

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-logr/logr"

	"github.com/tarragonwheel/tarragonwheel/pace"
	"github.com/tarragonwheel/tarragonwheel/timer"
)

// Fleet is the set of registered replicas of all services. It is safe for concurrent use; the replicas of each service
// have a lock of their own.
type Fleet struct {
	clock       *timer.Service
	log         logr.Logger
	onRemoved   func(id string)
	mu          sync.Mutex
	replicaSets map[string]*ReplicaSet // by service
	byID        map[string]*Replica    // all registered replicas
	byHash      map[uint32]*Replica    // the same, by the hash of their ID
	expired     map[string]time.Time   // end of the grace period, by the ID of a replica whose registration is missing
	removed     removedReplicas        // that are not registered any more
	pending     pendingTasks           // updates for replicas that are not registered here yet
	rivals      map[string]rival       // by the ID of a replica
	// graceEnd is the end of the grace period after an outage or a restore of the store. A registration that disappears
	// before may merely have expired during the outage, or have been written since the copy was made.
	graceEnd time.Time
	// evacuated holds the data centres whose replicas get no requests. It is replaced, and not changed.
	evacuated map[string]bool
	pace      PaceOptions
	warmUps   map[string]pace.WarmUp // by service
	listed    bool                   // the registrations have been listed once
}

// reregisterGrace is the time in which replicas may register again whose registration expired during a store outage, or
// was overwritten.
const reregisterGrace = 1800 * time.Millisecond

// New returns an empty Fleet. The function onRemoved is called with the ID of each replica that is removed; it may be
// nil.
func New(clk *timer.Service, log logr.Logger, onRemoved func(id string)) *Fleet {
	if onRemoved == nil {
		onRemoved = func(string) {}
	}
	return &Fleet{
		clock: clk, log: log, onRemoved: onRemoved,
		replicaSets: make(map[string]*ReplicaSet), byID: make(map[string]*Replica),
		byHash: make(map[uint32]*Replica), expired: make(map[string]time.Time),
		removed: newRemovedReplicas(), rivals: make(map[string]rival),
	}
}

// ReplicaSet returns the replicas of a service.
func (flt *Fleet) ReplicaSet(service string) *ReplicaSet {
	flt.mu.Lock()
	defer flt.mu.Unlock()
	return flt.replicaSetLocked(service)
}

// replicaSetLocked returns the replicas of a service. The caller holds the lock.
func (flt *Fleet) replicaSetLocked(service string) *ReplicaSet {
	set := flt.replicaSets[service]
	if set == nil {
		set = newReplicaSet(flt.clock)
		set.setEvacuated(flt.evacuated)
		set.log, set.pace, set.warmUp = flt.log, &flt.pace, flt.warmUps[service]
		flt.replicaSets[service] = set
	}
	return set
}

// allReplicaSets returns the replica sets of all services.
func (flt *Fleet) allReplicaSets() []*ReplicaSet {
	flt.mu.Lock()
	defer flt.mu.Unlock()
	list := make([]*ReplicaSet, 0, len(flt.replicaSets))
	for _, set := range flt.replicaSets {
		list = append(list, set)
	}
	return list
}

// Size returns the number of registered replicas.
func (flt *Fleet) Size() int {
	flt.mu.Lock()
	defer flt.mu.Unlock()
	return len(flt.byID)
}

// UpdateRegistration records a registration. One that is older than the known one is ignored, also if the replica has
// been removed lately, unless such ones keep coming, but for the news that the replica drains. A replica that has begun
// to drain keeps draining until its incarnation ends.
func (flt *Fleet) UpdateRegistration(reg Registration) {
	flt.mu.Lock()
	defer flt.mu.Unlock()
	delete(flt.expired, reg.ID)
	old := flt.byID[reg.ID]
	if old == nil {
		if flt.removed.admit(&reg) {
			flt.add(reg)
		}
		return
	}
	known := old.Registration()
	sameIncarnation := reg.StartedAtMs == known.StartedAtMs
	if !reg.Newer(&known) && !flt.recordRival(&reg) {
		if sameIncarnation && reg.Draining && !known.Draining {
			known.Draining = true
			flt.log.Info("fleet: replica drains", "replica", reg.ID, "sequence", reg.Sequence)
			old.setRegistration(known)
		}
		return
	}
	delete(flt.rivals, reg.ID)
	if !sameIncarnation || reg.Service != known.Service || reg.Address != known.Address {
		flt.remove(old, "replaced by a new incarnation", true)
		flt.add(reg)
		return
	}
	reg.Draining = reg.Draining || known.Draining
	if reg.Draining && !known.Draining {
		flt.log.Info("fleet: replica drains", "replica", reg.ID, "sequence", reg.Sequence)
	}
	old.setRegistration(reg)
	old.recordWarmUp(reg.WarmUpLeft)
}

// IsHeartbeat reports whether a registration says no more than that the replica is still there.
func (flt *Fleet) IsHeartbeat(reg Registration) bool {
	flt.mu.Lock()
	defer flt.mu.Unlock()
	old := flt.byID[reg.ID]
	if _, isExpired := flt.expired[reg.ID]; old == nil || isExpired {
		return false
	}
	if old.isColdAgain(&reg) {
		return false
	}
	known := old.Registration()
	reg.Sequence, reg.WarmUpLeft = known.Sequence, known.WarmUpLeft
	return reg == known
}

// InGrace reports whether a store outage has ended so recently that registrations may be missing that expired during
// the outage.
func (flt *Fleet) InGrace() bool {
	flt.mu.Lock()
	defer flt.mu.Unlock()
	return flt.clock.Now().Before(flt.graceEnd)
}

// add registers a replica and applies the updates of tasks that arrived before its registration. The caller holds the
// lock.
func (flt *Fleet) add(reg Registration) {
	inc, now := incarnationOf(&reg), flt.clock.Now()
	_, wasKnown := flt.removed.byIncarnation[inc]
	rep := &Replica{
		hash: uint32(xxhash.Sum64String(reg.ID)), reg: reg, registeredAt: now, registrationAt: now,
		notices: flt.removed.takeNotices(inc),
	}
	rep.set = flt.replicaSetLocked(reg.Service)
	flt.byID[reg.ID] = rep
	flt.byHash[rep.hash] = rep
	rep.set.add(rep)
	left, reason := flt.coldAtStart(rep, wasKnown)
	rep.markColdFor(left, reason)
	for _, one := range flt.pending.take(rep.hash, rep.registeredAt) {
		rep.applyRemoteTask(one.peer, one.task, one.receivedAt)
	}
	flt.log.V(1).Info("fleet: replica registered", "replica", reg.ID, "service", reg.Service, "address", reg.Address)
}

// remove removes a replica and reports it to onRemoved. The flag tells whether its registration was removed, rather
// than missing. The caller holds the lock.
func (flt *Fleet) remove(rep *Replica, reason string, unregistered bool) {
	reg := rep.Registration()
	rep.set.remove(rep)
	delete(flt.byID, reg.ID)
	delete(flt.byHash, rep.hash)
	delete(flt.rivals, reg.ID)
	flt.removed.add(&removedReplica{
		last: reg, notices: rep.notices, at: flt.clock.Now(), unregistered: unregistered,
	})
	flt.log.Info("fleet: replica has gone", "replica", reg.ID, "service", reg.Service, "reason", reason)
	flt.onRemoved(reg.ID)
}

// Unregister records that the registration of a replica was removed. After a store outage it may merely have expired,
// so the replica is kept until the grace period has passed.
func (flt *Fleet) Unregister(id string) {
	flt.mu.Lock()
	defer flt.mu.Unlock()
	rep := flt.byID[id]
	if rep == nil {
		return
	}
	if flt.clock.Now().Before(flt.graceEnd) {
		flt.expired[id] = flt.graceEnd
		return
	}
	flt.remove(rep, "registration removed", true)
}

// ReplaceRegistrations records the full list of registrations. Replicas that are not on it are unregistered. Replicas
// did not write the records of the IDs in unreadable. If there is a replica with such an ID, its own record has been
// overwritten, so it gets the time to write the next one.
func (flt *Fleet) ReplaceRegistrations(list []Registration, unreadable []string) {
	listed := make(map[string]bool, len(list)+len(unreadable))
	for _, id := range unreadable {
		listed[id] = true
		flt.expectRegistration(id)
	}
	for _, reg := range list {
		listed[reg.ID] = true
		flt.UpdateRegistration(reg)
	}
	for _, id := range flt.ids() {
		if !listed[id] {
			flt.Unregister(id)
		}
	}
	flt.mu.Lock()
	defer flt.mu.Unlock()
	flt.listed = true
}

// expectRegistration removes a replica after the grace period unless it registers again.
func (flt *Fleet) expectRegistration(id string) {
	flt.mu.Lock()
	defer flt.mu.Unlock()
	if flt.byID[id] != nil && flt.expired[id].IsZero() {
		flt.expired[id] = flt.clock.Now().Add(reregisterGrace)
	}
}

func (flt *Fleet) ids() []string {
	flt.mu.Lock()
	defer flt.mu.Unlock()
	list := make([]string, 0, len(flt.byID))
	for id := range flt.byID {
		list = append(list, id)
	}
	return list
}

// StoreOutageEnded records that a store outage has ended, during which registrations of live replicas may have expired,
// or that the store was restored from an older copy, which lacks those written since.
func (flt *Fleet) StoreOutageEnded() {
	flt.mu.Lock()
	defer flt.mu.Unlock()
	flt.graceEnd = flt.clock.Now().Add(reregisterGrace)
}

// RemoveExpired removes the replicas whose registration was missing and was not renewed within the grace period. It
// also removes stale updates for replicas that are not registered.
func (flt *Fleet) RemoveExpired() {
	flt.mu.Lock()
	defer flt.mu.Unlock()
	now := flt.clock.Now()
	flt.pending.removeStale(now)
	flt.removed.removeStale(now)
	for id, until := range flt.expired {
		if now.Before(until) {
			continue
		}
		delete(flt.expired, id)
		if rep := flt.byID[id]; rep != nil {
			flt.remove(rep, "registration missing or overwritten, and not renewed", false)
		}
	}
}

// AtAddress returns the replicas that are registered with an address. While an address changes hands, there may be
// several.
func (flt *Fleet) AtAddress(address string) []*Replica {
	flt.mu.Lock()
	defer flt.mu.Unlock()
	var list []*Replica
	for _, rep := range flt.byID {
		if rep.Registration().Address == address {
			list = append(list, rep)
		}
	}
	return list
}
