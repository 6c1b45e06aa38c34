package agent

import (
	"cmp"
	"context"
	"crypto/rand"
	"errors"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"github.com/tarragonwheel/tarragonwheel/group"
	"github.com/tarragonwheel/tarragonwheel/proto"
	"github.com/tarragonwheel/tarragonwheel/state"
)

// ReasonEngineCrashed means that the engine crashed while the request ran on it.
const ReasonEngineCrashed = "engine-crashed"

// unlistedGrace is the time for which a cancelled attempt counts as running after the engine has stopped listing it.
const unlistedGrace = time.Second

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
	newest    string                     // ID of the newest known crash
	newestAt  time.Time                  // when the newest known crash was received
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
		signal(crs.agent.reportNow)
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
			signal(crs.agent.reportNow)
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

// recordCrash records which requests ran at the crash, and reports whether any has a fingerprint. The one started last
// comes first, since a request that crashes engines mostly does so soon after its start.
func (crs *crashHandler) recordCrash(suspected []*runningAttempt) bool {
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
		return false
	}
	crs.suspects.AddCrash(rec, 0)
	return true
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
