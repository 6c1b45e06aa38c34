// Package entry implements the role of the process that faces callers. It routes each call to an agent, the process
// beside an upstream, and relays the response. It retries failed attempts within a budget, resumes token streams,
// splits prompts that are too long for one engine, enforces the token limits of client accounts, and blocks requests
// that crash engines.
package entry

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"github.com/tarragonwheel/tarragonwheel/config"
	"github.com/tarragonwheel/tarragonwheel/duty"
	"github.com/tarragonwheel/tarragonwheel/edge"
	"github.com/tarragonwheel/tarragonwheel/group"
	"github.com/tarragonwheel/tarragonwheel/httpd"
	"github.com/tarragonwheel/tarragonwheel/link"
	"github.com/tarragonwheel/tarragonwheel/member"
	"github.com/tarragonwheel/tarragonwheel/metric"
	"github.com/tarragonwheel/tarragonwheel/proto"
	"github.com/tarragonwheel/tarragonwheel/quota"
	"github.com/tarragonwheel/tarragonwheel/retry"
	"github.com/tarragonwheel/tarragonwheel/route"
	"github.com/tarragonwheel/tarragonwheel/timer"
)

const redialDelay = 500 * time.Millisecond

// Entry accepts calls and dispatches them to agents.
type Entry struct {
	clock   *timer.Service
	log     logr.Logger
	metrics *metric.Set
	opts    link.Options
	slots   int // number of slots that at-most-once records are divided into

	table    *route.Table
	config   *configuration
	budget   *retry.Budget
	limits   *quota.Limiter
	rollouts *duty.RollOuts
	drain    *drainState
	server   *httpd.Server

	members atomic.Pointer[member.Connector] // nil without a VM list

	copies copyTracker
	acks   *crashAcks

	mu       sync.Mutex
	conns    map[string]*link.Conn // by the agent's name
	versions map[string]string     // model version that the engine has loaded, by the agent's name
}

// New starts an Entry in grp. It returns once the entry listens for callers, or with an error if it cannot listen.
func New(
	grp *group.Group, set *config.Settings, sec *config.Secrets, clk *timer.Service, log logr.Logger,
) (*Entry, error) {
	ent := &Entry{
		clock: clk, log: log, metrics: metric.New(), acks: newCrashAcks(),
		conns: make(map[string]*link.Conn), versions: make(map[string]string),
	}
	ent.slots = config.OnceSlots.Of(set)
	ent.drain = newDrainState(set)
	ent.limits = quota.New(quota.Options{
		Clock: clk, Self: config.ProcessName.Of(set),
		Limit: func(account string) int { return ent.config.store.Limit(account) },
	})
	ent.config = newConfiguration(grp, set, clk, log, ent.metrics, ent.newHeartbeat)
	ent.table = route.NewTable(route.Options{
		Clock:       clk,
		DataCentre:  config.ProcessDataCentre.Of(set),
		RemoteDelay: config.EntryRemoteDelay.Of(set),
		Drained:     ent.config.store.Drained,
		Policy:      config.EntryPolicy.Of(set),
	})
	ent.budget = retry.NewBudget(config.EntryRetryFraction.Of(set), nil)
	ent.opts = link.Options{
		Secret:     sec.Deployment(),
		Clock:      clk,
		Metrics:    ent.metrics,
		Log:        log,
		OnFrame:    ent.onFrame,
		Heartbeats: link.NewHeartbeats(grp, clk, ent.config.heartbeat),
		Local: proto.Peer{
			Name:        config.ProcessName.Of(set),
			Role:        proto.RoleEntry,
			Incarnation: proto.NewIncarnation(),
			DataCentre:  config.ProcessDataCentre.Of(set),
		},
	}
	for _, addr := range config.EntryAgents.Of(set) {
		grp.Go("agent "+addr, func(ctx context.Context) error {
			ent.stayConnected(ctx, addr)
			return nil
		})
	}
	ent.startMembers(grp, set)
	ent.startRollOuts(grp, set)
	srv := &edge.Server{
		Settings: set, Secrets: sec, Clock: clk, Log: log, Metrics: ent.metrics, Dispatch: ent.dispatch,
		Models: ent.models,
		MayExist: func(knd proto.UpstreamKind, name string) bool {
			return ent.table.EverConnected(route.Target{Kind: knd, Serves: name})
		},
		Retryable: ent.config.store.Retryable,
		Ready:     ent.Ready,
	}
	return ent, ent.listen(grp, config.ProcessListen.Of(set), srv.Handler())
}

// Address returns the address on which the entry listens for callers.
func (ent *Entry) Address() string { return ent.server.Address() }

// Ready reports whether the balancer in front may send callers to this entry: its configuration is known, an agent is
// usable, and the entry is not draining.
func (ent *Entry) Ready() bool {
	return !ent.drain.draining() && ent.config.store.Ready() && ent.table.Ready()
}

// Metrics returns the entry's metrics.
func (ent *Entry) Metrics() *metric.Set { return ent.metrics }

func (ent *Entry) listen(grp *group.Group, addr string, hdl http.Handler) error {
	srv, err := httpd.Serve(grp, "callers", addr, ent.drain.closeKeepAlive(hdl))
	if err != nil {
		return fmt.Errorf("entry: %w", err)
	}
	ent.server = srv
	return nil
}
