package state

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/tarragonwheel/tarragonwheel/proto"
	"github.com/tarragonwheel/tarragonwheel/timer"
)

const (
	// requestTimeout is the time after which an unanswered request for state is sent again, to any peer.
	requestTimeout = 500 * time.Millisecond
	// processTTL is the time without updates after which a process is no longer listed.
	processTTL = 10 * time.Minute
	// maxArrivals is the number of newest versions whose arrival times are always kept.
	maxArrivals = 1024
)

// Peer is a connected process.
type Peer struct {
	Name string
	Role proto.Role
	Done <-chan struct{} // closed when the connection has ended
	Send func(knd proto.Kind, msg any) error
}

// Process is the last known status of another process.
type Process struct {
	Name       string
	Role       proto.Role
	Version    int64
	ReceivedAt time.Time // when the version was received

	Draining bool // it is stopping
}

// arrival is the time at which this process reached a version.
type arrival struct {
	version int64
	at      time.Time
}

// Exchange synchronises a Store with the stores of connected peers, so that processes receive configuration changes
// even without access to the log. It is safe for concurrent use.
type Exchange struct {
	store    *Store
	clock    *timer.Service
	announce func() (proto.Kind, any)

	mu               sync.Mutex
	peers            map[string]Peer
	processes        map[string]Process
	arrivals         []arrival
	requestedAt      time.Time
	requestedVersion int64           // version that the last request was sent for
	requestDone      <-chan struct{} // closed when the connection of the last request has ended
}

// NewExchange returns an Exchange for sto. The function announce returns the heartbeat message of this process, which
// carries its version.
func NewExchange(sto *Store, clk *timer.Service, announce func() (proto.Kind, any)) *Exchange {
	return &Exchange{
		store: sto, clock: clk, announce: announce, peers: make(map[string]Peer), processes: make(map[string]Process),
	}
}

// RecordVersion records the version that a connected peer has announced. If the peer is ahead, RecordVersion requests
// its state; if it is behind, RecordVersion announces this process's version to it.
func (exc *Exchange) RecordVersion(per Peer, version int64) {
	own := exc.store.Version()
	exc.mu.Lock()
	exc.peers[per.Name] = per
	exc.recordProcess(Process{Name: per.Name, Role: per.Role, Version: version, ReceivedAt: exc.clock.Now()})
	request := version > own && exc.startRequest(per, own, version)
	exc.mu.Unlock()
	switch {
	case request:
		_ = per.Send(proto.KindState, exc.store.Request()) // After a lost connection, the next one requests again.
	case version < own:
		_ = per.Send(exc.announce())
	}
}

// startRequest reports whether a request for state may be sent to a peer, and if so records it as sent. It allows one
// request at a time: many peers announce the same change within milliseconds, and each answer may be the whole state. A
// request counts as answered as soon as its version is reached, through any peer: if that happens before the request is
// sent, the peer has nothing newer and sends no answer. The caller holds the lock.
func (exc *Exchange) startRequest(per Peer, own, version int64) bool {
	if exc.requestDone != nil && own < exc.requestedVersion && exc.clock.Since(exc.requestedAt) < requestTimeout {
		select {
		case <-exc.requestDone:
		default:
			return false
		}
	}
	exc.requestedAt, exc.requestDone, exc.requestedVersion = exc.clock.Now(), per.Done, version
	return true
}

// requestFromNewer requests the state of a connected peer that is still ahead after an answer was merged.
func (exc *Exchange) requestFromNewer() {
	own := exc.store.Version()
	exc.mu.Lock()
	var ahead *Peer
	for name, per := range exc.peers {
		if version := exc.processes[name].Version; version > own && exc.startRequest(per, own, version) {
			ahead = &per
			break
		}
	}
	exc.mu.Unlock()
	if ahead != nil {
		_ = ahead.Send(proto.KindState, exc.store.Request()) // The next heartbeat requests again.
	}
}

// RecordRelayedVersion records the version of a process as reported by a peer.
func (exc *Exchange) RecordRelayedVersion(name string, rol proto.Role, version int64) {
	exc.mu.Lock()
	defer exc.mu.Unlock()
	if version >= exc.processes[name].Version {
		exc.recordProcess(Process{Name: name, Role: rol, Version: version, ReceivedAt: exc.clock.Now()})
	}
}

// SetDraining records whether a process is stopping. It reports whether that has changed. It ignores unlisted
// processes.
func (exc *Exchange) SetDraining(name string, draining bool) bool {
	exc.mu.Lock()
	defer exc.mu.Unlock()
	prc, ok := exc.processes[name]
	changed := ok && prc.Draining != draining
	if changed {
		prc.Draining = draining
		exc.processes[name] = prc
	}
	return changed
}

// recordProcess replaces the status of a process, except for Draining. The caller holds the lock.
func (exc *Exchange) recordProcess(prc Process) {
	prc.Draining = exc.processes[prc.Name].Draining
	exc.processes[prc.Name] = prc
}

// HandleState handles a state message of a peer: it sends the answer to a request, or merges an answer into the store.
func (exc *Exchange) HandleState(per Peer, msg proto.State) error {
	if !IsRequest(msg) {
		if err := exc.store.Merge(msg); err != nil {
			return err
		}
		exc.requestFromNewer()
		return nil
	}
	ans, ok, err := exc.store.Answer(msg.From)
	if err != nil || !ok {
		return err
	}
	return per.Send(proto.KindState, ans)
}

// Announce sends this process's version to the connected peers that are behind, and records when it was reached.
func (exc *Exchange) Announce() {
	own := exc.store.Version()
	exc.mu.Lock()
	exc.arrivals = append(exc.arrivals, arrival{own, exc.clock.Now()})
	if len(exc.arrivals) > 2*maxArrivals {
		exc.arrivals = slices.Clone(exc.arrivals[maxArrivals:])
	}
	var behind []Peer
	for name, per := range exc.peers {
		select {
		case <-per.Done:
			delete(exc.peers, name)
			continue
		default:
		}
		if exc.processes[name].Version < own {
			behind = append(behind, per)
		}
	}
	exc.mu.Unlock()
	for _, per := range behind {
		_ = per.Send(exc.announce()) // A lost connection announces again once it is restored.
	}
}

// Versions returns the versions of the connected peers of a role, to be sent in reports.
func (exc *Exchange) Versions(rol proto.Role) []proto.PeerVersion {
	exc.mu.Lock()
	defer exc.mu.Unlock()
	var list []proto.PeerVersion
	for name, per := range exc.peers {
		select {
		case <-per.Done:
			delete(exc.peers, name)
		default:
			if per.Role == rol {
				prc := exc.processes[name]
				list = append(list, proto.PeerVersion{Name: name, Version: prc.Version, Draining: prc.Draining})
			}
		}
	}
	return list
}

// Processes returns the other processes that were seen within processTTL, sorted by name.
func (exc *Exchange) Processes() []Process {
	exc.mu.Lock()
	defer exc.mu.Unlock()
	var list []Process
	for name, prc := range exc.processes {
		if exc.clock.Since(prc.ReceivedAt) > processTTL {
			delete(exc.processes, name)
			continue
		}
		list = append(list, prc)
	}
	slices.SortFunc(list, func(one, two Process) int { return cmp.Compare(one.Name, two.Name) })
	return list
}

// Lag returns how long a version has been outdated: the time since this process reached a higher one, or 0.
func (exc *Exchange) Lag(version int64) time.Duration {
	exc.mu.Lock()
	defer exc.mu.Unlock()
	for _, arr := range exc.arrivals {
		if arr.version > version {
			return exc.clock.Since(arr.at)
		}
	}
	return 0
}
