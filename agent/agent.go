// Package agent is the role of the process beside each upstream. It is the authority for that upstream: nothing reaches
// the upstream but through it.
package agent

import (
	"cmp"
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"github.com/tarragonwheel/tarragonwheel/admit"
	"github.com/tarragonwheel/tarragonwheel/config"
	"github.com/tarragonwheel/tarragonwheel/cost"
	"github.com/tarragonwheel/tarragonwheel/engine"
	"github.com/tarragonwheel/tarragonwheel/group"
	"github.com/tarragonwheel/tarragonwheel/httpd"
	"github.com/tarragonwheel/tarragonwheel/ledger"
	"github.com/tarragonwheel/tarragonwheel/link"
	"github.com/tarragonwheel/tarragonwheel/metric"
	"github.com/tarragonwheel/tarragonwheel/once"
	"github.com/tarragonwheel/tarragonwheel/plain"
	"github.com/tarragonwheel/tarragonwheel/proto"
	"github.com/tarragonwheel/tarragonwheel/timer"
)

// Agent serves entries on behalf of one upstream.
type Agent struct {
	clock   *timer.Service
	log     logr.Logger
	metrics *metric.Set
	local   proto.Peer
	engine  *engine.Client
	peer    string // address at which other engines reach this one
	model   *cost.Model
	ledger  *ledger.Ledger
	queue   *admit.Queue
	grace   time.Duration
	cut     context.Context // ends when the grace period of a planned stop has passed
	cutNow  context.CancelFunc
	changed chan struct{}  // wakes the report loop
	reclaim chan struct{}  // wakes the reclaim loop
	pollNow chan struct{}  // wakes the poll loop
	plain   *plain.Client  // set if the upstream is a plain service
	once    *once.Recorder // set if, in addition, there is a log
	maxOnce int64          // longest body of a non-idempotent call, in bytes
	address string
	config  *configuration
	crashes crashes
	// shortLimit is the longest prompt that counts as short, in tokens.
	shortLimit int

	mu       sync.Mutex
	conns    map[*link.Conn]struct{}
	attempts map[string]struct{}      // all that are being served
	lost     map[string]*admit.Ticket // ended without the engine's completion, possibly still on the engine
	draining bool
	rolling  bool   // the engine is loading a version
	version  string // that the engine has loaded, as it says
	healthy  bool
	listed   bool // the engine's requests have been listed since the start
	failures int  // failed polls in a row
}

// New starts an Agent in grp. It returns once the agent listens.
func New(
	grp *group.Group, set *config.Settings, sec *config.Secrets, clk *timer.Service, log logr.Logger,
) (*Agent, error) {
	agt := &Agent{
		clock:   clk,
		log:     log,
		metrics: metric.New(),
		engine:  engine.New(config.AgentUpstream.Of(set)),
		peer:    cmp.Or(config.AgentPeerAddress.Of(set), config.AgentUpstream.Of(set)),
		model:   cost.NewModel(),
		ledger:  ledger.New(config.AgentShortHeadroom.Of(set)),
		grace:   config.ProcessGrace.Of(set),

		shortLimit: config.AgentShortLimit.Of(set),

		changed:  make(chan struct{}, 1),
		reclaim:  make(chan struct{}, 1),
		pollNow:  make(chan struct{}, 1),
		conns:    make(map[*link.Conn]struct{}),
		attempts: make(map[string]struct{}),
		lost:     make(map[string]*admit.Ticket),
		local: proto.Peer{
			Name:        config.ProcessName.Of(set),
			Role:        proto.RoleAgent,
			Incarnation: proto.NewIncarnation(),
			DataCentre:  config.ProcessDataCentre.Of(set),
			Kind:        proto.UpstreamKind(config.AgentKind.Of(set)),
			Serves:      config.AgentServes.Of(set),
		},
	}
	agt.ledger.SetPartShare(config.AgentPartShare.Of(set))
	agt.cut, agt.cutNow = context.WithCancel(context.Background())
	agt.queue = admit.New(admit.Options{
		Clock: clk, Model: agt.model, Ledger: agt.ledger,
		ShortBias:  config.AgentShortBias.Of(set),
		ShortLimit: agt.shortLimit,
		Window:     config.AgentEngineWindow.Of(set),
		Limit:      config.AgentQueueLimit.Of(set),
		Changed:    func() { wake(agt.changed) },
	})
	agt.config = newConfiguration(grp, agt.local.Name, agt.report, clk, log, agt.metrics)
	agt.config.heard = agt.sendReports
	agt.crashes.agent = agt
	agt.crashes.grace = goneGrace
	agt.crashes.on = config.CrashAttributionEnabled.Of(set)
	agt.crashes.suspects = agt.config.suspects
	agt.crashes.suspectFor = config.CrashSuspectTime.Of(set)
	agt.crashes.blockFor = config.CrashBlockTime.Of(set)
	agt.crashes.start(grp)
	if agt.local.Kind == proto.UpstreamPlain {
		agt.plain = plain.New(config.AgentUpstream.Of(set))
		agt.startOnce(grp, set)
		agt.healthy = true // A plain service has no load to poll; failed calls show its state.
	} else {
		agt.queue.Refuse(ReasonUnavailable)
		agt.exposeMemory()
		grp.Go("poll", agt.pollLoop)
		grp.Go("sweep", agt.sweepLoop)
		grp.Go("reclaim", agt.reclaimLoop)
		agt.startRoller(grp, set)
	}
	grp.Go("report", agt.reportLoop)
	return agt, agt.listen(grp, config.ProcessListen.Of(set), sec)
}

// Address returns the address on which the agent listens.
func (agt *Agent) Address() string { return agt.address }

// Ready tells whether the agent takes work: its upstream answers, and it is not stopping.
func (agt *Agent) Ready() bool {
	agt.mu.Lock()
	defer agt.mu.Unlock()
	return agt.healthy && !agt.draining
}

// Metrics returns the agent's metrics.
func (agt *Agent) Metrics() *metric.Set { return agt.metrics }

func (agt *Agent) listen(grp *group.Group, addr string, sec *config.Secrets) error {
	opts := link.Options{
		Secret:  sec.Deployment(),
		Local:   agt.local,
		Clock:   agt.clock,
		Metrics: agt.metrics,
		Log:     agt.log,
		Heartbeats: link.NewHeartbeats(grp, agt.clock, func() (proto.Kind, any) {
			return proto.KindReport, agt.report()
		}),
		OnFrame: agt.config.onFrame,
		OnOpen:  agt.serve,
	}
	mux := http.NewServeMux()
	mux.Handle(link.Path, link.Handler(grp.Context(), opts, agt.connected))
	srv, err := httpd.Serve(grp, "entries", addr, mux)
	if err != nil {
		return fmt.Errorf("agent: %w", err)
	}
	agt.address = srv.Address()
	return nil
}

func (agt *Agent) connected(con *link.Conn) {
	agt.log.Info("agent: entry connected", "entry", con.Peer().Name)
	agt.mu.Lock()
	agt.conns[con] = struct{}{}
	agt.mu.Unlock()
	_ = con.Send(proto.KindReport, agt.report())
	go func() {
		<-con.Done()
		agt.mu.Lock()
		delete(agt.conns, con)
		agt.mu.Unlock()
		agt.log.Info("agent: entry disconnected", "entry", con.Peer().Name)
	}()
}
