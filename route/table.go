// Package route chooses the agent for a call, based on an entry's view of the agents.
//
// The view is soft state: it is built from the agents' reports and the calls that the entry has sent them since. The
// agents are spread over shards with one lock each, so that calls to different agents rarely wait for each other.
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
	// candidateCount is the number of random agents that are compared for a call. If all were compared, entries with
	// the same reports would choose the same agent at the same time (herding).
	candidateCount = 3
	// maxReportAge is the age of the last report after which an agent gets no calls.
	maxReportAge = 6 * time.Second
)

// Options configure a Table.
type Options struct {
	Clock       *timer.Service
	DataCentre  string        // of this entry
	RemoteDelay time.Duration // added to the prediction for an agent in another data centre
	Policy      string        // a value of entry.policy

	// Drained reports whether the configuration drains an agent. The agent itself may not have learnt that yet. If nil,
	// no agent is drained.
	Drained func(name string) bool
}

// Table is an entry's view of the agents it is connected to.
type Table struct {
	opts           Options
	seed           maphash.Seed
	shards         [shardCount]sync.Mutex
	roundRobinNext atomic.Uint64

	mu    sync.Mutex // serialises changes of index
	index atomic.Pointer[map[Target][]*agentView]
	seen  sync.Map // Target to struct{}: targets of which an agent has ever been connected
}

// Target is the model or service that agents serve.
type Target struct {
	Kind   proto.UpstreamKind
	Serves string
}

// Query describes a call to be placed.
type Query struct {
	Target              Target
	Cost                proto.Cost
	PrefixHash          []uint64
	Remaining           time.Duration // until the deadline; 0 if not known
	Sticky              string        // if not empty, calls with the same value go to one agent; AvoidAgents is ignored
	StickyUnlessAvoided string        // as Sticky, but an agent of AvoidAgents is chosen only if no other one is usable
	Prefer              string        // if not empty, the agent to choose if it is usable and not in AvoidAgents
	AvoidAgents         []string      // agents that this call has tried; chosen only if no other one is usable
}

// NewTable returns an empty Table.
func NewTable(opts Options) *Table {
	tab := &Table{opts: opts, seed: maphash.MakeSeed()}
	tab.index.Store(&map[Target][]*agentView{})
	return tab
}

// Connect adds an agent. It gets no calls before its first report.
func (tab *Table) Connect(peer proto.Peer) {
	tgt := Target{Kind: peer.Kind, Serves: peer.Serves}
	tab.seen.Store(tgt, struct{}{})
	shard := &tab.shards[maphash.String(tab.seed, peer.Name)%shardCount]
	vie := &agentView{peer: peer, drained: tab.opts.Drained, lock: shard}
	vie.prefixes.init()
	tab.updateAgents(peer, func(list []*agentView) []*agentView { return append(list, vie) })
}

// Disconnect removes an agent.
func (tab *Table) Disconnect(peer proto.Peer) {
	tab.updateAgents(peer, func(list []*agentView) []*agentView { return list })
}

// updateAgents replaces the list of the agents that serve the same target as peer. The new list is what edit returns
// for the old one without peer.
func (tab *Table) updateAgents(peer proto.Peer, edit func(list []*agentView) []*agentView) {
	tab.mu.Lock()
	defer tab.mu.Unlock()
	tgt := Target{Kind: peer.Kind, Serves: peer.Serves}
	next := make(map[Target][]*agentView)
	for key, list := range *tab.index.Load() {
		next[key] = list
	}
	var rest []*agentView
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

// Report records an agent's report. Reports of agents that are not connected are ignored.
func (tab *Table) Report(peer proto.Peer, rep proto.Report) {
	now := tab.opts.Clock.Now()
	for _, vie := range (*tab.index.Load())[Target{Kind: peer.Kind, Serves: peer.Serves}] {
		if vie.peer.Name == peer.Name {
			vie.applyReport(now, rep)
			return
		}
	}
}

// EverConnected reports whether an agent for the target has ever been connected. It also returns true until the first
// agent of any target connects, because unknown targets can't be recognised before that.
func (tab *Table) EverConnected(tgt Target) bool {
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

// Ready reports whether at least one agent is usable.
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

// Pick chooses an agent and counts the call as sent to it. It returns nil if no agent is usable. The caller must call
// End of the Placement once.
func (tab *Table) Pick(qry Query) *Placement {
	now := tab.opts.Clock.Now()
	list := (*tab.index.Load())[qry.Target]
	if qry.Sticky != "" {
		return tab.pickSticky(list, qry, now)
	}
	if qry.StickyUnlessAvoided != "" {
		return tab.pickStickyUnlessAvoided(list, qry, now)
	}
	if plc := tab.pickPreferred(list, qry, now); plc != nil {
		return plc
	}
	if plc := tab.pickFrom(list, qry, now, qry.AvoidAgents); plc != nil || len(qry.AvoidAgents) == 0 {
		return plc
	}
	return tab.pickFrom(list, qry, now, nil)
}

// HasAlternative reports whether an agent that is not in qry.AvoidAgents is usable. It is false for calls whose agent
// is determined by a hash (Sticky or StickyUnlessAvoided).
func (tab *Table) HasAlternative(qry Query) bool {
	if qry.Sticky != "" || qry.StickyUnlessAvoided != "" {
		return false
	}
	now := tab.opts.Clock.Now()
	return slices.ContainsFunc((*tab.index.Load())[qry.Target], func(vie *agentView) bool {
		return !slices.Contains(qry.AvoidAgents, vie.peer.Name) && vie.usable(now)
	})
}

// pickFrom places the call on one of the usable agents of the list that are not in avoid.
func (tab *Table) pickFrom(list []*agentView, qry Query, now time.Time, avoid []string) *Placement {
	usable := make([]*agentView, 0, len(list))
	for _, vie := range list {
		if !slices.Contains(avoid, vie.peer.Name) && vie.usable(now) {
			usable = append(usable, vie)
		}
	}
	for len(usable) > 0 {
		vie := tab.choose(usable, qry, now)
		if plc := vie.placeCall(tab, qry, now); plc != nil {
			return plc
		}
		// The agent is no longer usable, for example because another call is now its only probe.
		usable = slices.DeleteFunc(usable, func(other *agentView) bool { return other == vie })
	}
	return nil
}

// sample returns up to num different agents at random.
func sample(list []*agentView, num int) []*agentView {
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
