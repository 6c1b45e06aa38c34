package agent

import (
	"cmp"
	"context"
	"crypto/rand"
	"errors"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/gravitational/trace"

	"github.com/tarragonwheel/tarragonwheel/group"
	"github.com/tarragonwheel/tarragonwheel/proto"
	"github.com/tarragonwheel/tarragonwheel/state"
)

// ReasonEngineCrashed says that the engine crashed while the request ran on it.
const ReasonEngineCrashed = "engine-crashed"

const (
	// inquiryLimit bounds the time until a broken connection is taken for something other than a crash. A process that
	// is crashing may accept connections for a moment without answering.
	inquiryLimit = 3 * time.Second
	inquiryPause = 20 * time.Millisecond
	// goneGrace is the time for which a request that was given up may still crash the engine unseen.
	goneGrace = time.Second
)

// errCutShort is the failure of a response that the engine ended in order, but early. A crash breaks the connection.
var errCutShort = trace.ConnectionProblem(nil, "agent: the engine cut the response short")

// runner is an attempt that the engine has.
type runner struct {
	id       string
	fpr      proto.Fingerprint
	order    int64 // rises with each attempt handed to the engine
	isolated bool  // holds the place of the suspect
	ended    bool  // has its result, but may still be on the engine; guarded by crashes.mu
	stop     context.CancelCauseFunc
}

// inquiry finds out whether the engine has crashed. It blames those held that have not finished by its end.
type inquiry struct {
	held    map[string]*runner
	done    chan struct{}
	crashed bool // valid once done is closed
}

// crashes notices crashes of the engine, and keeps suspects apart.
type crashes struct {
	agent      *Agent
	on         bool
	suspects   *state.Suspects
	suspectFor time.Duration
	blockFor   time.Duration
	grace      time.Duration // goneGrace, longer in tests
	place      place

	mu      sync.Mutex
	order   int64
	running map[string]*runner
	asking  *inquiry
	last    map[string]*runner // held by the last inquiry that found a crash
	down    bool               // the engine has crashed and not answered since: whatever fails now has not run
}

// start follows changes of the verdicts in grp.
func (crs *crashes) start(grp *group.Group) {
	crs.running = make(map[string]*runner)
	if !crs.on {
		return
	}
	store := crs.agent.config.store
	grp.Go("stop suspects", func(ctx context.Context) error {
		for {
			changed, added := store.Changed(), crs.suspects.Added()
			crs.review()
			select {
			case <-changed:
			case <-added:
			case <-ctx.Done():
				return nil
			}
		}
	})
}

// enter counts an attempt as running, from just before the engine is called.
func (crs *crashes) enter(rnr *runner) {
	crs.mu.Lock()
	defer crs.mu.Unlock()
	crs.order++
	rnr.order = crs.order
	crs.running[rnr.id] = rnr
}

// leave takes in that an attempt has its result. One that the engine completed is not to blame for a crash at the same
// moment. Any other, such as one whose caller has left, may still be on the engine and crash it: it counts as running
// until the engine no longer lists it.
func (crs *crashes) leave(id string, completed bool) {
	crs.mu.Lock()
	defer crs.mu.Unlock()
	if completed || crs.down {
		delete(crs.running, id)
	} else if rnr := crs.running[id]; rnr != nil {
		rnr.ended = true
	}
	if completed && crs.asking != nil {
		delete(crs.asking.held, id)
	}
}

// gone takes in that the engine does not list an attempt. A cancel may overtake the request that it cancels, so the
// attempt counts as running for a moment longer.
func (crs *crashes) gone(id string) {
	crs.agent.clock.After(crs.grace, func() {
		crs.mu.Lock()
		defer crs.mu.Unlock()
		if rnr := crs.running[id]; rnr != nil && rnr.ended {
			delete(crs.running, id)
		}
	})
}

// up takes in that the engine answers.
func (crs *crashes) up() {
	crs.mu.Lock()
	defer crs.mu.Unlock()
	crs.down = false
}

// failure is the result of an attempt that ended without the engine's completion.
func (crs *crashes) failure(ctx context.Context, id string, err error) proto.Result {
	var sto *stopped
	if errors.As(context.Cause(ctx), &sto) {
		return proto.Result{Outcome: proto.OutcomeFailed, Reason: sto.reason, Detail: sto.Error()}
	}
	res := crs.agent.failure(ctx, err)
	if res.Reason == ReasonEngineFailed && crs.on && !errors.Is(err, errCutShort) && !notConnected(err) &&
		crs.crashed(ctx, id) {
		res.Reason = ReasonEngineCrashed
	}
	return res
}

// notConnected tells whether the engine was not reached at all, so that the request is not to blame.
func notConnected(err error) bool {
	var opr *net.OpError
	return errors.As(err, &opr) && opr.Op == "dial"
}

// crashed tells whether the connection of an attempt broke because the engine crashed. It starts an inquiry if none
// is on its way, and waits for its end.
func (crs *crashes) crashed(ctx context.Context, id string) bool {
	crs.mu.Lock()
	if crs.last[id] != nil {
		crs.mu.Unlock()
		return true
	}
	if crs.down || crs.running[id] == nil {
		crs.mu.Unlock()
		return false
	}
	inq := crs.asking
	if inq == nil {
		inq = &inquiry{held: make(map[string]*runner, len(crs.running)), done: make(chan struct{})}
		for key, rnr := range crs.running {
			inq.held[key] = rnr
		}
		crs.asking = inq
		go crs.inquire(inq) //nolint:gosec // The inquiry serves all attempts and outlives the one that began it.
	}
	crs.mu.Unlock()
	select {
	case <-inq.done:
	case <-ctx.Done():
		return false
	}
	if inq.held[id] == nil { // It started after the inquiry: what it found is not about this attempt.
		return crs.crashed(ctx, id)
	}
	return inq.crashed
}

// inquire asks the engine which requests it has. An engine that nobody listens for, or that answers and has none of
// those held, has lost them all. No answer at all is the sign of a cut network or a paused engine.
func (crs *crashes) inquire(inq *inquiry) {
	defer close(inq.done)
	ctx, cancel := crs.agent.clock.WithTimeout(context.Background(), inquiryLimit)
	defer cancel()
	for ctx.Err() == nil {
		list, err := crs.agent.engine.ActiveRequests(ctx)
		switch {
		case err == nil:
			crs.conclude(inq, crs.lostAll(inq, list), false)
			return
		case errors.Is(err, syscall.ECONNREFUSED):
			crs.conclude(inq, true, true)
			return
		}
		_ = crs.agent.clock.Sleep(ctx, inquiryPause)
	}
	crs.conclude(inq, false, false)
}

func (crs *crashes) lostAll(inq *inquiry, list []string) bool {
	crs.mu.Lock()
	defer crs.mu.Unlock()
	return !slices.ContainsFunc(list, func(id string) bool { return inq.held[id] != nil })
}

func (crs *crashes) conclude(inq *inquiry, lost, down bool) {
	agt := crs.agent
	planned := agt.stopping() || agt.config.drained() ||
		agt.config.store.StopPlanned(agt.local.Name, agt.clock.Now())
	crs.mu.Lock()
	crs.asking = nil
	crs.down = down
	inq.crashed = lost && !planned
	if !inq.crashed {
		crs.mu.Unlock()
		return
	}
	crs.last = inq.held
	var held []*runner
	for id, rnr := range inq.held {
		held = append(held, rnr)
		delete(crs.running, id)
	}
	crs.mu.Unlock()
	if down {
		agt.setDown()
	}
	crs.publish(held)
}

// publish tells the entries which requests ran, the last one started first: a request that crashes engines mostly
// does so soon.
func (crs *crashes) publish(held []*runner) {
	slices.SortFunc(held, func(one, two *runner) int { return cmp.Compare(two.order, one.order) })
	agt := crs.agent
	rec := proto.Crash{
		ID: rand.Text()[:16], Upstream: agt.local.Name, At: agt.clock.Now().UnixMilli(),
		SuspectFor: crs.suspectFor, BlockFor: crs.blockFor,
	}
	for _, rnr := range held {
		if rnr.fpr != 0 && !slices.Contains(rec.Running, rnr.fpr) {
			rec.Running = append(rec.Running, rnr.fpr)
		}
	}
	agt.metrics.Event("engine-crashed")
	agt.log.Info("agent: engine crashed", "crash", rec.ID, "running", len(held), "fingerprints", len(rec.Running))
	if len(rec.Running) == 0 {
		return
	}
	crs.suspects.Crash(rec, 0)
	agt.sendReports() // Before any result of the crash, which goes through the same queue.
}

// setDown marks an engine unhealthy that nobody listens for, without waiting for failed polls.
func (agt *Agent) setDown() {
	agt.mu.Lock()
	defer agt.mu.Unlock()
	agt.failures = failureLimit
	if agt.healthy {
		agt.log.Info("agent: engine health changed", "healthy", false)
		agt.metrics.Event("engine-unhealthy")
	}
	agt.healthy = false
	agt.setRefusal()
}
