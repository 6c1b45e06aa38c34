// Package route chooses the agent for a call from an entry's own view of the agents.
//
// The view is soft state: it is built from the agents' reports and from what the entry has sent them since. It is kept
// in shards with one lock each, so that calls on different agents do not wait for each other.
package route

import (
	"hash/maphash"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/tarragonwheel/tarragonwheel/proto"
	"github.com/tarragonwheel/tarragonwheel/timer"
)

const (
	shardCount = 16
	// candidateCount is the number of agents that are compared for a call. Comparing all of them makes entries that
	// hold the same reports choose the same agent at once.
	candidateCount = 3
	// silentAfter is the age of a report after which the agent gets no work.
	silentAfter = 6 * time.Second
)

// Options configure a Table.
type Options struct {
	Clock       *timer.Service
	DataCentre  string        // of this entry
	RemoteDelay time.Duration // added to the prediction for an agent in another data centre
	Policy      string        // a value of entry.policy

	// Drained tells whether configuration drains an agent, which may not know yet; nil drains none.
	Drained func(name string) bool
}

// Table is an entry's view of the agents it is connected to.
type Table struct {
	opts   Options
	seed   maphash.Seed
	shards [shardCount]sync.Mutex
	turn   atomic.Uint64 // of the round robin policy

	mu    sync.Mutex // serialises changes of index
	index atomic.Pointer[map[Target][]*view]
	seen  sync.Map // Target to struct{}: ever connected
}

// Target is what agents serve.
type Target struct {
	Kind   proto.UpstreamKind
	Serves string
}

// Query describes a call to be placed.
type Query struct {
	Target     Target
	Cost       proto.Cost
	PrefixHash []uint64
	Remaining  time.Duration // until the deadline; 0 if not known
	Sticky     string        // if not empty, calls with the same value choose the same agent
	Home       string        // as Sticky, but among the agents that are not to be avoided, if there are any
	Prefer     string        // if not empty, the agent to choose if it can be given work and is not to be avoided
	Avoid      []string      // agents that this call has tried, used only if there is no other
}

// NewTable returns an empty Table.
func NewTable(opts Options) *Table {
	tab := &Table{opts: opts, seed: maphash.MakeSeed()}
	tab.index.Store(&map[Target][]*view{})
	return tab
}

// Connect adds an agent. It gets no work before its first report.
func (tab *Table) Connect(peer proto.Peer) {
	tgt := Target{Kind: peer.Kind, Serves: peer.Serves}
	tab.seen.Store(tgt, struct{}{})
	shard := &tab.shards[maphash.String(tab.seed, peer.Name)%shardCount]
	vie := &view{peer: peer, drained: tab.opts.Drained, lock: shard}
	vie.prefixes.init()
	tab.change(peer, func(list []*view) []*view { return append(list, vie) })
}

// Disconnect removes an agent.
func (tab *Table) Disconnect(peer proto.Peer) {
	tab.change(peer, func(list []*view) []*view { return list })
}

// change replaces the list that contains peer, without peer, by what edit makes of it.
func (tab *Table) change(peer proto.Peer, edit func(list []*view) []*view) {
	tab.mu.Lock()
	defer tab.mu.Unlock()
	tgt := Target{Kind: peer.Kind, Serves: peer.Serves}
	next := make(map[Target][]*view)
	for key, list := range *tab.index.Load() {
		next[key] = list
	}
	var rest []*view
	for _, vie := range next[tgt] {
		if vie.peer.Name != peer.Name {
			rest = append(rest, vie)
		}
	}
	next[tgt] = edit(rest)
	if len(next[tgt]) == 0 {
		delete(next, tgt)
	}
	tab.index.Store(&next)
}

// Report takes in an agent's report. Reports of agents that are not connected are dropped.
func (tab *Table) Report(peer proto.Peer, rep proto.Report) {
	now := tab.opts.Clock.Now()
	for _, vie := range (*tab.index.Load())[Target{Kind: peer.Kind, Serves: peer.Serves}] {
		if vie.peer.Name == peer.Name {
			vie.takeReport(now, rep)
			return
		}
	}
}

// Known tells whether an agent for the target has ever been connected. It is true while none has been at all, since
// then nothing can be told.
func (tab *Table) Known(tgt Target) bool {
	if _, ok := tab.seen.Load(tgt); ok {
		return true
	}
	empty := true
	tab.seen.Range(func(any, any) bool {
		empty = false
		return false
	})
	return empty
}

// Ready tells whether at least one agent can be given work.
func (tab *Table) Ready() bool {
	now := tab.opts.Clock.Now()
	for _, list := range *tab.index.Load() {
		for _, vie := range list {
			if vie.usable(now) {
				return true
			}
		}
	}
	return false
}

// Pick chooses an agent and counts the call as sent to it. It returns nil if no agent can be given work. The caller
// ends the placement exactly once.
func (tab *Table) Pick(qry Query) *Placement {
	now := tab.opts.Clock.Now()
	list := (*tab.index.Load())[qry.Target]
	if qry.Sticky != "" {
		return tab.sticky(list, qry, now)
	}
	if qry.Home != "" {
		return tab.home(list, qry, now)
	}
	if plc := tab.preferred(list, qry, now); plc != nil {
		return plc
	}
	if plc := tab.among(list, qry, now, qry.Avoid); plc != nil || len(qry.Avoid) == 0 {
		return plc
	}
	return tab.among(list, qry, now, nil)
}

// Others tells whether an agent that the query does not avoid can be given work. Calls that have to meet a certain
// agent have no others.
func (tab *Table) Others(qry Query) bool {
	if qry.Sticky != "" || qry.Home != "" {
		return false
	}
	now := tab.opts.Clock.Now()
	return slices.ContainsFunc((*tab.index.Load())[qry.Target], func(vie *view) bool {
		return !slices.Contains(qry.Avoid, vie.peer.Name) && vie.usable(now)
	})
}

func (tab *Table) among(list []*view, qry Query, now time.Time, avoid []string) *Placement {
	usable := make([]*view, 0, len(list))
	for _, vie := range list {
		if !slices.Contains(avoid, vie.peer.Name) && vie.usable(now) {
			usable = append(usable, vie)
		}
	}
	for len(usable) > 0 {
		vie := tab.choose(usable, qry, now)
		if plc := vie.place(tab, qry, now); plc != nil {
			return plc
		}
		// Another call has taken the one probe that this agent may get.
		usable = slices.DeleteFunc(usable, func(other *view) bool { return other == vie })
	}
	return nil
}

// sample returns up to num different agents at random.
func sample(list []*view, num int) []*view {
	if len(list) <= num {
		return list
	}
	out := slices.Clone(list)
	for idx := range num {
		other := idx + rand.IntN(len(out)-idx)
		out[idx], out[other] = out[other], out[idx]
	}
	return out[:num]
}
