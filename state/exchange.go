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
	// askPatience is the time after which a request for state without an answer is sent again, to any peer.
	askPatience = 500 * time.Millisecond
	// forgetAfter is the time without news after which a process is no longer listed.
	forgetAfter = 10 * time.Minute
	// maxReached is the number of versions whose time of arrival is kept.
	maxReached = 1024
)

// Peer is a connected process.
type Peer struct {
	Name string
	Role proto.Role
	Done <-chan struct{} // closed when the connection has ended
	Send func(knd proto.Kind, msg any) error
}

// Process is what is known of a process by name.
type Process struct {
	Name    string
	Role    proto.Role
	Version int64
	Heard   time.Time // when the version was heard

	Draining bool // it is stopping
}

type arrival struct {
	version int64
	at      time.Time
}

// Exchange keeps a Store level with the stores of connected peers, without the log.
type Exchange struct {
	store    *Store
	clock    *timer.Service
	announce func() (proto.Kind, any)

	mu      sync.Mutex
	peers   map[string]Peer
	known   map[string]Process
	reached []arrival
	asked   time.Time
	wanted  int64           // version that was asked for last
	asking  <-chan struct{} // ends with the connection that was asked
}

// NewExchange returns an Exchange for sto. The function announce returns the heartbeat message of this process, which
// carries its version.
func NewExchange(sto *Store, clk *timer.Service, announce func() (proto.Kind, any)) *Exchange {
	return &Exchange{
		store: sto, clock: clk, announce: announce, peers: make(map[string]Peer), known: make(map[string]Process),
	}
}

// Heard takes the version that a connected peer has announced. It asks a peer that is ahead for its state, and
// announces this process's version to one that is behind.
func (exc *Exchange) Heard(per Peer, version int64) {
	own := exc.store.Version()
	exc.mu.Lock()
	exc.peers[per.Name] = per
	exc.note(Process{Name: per.Name, Role: per.Role, Version: version, Heard: exc.clock.Now()})
	ask := version > own && exc.mayAsk(per, own, version)
	exc.mu.Unlock()
	switch {
	case ask:
		_ = per.Send(proto.KindState, exc.store.Ask()) // A lost connection is asked for again on the next one.
	case version < own:
		_ = per.Send(exc.announce())
	}
}

// mayAsk limits requests to one at a time: many peers announce the same change within milliseconds, and each answer
// may be the whole state. A request whose version was reached counts as answered, because a peer that was asked for
// what came meanwhile from another one sends nothing. The caller holds the lock.
func (exc *Exchange) mayAsk(per Peer, own, version int64) bool {
	if exc.asking != nil && own < exc.wanted && exc.clock.Since(exc.asked) < askPatience {
		select {
		case <-exc.asking:
		default:
			return false
		}
	}
	exc.asked, exc.asking, exc.wanted = exc.clock.Now(), per.Done, version
	return true
}

// askAhead asks a connected peer that is still ahead after an answer was taken.
func (exc *Exchange) askAhead() {
	own := exc.store.Version()
	exc.mu.Lock()
	var ahead *Peer
	for name, per := range exc.peers {
		if known := exc.known[name].Version; known > own && exc.mayAsk(per, own, known) {
			ahead = &per
			break
		}
	}
	exc.mu.Unlock()
	if ahead != nil {
		_ = ahead.Send(proto.KindState, exc.store.Ask()) // The next heartbeat asks again.
	}
}

// HeardOf takes the version of a process that a peer has told of.
func (exc *Exchange) HeardOf(name string, rol proto.Role, version int64) {
	exc.mu.Lock()
	defer exc.mu.Unlock()
	if version >= exc.known[name].Version {
		exc.note(Process{Name: name, Role: rol, Version: version, Heard: exc.clock.Now()})
	}
}

// Draining takes whether a process that was heard of is stopping. It tells whether that is news.
func (exc *Exchange) Draining(name string, draining bool) bool {
	exc.mu.Lock()
	defer exc.mu.Unlock()
	prc, ok := exc.known[name]
	news := ok && prc.Draining != draining
	if news {
		prc.Draining = draining
		exc.known[name] = prc
	}
	return news
}

func (exc *Exchange) note(prc Process) {
	prc.Draining = exc.known[prc.Name].Draining
	exc.known[prc.Name] = prc
}

// Take handles a state message of a peer: a request or an answer.
func (exc *Exchange) Take(per Peer, msg proto.State) error {
	if !IsAsk(msg) {
		if err := exc.store.Merge(msg); err != nil {
			return err
		}
		exc.askAhead()
		return nil
	}
	ans, ok, err := exc.store.Answer(msg.From)
	if err != nil || !ok {
		return err
	}
	return per.Send(proto.KindState, ans)
}

// Announce tells the connected peers that are behind of this process's version, and remembers when it was reached.
func (exc *Exchange) Announce() {
	own := exc.store.Version()
	exc.mu.Lock()
	exc.reached = append(exc.reached, arrival{own, exc.clock.Now()})
	if len(exc.reached) > 2*maxReached {
		exc.reached = slices.Clone(exc.reached[maxReached:])
	}
	var behind []Peer
	for name, per := range exc.peers {
		select {
		case <-per.Done:
			delete(exc.peers, name)
			continue
		default:
		}
		if exc.known[name].Version < own {
			behind = append(behind, per)
		}
	}
	exc.mu.Unlock()
	for _, per := range behind {
		_ = per.Send(exc.announce()) // A lost connection announces again when it is back.
	}
}

// Versions returns the versions of the connected peers of a role, for reports.
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
				prc := exc.known[name]
				list = append(list, proto.PeerVersion{Name: name, Version: prc.Version, Draining: prc.Draining})
			}
		}
	}
	return list
}

// Processes returns the other processes that were heard of within the last minutes, sorted by name.
func (exc *Exchange) Processes() []Process {
	exc.mu.Lock()
	defer exc.mu.Unlock()
	var list []Process
	for name, prc := range exc.known {
		if exc.clock.Since(prc.Heard) > forgetAfter {
			delete(exc.known, name)
			continue
		}
		list = append(list, prc)
	}
	slices.SortFunc(list, func(one, two Process) int { return cmp.Compare(one.Name, two.Name) })
	return list
}

// Lag returns for how long a version has not been the newest: the time since this process reached a higher one.
func (exc *Exchange) Lag(version int64) time.Duration {
	exc.mu.Lock()
	defer exc.mu.Unlock()
	for _, arr := range exc.reached {
		if arr.version > version {
			return exc.clock.Since(arr.at)
		}
	}
	return 0
}
