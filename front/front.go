// Package front is the process role that runs behind the users' load balancer, serves clients and sends their calls to
// replicas.
//
// A front keeps its state in memory only. The configuration and the registered replicas come from the platform's store;
// during an outage of the store it goes on serving with what it last read.
package front

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"github.com/tarragonwheel/tarragonwheel/cause"
	"github.com/tarragonwheel/tarragonwheel/config"
	"github.com/tarragonwheel/tarragonwheel/evac"
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

// Timeouts and intervals of a front.
const (
	storeDialTimeout = 500 * time.Millisecond
	storeTimeout     = 600 * time.Millisecond // for a response, on top of the time that a long poll waits
	sweepInterval    = 200 * time.Millisecond // between removals of expired replicas and of idle connections
	// replicaIdleTimeout is the time after which a connection for reservations and reports is closed, so that none is
	// kept to a replica that has left.
	replicaIdleTimeout = 4 * time.Second
)

const (
	bytesPerMB = 1 << 20
	// bufferShare is the divisor of the memory of the process that gives the memory for bodies and events. Growing
	// buffers take up to three times what they hold.
	bufferShare = 6
)

// Front is a running front.
type Front struct {
	group           *group.Group
	clock           *timer.Service
	log             logr.Logger
	odd             *oddRecords
	startSettings   *config.Settings                // from the start of the process
	settings        atomic.Pointer[config.Settings] // reloaded from the file
	metrics         *metric.Set
	fleet           *fleet.Fleet
	relay           *relay.Relay
	pool            *pool.Pool
	store           *platform.Store
	crashes         *cause.Tracker
	evacuations     *evac.Tracker
	freeze          freezeWatch
	peers           *peers.Exchange // nil if no address for the exchange is configured
	following       chan struct{}   // closed when the followers have been set
	configFollower  *follow.Follower
	replicaFollower *follow.Follower
	peerFollower    atomic.Pointer[follow.Follower]
	catchingUp      atomic.Bool // a check is due whether this front has the version of a peer
	storeEra        storeEra
	rules           atomic.Pointer[rules.Set]
	configMu        sync.Mutex   // held while the rules are replaced
	configRecord    configRecord // of the rules; guarded by configMu
	replicasKnown   atomic.Bool  // the list of replicas has been read at least once
	draining        atomic.Bool
	started         time.Time
	clientServer    *clientServer
	readyServer     *httpd.Server
}

// New starts a front in grp. It returns a trace.ConnectionProblem error if a listener cannot be opened.
func New(
	grp *group.Group, set *config.Settings, clk *timer.Service, log logr.Logger, mts *metric.Set,
) (*Front, error) {
	frt := &Front{
		group: grp, clock: clk, log: log, startSettings: set, metrics: mts, started: clk.Now(),
		following: make(chan struct{}), odd: &oddRecords{clock: clk, log: log},
	}
	frt.settings.Store(set)
	frt.pool = pool.New(clk)
	frt.fleet = fleet.New(clk, log, frt.pool.CloseIdle)
	dialer := pool.Dialer(storeDialTimeout)
	transport := &http.Transport{
		DialContext: dialer.DialContext, DisableCompression: true, MaxResponseHeaderBytes: maxHeaderBytes,
	}
	frt.store = platform.NewStore(config.FrontStore.Of(set), transport)
	frt.fleet.SetPace(fleet.PaceOptions{Fronts: frt.knownFronts, CountEvent: mts.CountEvent})
	frt.crashes = cause.New(cause.Options{Clock: clk, Log: log, OnCrash: frt.sendCrash, OnAnswers: frt.sendAnswers})
	frt.evacuations = evac.New(evac.Options{Clock: clk, Log: log, OnChange: frt.setEvacuated})
	if err := frt.startPeers(); err != nil {
		return nil, err
	}
	frt.relay = relay.New(frt.relayOptions(transport))
	if err := frt.listen(); err != nil {
		return nil, err
	}
	frt.followStore()
	grp.Go("sweep", func(ctx context.Context) error {
		for clk.Sleep(ctx, sweepInterval) == nil {
			frt.fleet.RemoveExpired()
			frt.evacuations.RemoveExpired()
			frt.hasMissedRecords() // Also notices a stop while there are no calls.
			frt.clientServer.closeExpired(frt.idleTimeout())
		}
		return nil
	})
	return frt, nil
}

func (frt *Front) relayOptions(transport *http.Transport) relay.Options {
	toReplicas := transport.Clone()
	toReplicas.IdleConnTimeout = replicaIdleTimeout
	return relay.Options{
		Clock: frt.clock, Log: frt.log, Metrics: frt.metrics,
		Codec: relay.Codec{
			ReadCall: platform.ReadCall, WriteCall: platform.WriteCall, ReadReply: platform.ReadReply,
			WriteReply: platform.WriteReply, WriteErrorHeaders: platform.WriteErrorHeaders,
		},
		Rules: frt.activeRules, Fleet: frt.fleet, Pool: frt.pool,
		Reserver: relay.NewReserver(frt.clock, frt.log,
			platform.NewReplicaAPI(toReplicas, frt.recordReplicaNotice)),
		Crashes:               frt.crashes,
		RetryLimits:           frt.retryLimits,
		BudgetProcesses:       frt.budgetProcesses,
		LoadUnknown:           frt.loadUnknown,
		Policy:                place.PolicyFor(config.FrontPlacement.Of(frt.startSettings)),
		DataCentre:            config.ProcessDataCentre.Of(frt.startSettings),
		Regions:               frt.regions,
		BufferBytes:           int64(config.FrontMemory.Of(frt.startSettings)) * bytesPerMB / bufferShare,
		ReservationUseTimeout: config.FrontReservationUseTimeout.Of(frt.startSettings),
		OnTaskChange:          frt.sendTaskChange,
		ClaimTime:             config.FrontClaimTime.Of(frt.startSettings),
		ShareAccounts:         config.FrontShareAccounts.Of(frt.startSettings),
		DrainTime:             config.FrontDrainTime.Of(frt.startSettings),
		RegistrationsAge:      frt.registrationsAge,
		OnReplicaLeaving:      frt.sendReplicaLeaving,
		AwaitOperatorTopic:    frt.awaitOperatorTopic,
		OnReplicaCold:         frt.sendReplicaCold,
	}
}

// listen opens the listeners for clients and for the load balancer's readiness checks.
func (frt *Front) listen() error {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+platform.ReadyPath, func(rw http.ResponseWriter, _ *http.Request) {
		if !frt.Ready() {
			rw.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	srv, err := httpd.Serve(frt.group, "ready", config.FrontReady.Of(frt.startSettings), mux)
	if err != nil {
		return fmt.Errorf("front: %w", err)
	}
	frt.readyServer = srv
	addr := config.ProcessListen.Of(frt.startSettings)
	frt.clientServer, err = startClientServer(frt.group, addr, frt.clock, frt.relay)
	if err != nil {
		return fmt.Errorf("front: %w", err)
	}
	return nil
}

// idleTimeout returns how long a client connection may be idle, 0 for no limit.
func (frt *Front) idleTimeout() time.Duration {
	if set := frt.rules.Load(); set != nil {
		return set.Limits().IdleTimeout
	}
	return 0
}

// activeRules returns the active configuration, or nil until the configuration, the replicas and the evacuated data
// centres are known.
func (frt *Front) activeRules() *rules.Set {
	if !frt.replicasKnown.Load() || !frt.evacuations.Known() {
		return nil
	}
	return frt.rules.Load()
}

// Ready reports whether the front can serve clients: configuration, replicas and evacuated data centres are known, and
// it is not draining.
func (frt *Front) Ready() bool {
	return !frt.draining.Load() && frt.activeRules() != nil
}

// Address returns the address on which the front serves clients.
func (frt *Front) Address() string { return frt.clientServer.address() }
