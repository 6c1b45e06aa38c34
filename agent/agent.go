// Package agent implements the process that runs beside each upstream, a model engine or a plain service. Calls reach
// the upstream only through its agent. The agent queues and dispatches requests, watches the engine's health and
// crashes, reserves KV memory for parts of split prompts, runs non-idempotent calls at most once, and reports its load
// to the entries.
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

// Agent accepts calls from entries and runs them on one upstream.
type Agent struct {
	clock            *timer.Service
	log              logr.Logger
	metrics          *metric.Set
	local            proto.Peer
	engine           *engine.Client
	engineAddress    string // address at which other engines fetch segments from this one
	model            *cost.Model
	ledger           *ledger.Ledger
	queue            *admit.Queue
	gracePeriod      time.Duration
	graceEnded       context.Context    // done when the grace period of a planned stop has passed
	endGrace         context.CancelFunc // cancels graceEnded
	reportNow        chan struct{}      // signals the report loop
	reclaimNow       chan struct{}      // signals the reclaim loop
	pollNow          chan struct{}      // signals the poll loop
	plain            *plain.Client      // set if the upstream is a plain service
	once             *once.Recorder     // set if the upstream is a plain service and platform.log is set
	maxOnceBodyBytes int64              // longest body of a non-idempotent call, in bytes
	address          string             // on which the agent listens
	config           *configuration
	crashes          crashHandler
	// shortLimit is the longest prompt that counts as short, in tokens.
	shortLimit int

	mu          sync.Mutex
	conns       map[*link.Conn]struct{}
	attempts    map[string]struct{}      // attempts without a result
	cancelling  map[string]*admit.Ticket // attempts that the engine may still run after their result; nil for orphans
	draining    bool                     // Drain has been called
	loading     bool                     // the engine is loading a version
	version     string                   // of the loaded model, as the engine reports it
	healthy     bool                     // the upstream responds
	swept       bool                     // orphans have been looked for on the engine since the start
	failedPolls int                      // failed polls in a row
}

// New starts an Agent in grp. It returns once the agent listens.
func New(
	grp *group.Group, set *config.Settings, sec *config.Secrets, clk *timer.Service, log logr.Logger,
) (*Agent, error) {
	agt := &Agent{
		clock:         clk,
		log:           log,
		metrics:       metric.New(),
		engine:        engine.New(config.AgentUpstream.Of(set)),
		engineAddress: cmp.Or(config.AgentPeerAddress.Of(set), config.AgentUpstream.Of(set)),
		model:         cost.NewModel(),
		ledger:        ledger.New(config.AgentShortHeadroom.Of(set)),
		gracePeriod:   config.ProcessGrace.Of(set),

		shortLimit: config.AgentShortLimit.Of(set),

		reportNow:  make(chan struct{}, 1),
		reclaimNow: make(chan struct{}, 1),
		pollNow:    make(chan struct{}, 1),
		conns:      make(map[*link.Conn]struct{}),
		attempts:   make(map[string]struct{}),
		cancelling: make(map[string]*admit.Ticket),
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
	agt.graceEnded, agt.endGrace = context.WithCancel(context.Background())
	agt.queue = admit.New(admit.Options{
		Clock: clk, Model: agt.model, Ledger: agt.ledger,
		ShortBias:  config.AgentShortBias.Of(set),
		ShortLimit: agt.shortLimit,
		Window:     config.AgentEngineWindow.Of(set),
		Limit:      config.AgentQueueLimit.Of(set),
		Changed:    func() { signal(agt.reportNow) },
	})
	agt.config = newConfiguration(grp, agt.local.Name, agt.report, clk, log, agt.metrics)
	agt.config.onCrash = agt.broadcastReport
	agt.crashes.agent = agt
	agt.crashes.unlistedGrace = unlistedGrace
	agt.crashes.enabled = config.CrashAttributionEnabled.Of(set)
	agt.crashes.suspects = agt.config.suspects
	agt.crashes.suspectFor = config.CrashSuspectTime.Of(set)
	agt.crashes.blockFor = config.CrashBlockTime.Of(set)
	agt.crashes.start(grp)
	if agt.local.Kind == proto.UpstreamPlain {
		agt.plain = plain.New(config.AgentUpstream.Of(set))
		agt.startOnce(grp, set)
		agt.healthy = true // A plain service has no load report to poll; its failures show in the results of calls.
	} else {
		agt.queue.Refuse(ReasonUnavailable)
		agt.registerMemoryGauges()
		grp.Go("poll", agt.pollLoop)
		grp.Go("sweep", agt.sweepLoop)
		grp.Go("reclaim", agt.reclaimLoop)
		agt.startRollOut(grp, set)
	}
	grp.Go("report", agt.reportLoop)
	return agt, agt.listen(grp, config.ProcessListen.Of(set), sec)
}

// Address returns the address on which the agent listens.
func (agt *Agent) Address() string { return agt.address }

// Ready reports whether the agent accepts calls: its upstream responds, and the agent is not draining.
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
			return proto.KindReport, agt.config.addEntries(agt.report())
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

// connected registers the connection of an entry and sends it a first report.
func (agt *Agent) connected(con *link.Conn) {
	agt.log.Info("agent: entry connected", "entry", con.Peer().Name)
	agt.mu.Lock()
	agt.conns[con] = struct{}{}
	agt.mu.Unlock()
	_ = con.Send(proto.KindReport, agt.config.addEntries(agt.report()))
	go func() {
		<-con.Done()
		agt.mu.Lock()
		delete(agt.conns, con)
		agt.mu.Unlock()
		agt.log.Info("agent: entry disconnected", "entry", con.Peer().Name)
	}()
}
