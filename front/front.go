// Package front is the role of a process behind the users' load balancer: it serves clients and sends their calls to
// replicas itself.
//
// All that it keeps comes from the platform's store and is kept in memory. It serves through outages of the store with
// what it last knew.
package front

import (
	"context"
	"fmt"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"github.com/tarragonwheel/tarragonwheel/config"
	"github.com/tarragonwheel/tarragonwheel/fleet"
	"github.com/tarragonwheel/tarragonwheel/follow"
	"github.com/tarragonwheel/tarragonwheel/group"
	"github.com/tarragonwheel/tarragonwheel/httpd"
	"github.com/tarragonwheel/tarragonwheel/metric"
	"github.com/tarragonwheel/tarragonwheel/peers"
	"github.com/tarragonwheel/tarragonwheel/place"
	"github.com/tarragonwheel/tarragonwheel/platform"
	"github.com/tarragonwheel/tarragonwheel/pool"
	"github.com/tarragonwheel/tarragonwheel/relay"
	"github.com/tarragonwheel/tarragonwheel/rules"
	"github.com/tarragonwheel/tarragonwheel/timer"
)

// Times of the calls to the store.
const (
	storeDialTimeout = 500 * time.Millisecond
	storeTimeout     = 600 * time.Millisecond // for an answer, beyond the wait that was asked for
	sweepInterval    = 200 * time.Millisecond
	// drainReads is the number of reads within the time in which a draining replica must get no more calls. It leaves
	// time for one read that fails.
	drainReads = 2.2
)

// Front is a running front.
type Front struct {
	group    *group.Group
	clock    *timer.Service
	log      logr.Logger
	set      *config.Settings                // at the start of the process
	settings atomic.Pointer[config.Settings] // the newest ones
	metrics  *metric.Set
	fleet    *fleet.Fleet
	relay    *relay.Relay
	pool     *pool.Pool
	store    *platform.Store
	blame    *relay.CrashTracker
	peers    *peers.Exchange // nil if there is none
	rules    atomic.Pointer[rules.Set]
	listed   atomic.Bool // the replicas have been read once
	leaving  atomic.Bool
	started  time.Time
	clients  *clients
	ready    *httpd.Server
}

// New starts a front in grp. It returns a trace.ConnectionProblem error if a listener cannot be opened.
func New(
	grp *group.Group, set *config.Settings, clk *timer.Service, log logr.Logger, mts *metric.Set,
) (*Front, error) {
	frt := &Front{group: grp, clock: clk, log: log, set: set, metrics: mts, started: clk.Now()}
	frt.settings.Store(set)
	frt.pool = pool.New(clk)
	frt.fleet = fleet.New(clk, log, frt.pool.CloseIdle)
	dialer := pool.Dialer(storeDialTimeout)
	transport := &http.Transport{DialContext: dialer.DialContext, DisableCompression: true}
	frt.store = platform.NewStore(config.FrontStore.Of(set), transport)
	frt.blame = relay.NewCrashTracker(clk, frt.tellCrash)
	if err := frt.startPeers(); err != nil {
		return nil, err
	}
	frt.relay = relay.New(frt.relayOptions(transport))
	if err := frt.listen(); err != nil {
		return nil, err
	}
	frt.follow()
	grp.Go("sweep", func(ctx context.Context) error {
		for clk.Sleep(ctx, sweepInterval) == nil {
			frt.fleet.RemoveExpired()
			frt.clients.sweep(frt.idleTime())
		}
		return nil
	})
	return frt, nil
}

func (frt *Front) relayOptions(transport *http.Transport) relay.Options {
	return relay.Options{
		Clock: frt.clock, Log: frt.log, Metrics: frt.metrics,
		Codec: relay.Codec{
			ReadCall: platform.ReadCall, WriteCall: platform.WriteCall, ReadReply: platform.ReadReply,
			WriteReply: platform.WriteReply, WriteRefusal: platform.WriteRefusal,
		},
		Rules: frt.inForce, Fleet: frt.fleet, Pool: frt.pool,
		Reserver: relay.NewReserver(frt.clock, frt.log,
			platform.NewReplicaAPI(&http.Client{Transport: transport})),
		Crashes:       frt.blame,
		RetryLimits:   frt.terms,
		BudgetSharers: frt.sharers,
		LoadUnknown:   frt.unsure,
		Policy:        place.PolicyFor(config.FrontPlacement.Of(frt.set)),
		DataCentre:    config.ProcessDataCentre.Of(frt.set),
		HoldLimit:     config.FrontHoldLimit.Of(frt.set),
		OnTaskChange:  frt.tellMove,
	}
}

// listen opens the listeners for clients and for the load balancer.
func (frt *Front) listen() error {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+platform.ReadyPath, func(rw http.ResponseWriter, _ *http.Request) {
		if !frt.Ready() {
			rw.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	srv, err := httpd.Serve(frt.group, "ready", config.FrontReady.Of(frt.set), mux)
	if err != nil {
		return fmt.Errorf("front: %w", err)
	}
	frt.ready = srv
	frt.clients, err = listenClients(frt.group, config.ProcessListen.Of(frt.set), frt.clock, frt.relay)
	if err != nil {
		return fmt.Errorf("front: %w", err)
	}
	return nil
}

// follow keeps configuration and replicas up to date.
func (frt *Front) follow() {
	follow.Start(frt.group, follow.Options{
		Name: "configuration", Clock: frt.clock, Log: frt.log, Source: frt.store.OperatorRecords(),
		LongPollTime: config.FrontConfigTime.Of(frt.set), // It answers at once when something changes.
		ReadTimeout:  storeTimeout,
		OnList: func(list []follow.Record) {
			for _, rec := range list {
				frt.takeConfig(rec)
			}
		},
		OnChange: frt.takeConfig,
	})
	follow.Start(frt.group, follow.Options{
		Name: "replicas", Clock: frt.clock, Log: frt.log, Source: frt.store.ReplicaRegistrations(),
		ReadInterval: time.Duration(float64(config.FrontDrainTime.Of(frt.set)) / drainReads), ReadTimeout: storeTimeout,
		OnList: frt.replaceReplicas, OnChange: frt.takeReplica,
		OnRecovered: func(time.Duration) { frt.fleet.StoreOutageEnded() },
	})
}

// takeConfig puts a configuration in force if it is newer than the one in force.
func (frt *Front) takeConfig(rec follow.Record) {
	if !platform.IsConfig(rec.Key) || rec.Value == nil {
		return
	}
	spc, err := platform.ReadConfig(rec.Value)
	if err != nil {
		frt.log.Error(err, "front: configuration cannot be read")
		return
	}
	old := frt.rules.Load()
	if old != nil && old.Version() >= spc.Version {
		return
	}
	frt.rules.Store(rules.New(spc))
	frt.log.Info("front: configuration in force", "version", spc.Version, "routes", len(spc.Routes),
		"services", len(spc.Services), "accounts", len(spc.Accounts))
}

func (frt *Front) takeReplica(rec follow.Record) {
	if rec.Value == nil {
		frt.fleet.Unregister(rec.Key)
		return
	}
	reg, err := platform.ReadReplica(rec.Key, rec.Value)
	if err != nil {
		frt.log.V(1).Info("front: registration names no usable replica", "replica", rec.Key, "error", err.Error())
		return
	}
	frt.fleet.UpdateRegistration(reg)
}

func (frt *Front) replaceReplicas(list []follow.Record) {
	regs := make([]fleet.Registration, 0, len(list))
	for _, rec := range list {
		reg, err := platform.ReadReplica(rec.Key, rec.Value)
		if err != nil {
			frt.log.Info("front: registration names no usable replica", "replica", rec.Key, "error", err.Error())
			continue
		}
		regs = append(regs, reg)
	}
	frt.fleet.ReplaceRegistrations(regs)
	frt.listed.Store(true)
	frt.log.Info("front: replicas listed", "replicas", len(regs))
}

func (frt *Front) idleTime() time.Duration {
	if set := frt.rules.Load(); set != nil {
		return set.Limits().IdleTime
	}
	return 0
}

// inForce returns the configuration, or nil while configuration or replicas are not known.
func (frt *Front) inForce() *rules.Set {
	if !frt.listed.Load() {
		return nil
	}
	return frt.rules.Load()
}

// Ready tells whether the front can serve clients.
func (frt *Front) Ready() bool {
	return !frt.leaving.Load() && frt.rules.Load() != nil && frt.listed.Load()
}

// Address returns the address for clients.
func (frt *Front) Address() string { return frt.clients.address() }
