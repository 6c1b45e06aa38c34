// Package fleet holds what a process knows of the replicas: which exist, how well they answer, and the work that this
// and other processes have given them.
package fleet

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-logr/logr"

	"github.com/tarragonwheel/tarragonwheel/timer"
)

// Fleet is the set of known replicas. It is safe for concurrent use; the replicas of each service have a lock of their
// own.
type Fleet struct {
	clock  *timer.Service
	log    logr.Logger
	onGone func(id string)
	mu     sync.Mutex
	groups map[string]*Group   // by service
	byID   map[string]*Replica // all replicas that have not gone
	byHash map[uint32]*Replica // the same, by the hash of their ID
	lapsed map[string]time.Time
	early  early
	// doubted is the end of the time in which missing registrations may have lapsed while the store was away.
	doubted time.Time
}

// lapseGrace is the time after an outage of the store in which replicas whose registration lapsed may register again.
const lapseGrace = 1800 * time.Millisecond

// New returns an empty Fleet. The function onGone is told the ID of each replica that has gone; it may be nil.
func New(clk *timer.Service, log logr.Logger, onGone func(id string)) *Fleet {
	if onGone == nil {
		onGone = func(string) {}
	}
	return &Fleet{
		clock: clk, log: log, onGone: onGone,
		groups: make(map[string]*Group), byID: make(map[string]*Replica),
		byHash: make(map[uint32]*Replica), lapsed: make(map[string]time.Time),
	}
}

// Group returns the replicas of a service.
func (flt *Fleet) Group(service string) *Group {
	flt.mu.Lock()
	defer flt.mu.Unlock()
	return flt.group(service)
}

func (flt *Fleet) group(service string) *Group {
	grp := flt.groups[service]
	if grp == nil {
		grp = &Group{clock: flt.clock}
		flt.groups[service] = grp
	}
	return grp
}

// all returns the replicas of all services.
func (flt *Fleet) all() []*Group {
	flt.mu.Lock()
	defer flt.mu.Unlock()
	list := make([]*Group, 0, len(flt.groups))
	for _, grp := range flt.groups {
		list = append(list, grp)
	}
	return list
}

// Size returns the number of known replicas.
func (flt *Fleet) Size() int {
	flt.mu.Lock()
	defer flt.mu.Unlock()
	return len(flt.byID)
}

// UpdateRegistration records a registration. One that is older than the known one is ignored, and a replica that drains
// does so until it ends.
func (flt *Fleet) UpdateRegistration(reg Registration) {
	flt.mu.Lock()
	defer flt.mu.Unlock()
	delete(flt.lapsed, reg.ID)
	old := flt.byID[reg.ID]
	if old == nil {
		flt.add(reg)
		return
	}
	known := old.Registration()
	if !reg.Newer(&known) {
		return
	}
	sameRun := reg.StartedAtMs == known.StartedAtMs
	if !sameRun || reg.Service != known.Service || reg.Address != known.Address {
		flt.remove(old, "replaced by a new incarnation")
		flt.add(reg)
		return
	}
	reg.Draining = reg.Draining || known.Draining
	if reg.Draining && !known.Draining {
		flt.log.Info("fleet: replica drains", "replica", reg.ID, "sequence", reg.Sequence)
	}
	old.setRegistration(reg)
}

func (flt *Fleet) add(reg Registration) {
	rep := &Replica{hash: uint32(xxhash.Sum64String(reg.ID)), reg: reg, started: flt.clock.Now()}
	rep.group = flt.group(reg.Service)
	flt.byID[reg.ID] = rep
	flt.byHash[rep.hash] = rep
	rep.group.add(rep)
	for _, one := range flt.early.take(rep.hash, rep.started) {
		rep.hear(one.peer, one.work, one.heard)
	}
	flt.log.V(1).Info("fleet: replica is known", "replica", reg.ID, "service", reg.Service, "address", reg.Address)
}

func (flt *Fleet) remove(rep *Replica, reason string) {
	reg := rep.Registration()
	rep.group.remove(rep)
	delete(flt.byID, reg.ID)
	delete(flt.byHash, rep.hash)
	flt.log.Info("fleet: replica has gone", "replica", reg.ID, "service", reg.Service, "reason", reason)
	flt.onGone(reg.ID)
}

// Unregister records that the registration of a replica was removed. After an outage of the store it may merely have
// expired, so the replica is kept until lapseGrace has passed.
func (flt *Fleet) Unregister(id string) {
	flt.mu.Lock()
	defer flt.mu.Unlock()
	rep := flt.byID[id]
	if rep == nil {
		return
	}
	if flt.clock.Now().Before(flt.doubted) {
		flt.lapsed[id] = flt.doubted
		return
	}
	flt.remove(rep, "registration removed")
}

// ReplaceRegistrations records the full list of registrations. Replicas that are not on it were removed.
func (flt *Fleet) ReplaceRegistrations(list []Registration) {
	known := make(map[string]bool, len(list))
	for _, reg := range list {
		known[reg.ID] = true
		flt.UpdateRegistration(reg)
	}
	for _, id := range flt.ids() {
		if !known[id] {
			flt.Unregister(id)
		}
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

// StoreOutageEnded records that an outage of the store has ended, during which registrations of live replicas may have
// expired.
func (flt *Fleet) StoreOutageEnded() {
	flt.mu.Lock()
	defer flt.mu.Unlock()
	flt.doubted = flt.clock.Now().Add(lapseGrace)
}

// RemoveExpired removes the replicas whose registration has expired and was not renewed in time.
func (flt *Fleet) RemoveExpired() {
	flt.mu.Lock()
	defer flt.mu.Unlock()
	now := flt.clock.Now()
	flt.early.drop(now)
	for id, until := range flt.lapsed {
		if now.Before(until) {
			continue
		}
		delete(flt.lapsed, id)
		if rep := flt.byID[id]; rep != nil {
			flt.remove(rep, "registration did not come back after an outage of the store")
		}
	}
}
