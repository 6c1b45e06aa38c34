// Package soak is a randomized fault-injection test. It runs fronts as separate processes against fakes of the
// platform's store, replicas and clients, injects faults from outside, and checks invariants on what clients and
// replicas observe.
//
// The seed determines the kind, order, duration and target of the faults. The processes run in real time, so two runs
// with the same seed are similar but not identical.
package soak

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/tarragonwheel/tarragonwheel/fault"
	"github.com/tarragonwheel/tarragonwheel/group"
	"github.com/tarragonwheel/tarragonwheel/platform/plsim"
	"github.com/tarragonwheel/tarragonwheel/timer"
)

// Options configure a run of the soak.
type Options struct {
	Seed     uint64
	Duration time.Duration // no new round of changes and faults starts after it
	Fronts   int           // number of front processes
	Clients  int           // number of concurrent clients
	Program  string        // path of the tarragonwheel binary, started as "PROGRAM front"
	Dir      string        // directory for the settings and logs of the processes
	Out      io.Writer     // receives the report
}

// Soak is one run: the front processes, the fakes and the schedule of faults.
type Soak struct {
	opts          Options
	rnd           *rand.Rand // for the schedule of faults only; clients have their own
	chk           *checker
	store         *plsim.Store
	proxy         *fault.Proxy
	fronts        []*front
	started       time.Time
	configVersion int          // last one published
	calmPhases    atomic.Int64 // started so far
	faultPhases   atomic.Int64 // started so far
	lying         atomic.Bool  // a replica falsely says that it leaves
	evacuating    atomic.Bool  // a data centre is evacuated
	mu            sync.Mutex
	replicaCount  int              // replicas started so far, numbers their IDs; guarded by mu
	live          []*replica       // guarded by mu
	shared        []*plsim.Replica // of the service that accounts share
}

// front is a front process and the proxy route through which it reaches the store.
type front struct {
	*process
	store         *fault.Route
	plannedStopAt time.Time // when the last planned stop began; guarded by Soak.mu
}

// replica is a fake replica and the proxy route through which fronts reach it.
type replica struct {
	id, service string
	server      *plsim.Replica
	route       *fault.Route
	startedMs   int64 // Unix time in milliseconds
}

// Size of the fleet, and durations of calls and phases. A round of the soak has a planned phase and a fault phase.
const (
	replicasPerService = 2 // one in each data centre
	callTimeout        = 4 * time.Second
	serviceTime        = 20 * time.Millisecond // that a replica works on a call without a stream
	plannedPhaseTime   = 5 * time.Second       // planned changes only, no faults
	faultPhaseTime     = 6 * time.Second
	registrationTTL    = 3600 * time.Millisecond // from a replica's crash until the platform removes its registration
)

// ErrViolated is returned by Run if an invariant was violated.
var ErrViolated = errors.New("soak: an invariant was violated")

// Run runs the soak and writes a report to opts.Out. It returns ErrViolated if an invariant was violated.
func Run(ctx context.Context, opts Options) error {
	grp := group.New(ctx, "soak")
	defer func() { _ = grp.Stop() }()
	sok := &Soak{
		opts: opts, rnd: rand.New(rand.NewPCG(opts.Seed, 1)), chk: newChecker(), store: plsim.NewStore(),
		proxy: fault.New(grp, timer.New()), started: time.Now(),
	}
	if err := sok.start(); err != nil {
		return err
	}
	defer sok.stopAll()
	clientCtx, stopClients := context.WithCancel(ctx)
	var clients sync.WaitGroup
	for num := range opts.Clients {
		clients.Go(func() { sok.runClient(clientCtx, num) })
	}
	clients.Go(func() { sok.runDeadlyClient(clientCtx) })
	clients.Go(func() { sok.runLostClient(clientCtx) })
	clients.Go(func() { sok.runLateReader(clientCtx) })
	clients.Go(func() { sok.runAccount(clientCtx, plsim.AccountModest, 0, modestInterval) })
	for num := range floodClients {
		clients.Go(func() { sok.runAccount(clientCtx, plsim.AccountFlood, num, floodPause) })
	}
	for time.Since(sok.started) < opts.Duration && ctx.Err() == nil {
		sok.runPlannedPhase(clientCtx)
		sok.runRestorePhase()
		sok.runFaultPhase(clientCtx)
	}
	stopClients()
	clients.Wait()
	sok.awaitReturn()
	sok.checkRecovery(ctx)
	sok.chk.verifyAll()
	return sok.report()
}

// start starts the store, the replicas and the front processes.
func (sok *Soak) start() error {
	srv := httptest.NewServer(sok.store)
	prt := newPorts()
	for num := range sok.opts.Fronts {
		rte, err := sok.proxy.Add(fmt.Sprint("store-", num), "127.0.0.1:0", strings.TrimPrefix(srv.URL, "http://"))
		if err != nil {
			return fmt.Errorf("soak: %w", err)
		}
		prc, err := newProcess(prt, sok.opts.Program, sok.opts.Dir, num, rte.Address())
		if err != nil {
			return err
		}
		sok.fronts = append(sok.fronts, &front{process: prc, store: rte})
	}
	sok.publishConfig()
	for num := range serviceCount * replicasPerService {
		if err := sok.addReplica(serviceOf(num), dataCentres[num/serviceCount]); err != nil {
			return err
		}
	}
	if err := sok.startShared(); err != nil {
		return err
	}
	for _, frt := range sok.fronts {
		if err := frt.start(sok.recordUnexpected); err != nil {
			return err
		}
	}
	return nil
}

// recordUnexpected records an error that must never occur, such as the exit of a front that the soak did not stop.
func (sok *Soak) recordUnexpected(err error) {
	sok.chk.mu.Lock()
	defer sok.chk.mu.Unlock()
	sok.chk.recordCheck(invariantNoExit, false, "%v", err)
}

// publishConfig writes the next version of the configuration. The route "moved" targets the next service in each
// version, so a response on it shows by which version it was served.
func (sok *Soak) publishConfig() {
	sok.configVersion++
	route := func(name, kind, srv string) plsim.Route {
		seconds, perSecond := coldOf(srv)
		return plsim.Route{
			ColdSeconds: seconds, ColdPerSecond: perSecond,
			Name: name, Host: "soak.example", PathPrefix: "/" + name + "/", Kind: kind, Service: srv, MaxAttempts: 3,
			TimeoutMs: int(callTimeout.Milliseconds()), Resumable: kind == "streaming", Anonymous: true,
		}
	}
	sok.store.PutConfig(sok.configVersion, []plsim.Route{
		route("unsafe", "unsafe", "s0"), route("safe", "safe", "s1"), route("stream", "streaming", "s2"),
		route("moved", "safe", serviceOf(sok.configVersion)), plsim.SharedRoute(callTimeout),
	})
	sok.chk.mu.Lock()
	defer sok.chk.mu.Unlock()
	sok.chk.publishTimes = append(sok.chk.publishTimes, time.Now())
}

// addReplica starts a replica behind a proxy route and registers it.
func (sok *Soak) addReplica(srv, dataCentre string) error {
	sok.mu.Lock()
	sok.replicaCount++
	id := fmt.Sprint("i-", sok.replicaCount, "-", dataCentre)
	sok.mu.Unlock()
	obs := sok.chk.observer()
	obs.OnCrash, obs.OnOverrun = sok.replaceCrashed, sok.replaceOverrun
	srr, err := plsim.StartReplica(id, srv, serviceTime, obs)
	if err != nil {
		return fmt.Errorf("soak: %w", err)
	}
	rte, err := sok.proxy.Add(id, "127.0.0.1:0", srr.Address())
	if err != nil {
		return fmt.Errorf("soak: %w", err)
	}
	rep := &replica{id: id, service: srv, server: srr, route: rte, startedMs: time.Now().UnixMilli()}
	left := time.Duration(0)
	if srv == coldService {
		left = coldTime
		srr.SetCold(left, coldLimit)
	}
	sok.store.PutColdReplica(id, srv, rte.Address(), dataCentre, rep.startedMs, left)
	sok.mu.Lock()
	defer sok.mu.Unlock()
	sok.live = append(sok.live, rep)
	return nil
}

// replaceReplica starts a replacement for a random live replica. It returns the replaced one, which still runs.
func (sok *Soak) replaceReplica() *replica {
	sok.mu.Lock()
	idx := sok.rnd.IntN(len(sok.live))
	rep := sok.live[idx]
	sok.live = append(sok.live[:idx:idx], sok.live[idx+1:]...)
	sok.mu.Unlock()
	if err := sok.addReplica(rep.service, dataCentreOf(rep.id)); err != nil {
		sok.recordUnexpected(err)
	}
	return rep
}

// checkRecovery waits until all faults have settled and checks that each front serves every route again.
func (sok *Soak) checkRecovery(ctx context.Context) {
	time.Sleep(settleTime + registrationTTL) // Crashed replicas stay registered for registrationTTL.
	cli := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	for num := range sok.fronts {
		for _, path := range []string{"/unsafe/r", "/safe/r", "/stream/r", "/moved/r"} {
			cal := sok.sendCall(ctx, cli, num, path, fmt.Sprintf("r%d%s", num, path), 0)
			sok.chk.mu.Lock()
			sok.chk.recordCheck(invariantRecovery, cal.outcome.Status == http.StatusOK && cal.outcome.Complete,
				"front %d answers %s with %d %v", num, path, cal.outcome.Status, cal.outcome.Err)
			sok.chk.mu.Unlock()
		}
	}
}

// stopAll kills the fronts and stops the replicas. It keeps the restart locks, so that no front is started again.
func (sok *Soak) stopAll() {
	for _, frt := range sok.fronts {
		frt.signal(syscall.SIGCONT)
		frt.restartMu.Lock()
		frt.terminate(syscall.SIGKILL)
	}
	sok.mu.Lock()
	defer sok.mu.Unlock()
	for _, rep := range sok.live {
		rep.server.Stop()
	}
	for _, rep := range sok.shared {
		rep.Stop()
	}
}

// report writes how often each invariant was checked and the violations. It returns ErrViolated if there are any.
func (sok *Soak) report() error {
	chk := sok.chk
	chk.mu.Lock()
	defer chk.mu.Unlock()
	_, _ = fmt.Fprintf(sok.opts.Out, "seed %d, %d calls, %d faults, %d versions, logs in %s\n",
		sok.opts.Seed, len(chk.calls), len(chk.faults), len(chk.publishTimes), sok.opts.Dir)
	for _, name := range []string{
		invariantAtMostOnce, invariantNotExecuted, invariantRequest, invariantResponse, invariantDrain,
		invariantRemoved, invariantConfigDelay, invariantConfigOrder, invariantCancel, invariantPlannedStop,
		invariantRecovery, invariantCrashes, invariantLost, invariantSlow, invariantLeaving, invariantPause,
		invariantEvacuated, invariantFlood, invariantCold, invariantNoExit,
	} {
		text := fmt.Sprintf("checked %d times", chk.checkCounts[name])
		if chk.checkCounts[name] == 0 && name != invariantNoExit {
			text = "never checked"
		}
		_, _ = fmt.Fprintf(sok.opts.Out, "  %s: %s\n", name, text)
	}
	if chk.floodText != "" {
		_, _ = fmt.Fprintln(sok.opts.Out, "  "+chk.floodText)
	}
	for _, text := range chk.violations {
		_, _ = fmt.Fprintln(sok.opts.Out, "BROKEN", text)
	}
	if len(chk.violations) > 0 {
		return fmt.Errorf("%w: seed %d", ErrViolated, sok.opts.Seed)
	}
	_, _ = fmt.Fprintln(sok.opts.Out, "all invariants held")
	return nil
}
