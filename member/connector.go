package member

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"github.com/tarragonwheel/tarragonwheel/group"
	"github.com/tarragonwheel/tarragonwheel/link"
	"github.com/tarragonwheel/tarragonwheel/metric"
	"github.com/tarragonwheel/tarragonwheel/proto"
	"github.com/tarragonwheel/tarragonwheel/timer"
	"github.com/tarragonwheel/tarragonwheel/vmlist"
)

const (
	longPollWait      = 20 * time.Second
	drainPollInterval = 250 * time.Millisecond // between checks for open streams of a retired connection
	eventNameMismatch = "agent-name-mismatch"
)

// Options configure a Connector.
type Options struct {
	Self             string   // name of this entry
	Fanout           int      // number of entries to which each agent is assigned
	ConfiguredAgents []string // addresses of configured agents, which the entry dials itself and the Connector must not
	Clock            *timer.Service
	Log              logr.Logger
	Metrics          *metric.Set

	// ListChanges long-polls the VM list for changes (see vmlist.Client.Since).
	ListChanges func(ctx context.Context, revision int64, wait time.Duration) (vmlist.Changes, error)
	// Dial connects to the agent at addr. The connection is closed when ctx is done.
	Dial func(ctx context.Context, addr string) (*link.Conn, error)
	// OnConnected is called with each new connection, and OnRetired with each one that gets no new calls any more: it
	// has ended, or its agent is leaving or is assigned to other entries. OnRetired may be called twice for a
	// connection, and for one that OnConnected was not called with.
	OnConnected func(con *link.Conn)
	OnRetired   func(con *link.Conn)
}

// Connector watches the VM list and maintains a connection to each agent that is assigned to this entry.
type Connector struct {
	opts      Options
	grp       *group.Group
	dialSlots chan struct{}

	mu         sync.Mutex
	assignment *Assignment
	sessions   map[string]*session     // by the agent's name
	retired    map[*link.Conn]struct{} // open until their streams have ended, without new calls
}

// session maintains the connection to one agent at one address. It redials until it is retired.
type session struct {
	addr   string
	cancel context.CancelFunc // stops redialling and retires the connection, which outlives it
}

// New returns a Connector that runs until grp stops.
func New(grp *group.Group, opts Options) *Connector {
	cnr := &Connector{
		opts: opts, grp: grp, assignment: NewAssignment(opts.Self, opts.Fanout), sessions: make(map[string]*session),
		dialSlots: make(chan struct{}, maxConcurrentDials), retired: make(map[*link.Conn]struct{}),
	}
	grp.Go("vm list", func(ctx context.Context) error {
		cnr.watchList(ctx)
		return nil
	})
	return cnr
}

// Agents returns all live agents of the list, whichever entry they are assigned to.
func (cnr *Connector) Agents() []vmlist.VM {
	cnr.mu.Lock()
	defer cnr.mu.Unlock()
	list := make([]vmlist.VM, 0, len(cnr.assignment.agents))
	for _, agt := range cnr.assignment.agents {
		list = append(list, agt.vm)
	}
	return list
}

// Retired tells whether a connection stays open only until its streams have ended. It must get no new calls, even while
// its agent still sends load reports.
func (cnr *Connector) Retired(con *link.Conn) bool {
	cnr.mu.Lock()
	defer cnr.mu.Unlock()
	_, yes := cnr.retired[con]
	return yes
}

// watchList applies changes of the list until ctx is done. During an outage the last known list stays active.
func (cnr *Connector) watchList(ctx context.Context) {
	revision, failures := int64(0), 0
	for ctx.Err() == nil {
		chg, err := cnr.opts.ListChanges(ctx, revision, longPollWait)
		if err != nil {
			failures++
			cnr.opts.Metrics.CountEvent("vm-list-unavailable")
			cnr.opts.Log.V(1).Info("member: cannot read the VM list", "error", err.Error())
			_ = cnr.opts.Clock.Sleep(ctx, Backoff(failures))
			continue
		}
		failures = 0
		if !cnr.applyChanges(chg) {
			_ = cnr.opts.Clock.Sleep(ctx, maxBackoff)
			continue
		}
		revision = chg.Revision
	}
}

// applyChanges applies an answer of the list. It returns false if it rejects a complete but empty list while agents are
// known: a list service that was set up anew is far more likely than a deployment that vanished while this entry runs.
func (cnr *Connector) applyChanges(chg vmlist.Changes) bool {
	cnr.mu.Lock()
	defer cnr.mu.Unlock()
	switch {
	case chg.Complete && len(chg.VMs) == 0 && len(cnr.assignment.agents) > 0:
		cnr.opts.Metrics.CountEvent("vm-list-empty")
		cnr.opts.Log.Info("member: VM list is empty, keeping the previous one")
		return false
	case chg.Complete:
		cnr.assignment.Replace(chg.VMs)
	default:
		for _, vm := range chg.VMs {
			cnr.assignment.Apply(vm)
		}
	}
	cnr.reconcile(cnr.assignment.Assigned())
	return true
}

// reconcile starts sessions for newly assigned agents, and retires those of agents that are no longer assigned or have
// a new address. The caller holds the lock.
func (cnr *Connector) reconcile(assigned map[string]vmlist.VM) {
	for name, ses := range cnr.sessions {
		if vm, ok := assigned[name]; !ok || vm.Address != ses.addr {
			ses.cancel()
			delete(cnr.sessions, name)
		}
	}
	for name, vm := range assigned {
		if cnr.sessions[name] != nil || slices.Contains(cnr.opts.ConfiguredAgents, vm.Address) {
			continue
		}
		ctx, cancel := context.WithCancel(cnr.grp.Context())
		cnr.sessions[name] = &session{addr: vm.Address, cancel: cancel}
		cnr.grp.Go("agent "+name, func(context.Context) error {
			cnr.maintainConnection(ctx, vm)
			return nil
		})
	}
}

// maintainConnection dials an agent, and redials it with backoff whenever the connection ends, until ctx is done.
func (cnr *Connector) maintainConnection(ctx context.Context, vm vmlist.VM) {
	failures := 0
	for ctx.Err() == nil {
		con := cnr.dial(ctx, vm)
		if con == nil {
			failures++
			_ = cnr.opts.Clock.Sleep(ctx, Backoff(failures))
			continue
		}
		start := cnr.opts.Clock.Now()
		cnr.runConnection(ctx, con)
		failures++
		if cnr.opts.Clock.Since(start) >= stableAfter {
			failures = 1
		}
		_ = cnr.opts.Clock.Sleep(ctx, Backoff(failures))
	}
}

// dial connects to an agent. It returns nil if that fails, or if another process listens at the agent's address.
func (cnr *Connector) dial(ctx context.Context, vm vmlist.VM) *link.Conn {
	select {
	case cnr.dialSlots <- struct{}{}:
	case <-ctx.Done():
		return nil
	}
	defer func() { <-cnr.dialSlots }()
	// The group's context lets the connection outlive the session until its streams have ended.
	con, err := cnr.opts.Dial(cnr.grp.Context(), vm.Address)
	if err != nil {
		cnr.opts.Log.V(1).Info("member: cannot connect to agent", "agent", vm.Name, "error", err.Error())
		return nil
	}
	if peer := con.Peer(); peer.Name != vm.Name || peer.Role != proto.RoleAgent {
		cnr.opts.Metrics.CountEvent(eventNameMismatch)
		cnr.opts.Log.Info("member: another process listens at the agent's address", "agent", vm.Name, "peer", peer.Name)
		con.Close()
		cnr.opts.OnRetired(con)
		return nil
	}
	return con
}

// runConnection reports the connection to OnConnected and OnRetired, and returns when it has ended. When ctx is done,
// it retires the connection: there are no new calls on it, and it is closed once its streams have ended.
func (cnr *Connector) runConnection(ctx context.Context, con *link.Conn) {
	log := cnr.opts.Log.WithValues("agent", con.Peer().Name)
	cnr.opts.OnConnected(con)
	log.Info("member: agent connected")
	select {
	case <-con.Done():
		cnr.opts.OnRetired(con)
		log.Info("member: agent connection lost")
		return
	case <-ctx.Done():
	}
	cnr.mu.Lock()
	cnr.retired[con] = struct{}{}
	cnr.mu.Unlock()
	cnr.opts.OnRetired(con)
	log.Info("member: agent retired, no new work")
	// Sleeping before the first check leaves time for a stream that is being opened because the connection was chosen
	// just before OnRetired.
	for cnr.opts.Clock.Sleep(cnr.grp.Context(), drainPollInterval) == nil {
		if con.OpenStreams() == 0 {
			break
		}
	}
	con.Close()
	cnr.opts.OnRetired(con)
	cnr.mu.Lock()
	delete(cnr.retired, con)
	cnr.mu.Unlock()
}
