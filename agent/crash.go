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

// ReasonEngineCrashed means that the engine crashed while the request ran on it.
const ReasonEngineCrashed = "engine-crashed"

const (
	// probeTimeout is the time after which a broken connection without a response from the engine is not attributed to
	// a crash. A crashing process may accept connections for a moment without responding.
	probeTimeout  = 3 * time.Second
	probeInterval = 20 * time.Millisecond
	// unlistedGrace is the time for which a cancelled attempt counts as running after the engine has stopped listing
	// it.
	unlistedGrace = time.Second
)

// errTruncated is the error of a stream that the engine closed in an orderly way before its last event. It is not a
// sign of a crash, which breaks the connection.
var errTruncated = trace.ConnectionProblem(nil, "agent: the engine ended the response before its last event")

// runningAttempt is an attempt that the engine runs or may still run.
type runningAttempt struct {
	id          string
	fingerprint proto.Fingerprint
	order       int64                   // sequence number of the attempt's start on the engine
	isolated    bool                    // holds the suspect slot
	ended       bool                    // has its result, but may still be on the engine; guarded by crashHandler.mu
	stop        context.CancelCauseFunc // ends the attempt
}

// crashProbe checks whether the engine has crashed after a connection broke. If it has, the requests that are left in
// attempts at the end of the probe are suspected.
type crashProbe struct {
	attempts map[string]*runningAttempt // running at the start of the probe and not completed since
	done     chan struct{}
	crashed  bool // valid once done is closed
}

// crashHandler detects crashes of the engine, reports the requests that ran on it, and runs suspected requests one at a
// time.
type crashHandler struct {
	agent         *Agent
	enabled       bool
	suspects      *state.Suspects
	suspectFor    time.Duration
	blockFor      time.Duration
	unlistedGrace time.Duration // the constant of this name, longer in tests
	slot          suspectSlot

	mu        sync.Mutex
	starts    int64 // number of attempts started so far
	running   map[string]*runningAttempt
	probe     *crashProbe                // in progress, or nil
	lastCrash map[string]*runningAttempt // suspected by the last probe that found a crash
	// engineDown is set while the engine has refused connections and not responded since. Attempts that fail meanwhile
	// have not run.
	engineDown bool
}

// start starts a goroutine in grp that stops running attempts whose requests become suspected or blocked.
func (crs *crashHandler) start(grp *group.Group) {
	crs.running = make(map[string]*runningAttempt)
	if !crs.enabled {
		return
	}
	store := crs.agent.config.store
	grp.Go("stop suspects", func(ctx context.Context) error {
		for {
			changed, added := store.Changed(), crs.suspects.Changed()
			crs.stopSuspects()
			select {
			case <-changed:
			case <-added:
			case <-ctx.Done():
				return nil
			}
		}
	})
}

// recordStart counts an attempt as running. It is called just before the engine is.
func (crs *crashHandler) recordStart(att *runningAttempt) {
	crs.mu.Lock()
	defer crs.mu.Unlock()
	crs.starts++
	att.order = crs.starts
	crs.running[att.id] = att
}

// recordResult records that an attempt has its result. An attempt that the engine completed cannot have caused a crash
// at the same moment. Any other, such as one whose caller has disconnected, may still run and crash the engine: it
// counts as running until the engine no longer lists it.
func (crs *crashHandler) recordResult(id string, completed bool) {
	crs.mu.Lock()
	defer crs.mu.Unlock()
	if completed || crs.engineDown {
		delete(crs.running, id)
	} else if att := crs.running[id]; att != nil {
		att.ended = true
	}
	if completed && crs.probe != nil {
		delete(crs.probe.attempts, id)
	}
}

// recordUnlisted records that the engine does not list an attempt. A cancel may overtake the request that it cancels,
// so the attempt counts as running for unlistedGrace longer.
func (crs *crashHandler) recordUnlisted(id string) {
	crs.agent.clock.After(crs.unlistedGrace, func() {
		crs.mu.Lock()
		defer crs.mu.Unlock()
		if att := crs.running[id]; att != nil && att.ended {
			delete(crs.running, id)
		}
	})
}

// recordEngineUp records that the engine has responded.
func (crs *crashHandler) recordEngineUp() {
	crs.mu.Lock()
	defer crs.mu.Unlock()
	crs.engineDown = false
}

// failureResult returns the result of an attempt that the engine did not complete. After a broken connection it waits
// for the crash probe.
func (crs *crashHandler) failureResult(ctx context.Context, id string, err error) proto.Result {
	var ref *crashRefusal
	if errors.As(context.Cause(ctx), &ref) {
		return proto.Result{Outcome: proto.OutcomeFailed, Reason: ref.reason, Detail: ref.Error()}
	}
	res := crs.agent.failureResult(ctx, err)
	if res.Reason == ReasonEngineFailed && crs.enabled && !errors.Is(err, errTruncated) && !isDialError(err) &&
		crs.crashed(ctx, id) {
		res.Reason = ReasonEngineCrashed
	}
	return res
}

// isDialError reports whether the connection to the engine could not be established, so that the request cannot have
// crashed it.
func isDialError(err error) bool {
	var opr *net.OpError
	return errors.As(err, &opr) && opr.Op == "dial"
}

// crashed reports whether the connection of an attempt broke because the engine crashed. It starts a probe unless one
// is in progress, and waits for its end.
func (crs *crashHandler) crashed(ctx context.Context, id string) bool {
	crs.mu.Lock()
	if crs.lastCrash[id] != nil {
		crs.mu.Unlock()
		return true
	}
	if crs.engineDown || crs.running[id] == nil {
		crs.mu.Unlock()
		return false
	}
	prb := crs.probe
	if prb == nil {
		prb = &crashProbe{attempts: make(map[string]*runningAttempt, len(crs.running)), done: make(chan struct{})}
		for key, att := range crs.running {
			prb.attempts[key] = att
		}
		crs.probe = prb
		go crs.runProbe(prb) //nolint:gosec // The probe serves all attempts and outlives the one that started it.
	}
	crs.mu.Unlock()
	select {
	case <-prb.done:
	case <-ctx.Done():
		return false
	}
	if prb.attempts[id] == nil { // The attempt started after the probe did.
		return crs.crashed(ctx, id)
	}
	return prb.crashed
}

// runProbe asks the engine for its active requests. The engine has crashed if it refuses the connection, or if it
// responds and lists none of the probe's attempts. No response at all is the sign of a broken network or a paused
// engine instead.
func (crs *crashHandler) runProbe(prb *crashProbe) {
	defer close(prb.done)
	ctx, cancel := crs.agent.clock.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	for ctx.Err() == nil {
		list, err := crs.agent.engine.ActiveRequests(ctx)
		switch {
		case err == nil:
			crs.concludeProbe(prb, crs.noneListed(prb, list), false)
			return
		case errors.Is(err, syscall.ECONNREFUSED):
			crs.concludeProbe(prb, true, true)
			return
		}
		_ = crs.agent.clock.Sleep(ctx, probeInterval)
	}
	crs.concludeProbe(prb, false, false)
}

// noneListed reports whether the engine's list has none of the probe's attempts.
func (crs *crashHandler) noneListed(prb *crashProbe, list []string) bool {
	crs.mu.Lock()
	defer crs.mu.Unlock()
	return !slices.ContainsFunc(list, func(id string) bool { return prb.attempts[id] != nil })
}

// concludeProbe ends a probe. Attempts lost in a planned stop or while the upstream is drained are no sign of a crash.
func (crs *crashHandler) concludeProbe(prb *crashProbe, lost, down bool) {
	agt := crs.agent
	planned := agt.stopping() || agt.config.drained() ||
		agt.config.store.StopPlanned(agt.local.Name, agt.clock.Now())
	crs.mu.Lock()
	crs.probe = nil
	crs.engineDown = down
	prb.crashed = lost && !planned
	if !prb.crashed {
		crs.mu.Unlock()
		return
	}
	crs.lastCrash = prb.attempts
	var suspected []*runningAttempt
	for id, att := range prb.attempts {
		suspected = append(suspected, att)
		delete(crs.running, id)
	}
	crs.mu.Unlock()
	if down {
		agt.markEngineDown()
	}
	crs.publishCrash(suspected)
}

// publishCrash reports to the entries which requests ran at the crash. The one started last comes first, since a
// request that crashes engines mostly does so soon after its start.
func (crs *crashHandler) publishCrash(suspected []*runningAttempt) {
	slices.SortFunc(suspected, func(one, two *runningAttempt) int { return cmp.Compare(two.order, one.order) })
	agt := crs.agent
	rec := proto.Crash{
		ID: rand.Text()[:16], Upstream: agt.local.Name, At: agt.clock.Now().UnixMilli(),
		SuspectFor: crs.suspectFor, BlockFor: crs.blockFor,
	}
	for _, att := range suspected {
		if att.fingerprint != 0 && !slices.Contains(rec.Running, att.fingerprint) {
			rec.Running = append(rec.Running, att.fingerprint)
		}
	}
	agt.metrics.CountEvent("engine-crashed")
	agt.log.Info("agent: engine crashed", "crash", rec.ID, "running", len(suspected), "fingerprints", len(rec.Running))
	if len(rec.Running) == 0 {
		return
	}
	crs.suspects.AddCrash(rec, 0)
	agt.broadcastReport() // Before the results of the crashed attempts, which are sent through the same queue.
}

// markEngineDown marks an engine that refuses connections as unhealthy, without waiting for failed polls.
func (agt *Agent) markEngineDown() {
	agt.mu.Lock()
	defer agt.mu.Unlock()
	agt.failedPolls = maxFailedPolls
	if agt.healthy {
		agt.log.Info("agent: engine health changed", "healthy", false)
		agt.metrics.CountEvent("engine-unhealthy")
	}
	agt.healthy = false
	agt.updateRefusal()
}
