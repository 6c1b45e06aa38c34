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
	queryWait     = 20 * time.Second
	retireCheck   = 250 * time.Millisecond // between two looks at the streams of a retired connection
	reasonNotSelf = "agent-name-mismatch"
)

// Options configure a Keeper.
type Options struct {
	Self    string // name of this entry
	Fanout  int
	Static  []string // addresses of agents that are dialled by others, and therefore not by the Keeper
	Clock   *timer.Service
	Log     logr.Logger
	Metrics *metric.Set

	// Query asks the list for changes (see vmlist.Client.Since).
	Query func(ctx context.Context, revision int64, wait time.Duration) (vmlist.Changes, error)
	// Dial connects to an agent.
	Dial func(ctx context.Context, addr string) (*link.Conn, error)
	// Up receives each new connection, and Down each one that takes no new work any more: it has ended, or its agent
	// is leaving or is assigned to other entries. Down may be called twice for a connection.
	Up   func(con *link.Conn)
	Down func(con *link.Conn)
}

// Keeper follows the list and keeps a connection to each agent that is assigned to this entry.
type Keeper struct {
	opts  Options
	grp   *group.Group
	dials chan struct{}

	mu       sync.Mutex
	ranks    *Ranks
	sessions map[string]*session     // by the agent's name
	known    bool                    // the list has been received
	retired  map[*link.Conn]struct{} // open, but without new work
}

// session is the connection to one agent at one address, which is redialled until the session is retired.
type session struct {
	addr   string
	cancel context.CancelFunc // ends dialling, but not the connection
}

// New starts a Keeper in grp.
func New(grp *group.Group, opts Options) *Keeper {
	kpr := &Keeper{
		opts: opts, grp: grp, ranks: NewRanks(opts.Self, opts.Fanout), sessions: make(map[string]*session),
		dials: make(chan struct{}, dialLimit), retired: make(map[*link.Conn]struct{}),
	}
	grp.Go("vm list", func(ctx context.Context) error {
		kpr.follow(ctx)
		return nil
	})
	return kpr
}

// Known tells whether the list has been received at least once.
func (kpr *Keeper) Known() bool {
	kpr.mu.Lock()
	defer kpr.mu.Unlock()
	return kpr.known
}

// Agents returns the live agents of the list, of all entries.
func (kpr *Keeper) Agents() []vmlist.VM {
	kpr.mu.Lock()
	defer kpr.mu.Unlock()
	list := make([]vmlist.VM, 0, len(kpr.ranks.agents))
	for _, rkd := range kpr.ranks.agents {
		list = append(list, rkd.vm)
	}
	return list
}

// Retired tells whether a connection is open only until its streams have ended. It must get no new work, even while
// its agent still reports.
func (kpr *Keeper) Retired(con *link.Conn) bool {
	kpr.mu.Lock()
	defer kpr.mu.Unlock()
	_, yes := kpr.retired[con]
	return yes
}

// follow asks for changes until ctx ends. The last list stays in force during an outage.
func (kpr *Keeper) follow(ctx context.Context) {
	revision, failures := int64(0), 0
	for ctx.Err() == nil {
		chg, err := kpr.opts.Query(ctx, revision, queryWait)
		if err != nil {
			failures++
			kpr.opts.Metrics.Event("vm-list-unavailable")
			kpr.opts.Log.V(1).Info("member: VM list not read", "error", err.Error())
			_ = kpr.opts.Clock.Sleep(ctx, Backoff(failures))
			continue
		}
		failures = 0
		if !kpr.apply(chg) {
			_ = kpr.opts.Clock.Sleep(ctx, backoffLimit)
			continue
		}
		revision = chg.Revision
	}
}

// apply returns false if it refuses a complete list without VMs after one with some: a list that was set up anew is
// far more likely than a deployment that has vanished while this entry runs.
func (kpr *Keeper) apply(chg vmlist.Changes) bool {
	kpr.mu.Lock()
	defer kpr.mu.Unlock()
	switch {
	case chg.Complete && len(chg.VMs) == 0 && len(kpr.ranks.agents) > 0:
		kpr.opts.Metrics.Event("vm-list-empty")
		kpr.opts.Log.Info("member: VM list is empty, keeping the last one")
		return false
	case chg.Complete:
		kpr.ranks.Replace(chg.VMs)
	default:
		for _, mac := range chg.VMs {
			kpr.ranks.Apply(mac)
		}
	}
	kpr.known = true
	kpr.reconcile(kpr.ranks.Wanted())
	return true
}

// reconcile starts and retires sessions. The caller holds the lock.
func (kpr *Keeper) reconcile(wanted map[string]vmlist.VM) {
	for name, ses := range kpr.sessions {
		if mac, ok := wanted[name]; !ok || mac.Address != ses.addr {
			ses.cancel()
			delete(kpr.sessions, name)
		}
	}
	for name, mac := range wanted {
		if kpr.sessions[name] != nil || slices.Contains(kpr.opts.Static, mac.Address) {
			continue
		}
		ctx, cancel := context.WithCancel(kpr.grp.Context())
		kpr.sessions[name] = &session{addr: mac.Address, cancel: cancel}
		kpr.grp.Go("agent "+name, func(context.Context) error {
			kpr.keep(ctx, mac)
			return nil
		})
	}
}

// keep dials an agent until ctx ends.
func (kpr *Keeper) keep(ctx context.Context, mac vmlist.VM) {
	failures := 0
	for ctx.Err() == nil {
		con := kpr.dial(ctx, mac)
		if con == nil {
			failures++
			_ = kpr.opts.Clock.Sleep(ctx, Backoff(failures))
			continue
		}
		start := kpr.opts.Clock.Now()
		kpr.use(ctx, con)
		failures++
		if kpr.opts.Clock.Since(start) >= steadyAfter {
			failures = 1
		}
		_ = kpr.opts.Clock.Sleep(ctx, Backoff(failures))
	}
}

// dial returns nil if the agent was not reached, or if another process answers at its address.
func (kpr *Keeper) dial(ctx context.Context, mac vmlist.VM) *link.Conn {
	select {
	case kpr.dials <- struct{}{}:
	case <-ctx.Done():
		return nil
	}
	defer func() { <-kpr.dials }()
	// The connection outlives the session while its streams end.
	con, err := kpr.opts.Dial(kpr.grp.Context(), mac.Address)
	if err != nil {
		kpr.opts.Log.V(1).Info("member: agent not reached", "agent", mac.Name, "error", err.Error())
		return nil
	}
	if peer := con.Peer(); peer.Name != mac.Name || peer.Role != proto.RoleAgent {
		kpr.opts.Metrics.Event(reasonNotSelf)
		kpr.opts.Log.Info("member: another process answers", "agent", mac.Name, "peer", peer.Name)
		con.Close()
		kpr.opts.Down(con)
		return nil
	}
	return con
}

// use returns when the connection has ended. After ctx has ended it gets no new work, and is closed once its streams
// have ended.
func (kpr *Keeper) use(ctx context.Context, con *link.Conn) {
	log := kpr.opts.Log.WithValues("agent", con.Peer().Name)
	kpr.opts.Up(con)
	log.Info("member: agent connected")
	select {
	case <-con.Done():
		kpr.opts.Down(con)
		log.Info("member: agent connection lost")
		return
	case <-ctx.Done():
	}
	kpr.mu.Lock()
	kpr.retired[con] = struct{}{}
	kpr.mu.Unlock()
	kpr.opts.Down(con)
	log.Info("member: agent retired, no new work")
	// The first pause also covers a stream that is being opened on a connection chosen just before Down.
	for kpr.opts.Clock.Sleep(kpr.grp.Context(), retireCheck) == nil {
		if con.OpenStreams() == 0 {
			break
		}
	}
	con.Close()
	kpr.opts.Down(con)
	kpr.mu.Lock()
	delete(kpr.retired, con)
	kpr.mu.Unlock()
}
