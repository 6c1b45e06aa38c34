// Package soak runs fronts as processes of their own beside stand-ins of the users' side, disturbs them at random from
// outside, and checks the promises to callers by what clients and replicas see.
//
// A seed decides which faults come, in which order, how long they last and whom they hit. The processes run in real
// time, so that two plays of a seed are alike but not equal.
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
	"syscall"
	"time"

	"github.com/tarragonwheel/tarragonwheel/fault"
	"github.com/tarragonwheel/tarragonwheel/group"
	"github.com/tarragonwheel/tarragonwheel/platform/plsim"
	"github.com/tarragonwheel/tarragonwheel/timer"
)

// Options configure a soak.
type Options struct {
	Seed     uint64
	Duration time.Duration
	Fronts   int
	Clients  int
	Program  string // path of the program whose command front is run
	Dir      string // for settings and logs of the processes
	Out      io.Writer
}

// Soak is a run of the soak.
type Soak struct {
	opts    Options
	rnd     *rand.Rand // of the schedule alone
	chk     *checker
	store   *plsim.Store
	proxy   *fault.Proxy
	fronts  []*front
	started time.Time
	version int
	count   int // replicas started so far
	mu      sync.Mutex
	live    []*replica
}

// front is a process and its way to the store.
type front struct {
	*process
	store *fault.Route
	stops time.Time // when the last planned stop began; guarded by Soak.mu
}

type replica struct {
	id, service string
	stand       *plsim.Replica
	route       *fault.Route
}

// Counts of the fleet, and times of calls.
const (
	perService  = 2
	callLimit   = 4 * time.Second
	workTime    = 20 * time.Millisecond
	plannedTime = 5 * time.Second // part of a round with planned changes alone
	stormTime   = 6 * time.Second // part of a round with faults
	lapseTime   = 3600 * time.Millisecond
)

// ErrBroken is returned by Run if a promise was broken.
var ErrBroken = errors.New("soak: a promise was broken")

// Run runs a soak and prints its verdict. It returns ErrBroken if a promise was broken.
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
	defer sok.endAll()
	calling, stop := context.WithCancel(ctx)
	var clients sync.WaitGroup
	for num := range opts.Clients {
		clients.Go(func() { sok.client(calling, num) })
	}
	for time.Since(sok.started) < opts.Duration && ctx.Err() == nil {
		sok.quiet()
		sok.storm()
	}
	stop()
	clients.Wait()
	sok.recover(ctx)
	sok.chk.verify()
	return sok.report()
}

func (sok *Soak) start() error {
	srv := httptest.NewServer(sok.store)
	for num := range sok.opts.Fronts {
		rte, err := sok.proxy.Add(fmt.Sprint("store-", num), "127.0.0.1:0", strings.TrimPrefix(srv.URL, "http://"))
		if err != nil {
			return fmt.Errorf("soak: %w", err)
		}
		prc, err := newProcess(sok.opts.Program, sok.opts.Dir, num, rte.Address())
		if err != nil {
			return err
		}
		sok.fronts = append(sok.fronts, &front{process: prc, store: rte})
	}
	sok.configure()
	for num := range services * perService {
		if err := sok.addReplica(serviceOf(num)); err != nil {
			return err
		}
	}
	for _, frt := range sok.fronts {
		if err := frt.start(sok.unexpected); err != nil {
			return err
		}
	}
	return nil
}

func (sok *Soak) unexpected(err error) {
	sok.chk.mu.Lock()
	defer sok.chk.mu.Unlock()
	sok.chk.check(promiseAlive, false, "%v", err)
}

// configure writes the next version, which moves one route to the next service.
func (sok *Soak) configure() {
	sok.version++
	route := func(name, kind, srv string) plsim.Route {
		return plsim.Route{
			Name: name, Host: "soak.example", PathPrefix: "/" + name + "/", Kind: kind, Service: srv, MaxAttempts: 3,
			TimeoutMs: int(callLimit.Milliseconds()), Resumable: kind == "streaming",
		}
	}
	sok.store.PutConfig(sok.version, []plsim.Route{
		route("unsafe", "unsafe", "s0"), route("safe", "safe", "s1"), route("stream", "streaming", "s2"),
		route("moved", "safe", serviceOf(sok.version)),
	})
	sok.chk.mu.Lock()
	defer sok.chk.mu.Unlock()
	sok.chk.versions = append(sok.chk.versions, time.Now())
}

func (sok *Soak) addReplica(srv string) error {
	sok.count++
	id := fmt.Sprint("i-", sok.count)
	std, err := plsim.StartReplica(id, srv, workTime, sok.chk.observer())
	if err != nil {
		return fmt.Errorf("soak: %w", err)
	}
	rte, err := sok.proxy.Add(id, "127.0.0.1:0", std.Address())
	if err != nil {
		return fmt.Errorf("soak: %w", err)
	}
	sok.store.PutReplica(id, srv, rte.Address(), false, 1, time.Now().UnixMilli())
	sok.mu.Lock()
	defer sok.mu.Unlock()
	sok.live = append(sok.live, &replica{id: id, service: srv, stand: std, route: rte})
	return nil
}

// takeReplica removes a replica at random from the live ones, and starts another one of its service.
func (sok *Soak) takeReplica() *replica {
	sok.mu.Lock()
	idx := sok.rnd.IntN(len(sok.live))
	rep := sok.live[idx]
	sok.live = append(sok.live[:idx:idx], sok.live[idx+1:]...)
	sok.mu.Unlock()
	if err := sok.addReplica(rep.service); err != nil {
		sok.unexpected(err)
	}
	return rep
}

// client sends one call after the other through fronts at random.
func (sok *Soak) client(ctx context.Context, num int) {
	rnd := rand.New(rand.NewPCG(sok.opts.Seed, uint64(num)+2))
	cli := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1, IdleConnTimeout: 5 * time.Second}}
	paths := []string{"/unsafe/", "/safe/", "/stream/", "/moved/"}
	for count := 0; ctx.Err() == nil; count++ {
		frt := rnd.IntN(len(sok.fronts))
		path := paths[rnd.IntN(len(paths))] + "x"
		leave := time.Duration(0)
		if rnd.IntN(8) == 0 {
			leave = time.Duration(5+rnd.IntN(200)) * time.Millisecond
		}
		sok.call(ctx, cli, frt, path, fmt.Sprintf("c%d-%d", num, count), leave)
		time.Sleep(time.Duration(rnd.IntN(40)) * time.Millisecond)
	}
}

// call makes a call, which its client leaves after the given time unless that is 0.
func (sok *Soak) call(ctx context.Context, cli *http.Client, num int, path, id string, leave time.Duration) call {
	frt := sok.fronts[num]
	cal := call{id: id, path: path, front: num, run: frt.run(), sent: time.Now()}
	limit := callLimit
	if leave > 0 {
		limit = leave
	}
	lim, cancel := context.WithTimeout(context.WithoutCancel(ctx), limit)
	defer cancel()
	cal.out = plsim.Call(lim, cli, frt.address, path, id, callLimit)
	cal.ended = time.Now()
	if leave > 0 && lim.Err() != nil {
		cal.leftAt = cal.sent.Add(leave)
	}
	sok.mu.Lock()
	cal.stopping = cal.sent.Before(frt.stops.Add(graceTime)) && cal.ended.After(frt.stops)
	sok.mu.Unlock()
	sok.chk.ended(cal)
	return cal
}

// recover waits for the end of all faults and checks that each front serves again.
func (sok *Soak) recover(ctx context.Context) {
	time.Sleep(settled + lapseTime) // Crashed replicas are registered until then.
	cli := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	for num := range sok.fronts {
		for _, path := range []string{"/unsafe/r", "/safe/r", "/stream/r", "/moved/r"} {
			cal := sok.call(ctx, cli, num, path, fmt.Sprintf("r%d%s", num, path), 0)
			sok.chk.mu.Lock()
			sok.chk.check(promiseRecover, cal.out.Status == http.StatusOK && cal.out.Whole,
				"front %d answers %s with %d %v", num, path, cal.out.Status, cal.out.Err)
			sok.chk.mu.Unlock()
		}
	}
}

func (sok *Soak) endAll() {
	for _, frt := range sok.fronts {
		frt.signal(syscall.SIGCONT)
		frt.busy.Lock()
		frt.end(syscall.SIGKILL)
	}
	sok.mu.Lock()
	defer sok.mu.Unlock()
	for _, rep := range sok.live {
		rep.stand.Stop()
	}
}

// report prints how often each promise was checked, and the verdict.
func (sok *Soak) report() error {
	chk := sok.chk
	chk.mu.Lock()
	defer chk.mu.Unlock()
	_, _ = fmt.Fprintf(sok.opts.Out, "seed %d, %d calls, %d faults, %d versions, logs in %s\n",
		sok.opts.Seed, len(chk.calls), len(chk.faults), len(chk.versions), sok.opts.Dir)
	for _, name := range []string{
		promiseOnce, promiseNotRun, promiseAsked, promiseAnswer, promiseDrain, promiseConfig, promiseForward,
		promiseGone, promiseStop, promiseRecover, promiseAlive,
	} {
		text := fmt.Sprintf("checked %d times", chk.counts[name])
		if chk.counts[name] == 0 && name != promiseAlive {
			text = "never exercised"
		}
		_, _ = fmt.Fprintf(sok.opts.Out, "  %s: %s\n", name, text)
	}
	for _, text := range chk.broken {
		_, _ = fmt.Fprintln(sok.opts.Out, "BROKEN", text)
	}
	if len(chk.broken) > 0 {
		return fmt.Errorf("%w: seed %d", ErrBroken, sok.opts.Seed)
	}
	_, _ = fmt.Fprintln(sok.opts.Out, "all promises kept")
	return nil
}
