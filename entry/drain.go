package entry

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"

	"github.com/tarragonwheel/tarragonwheel/config"
)

const (
	drainPoll = 20 * time.Millisecond
	// drainRetryAfter is the Retry-After of calls refused while draining. After it, the balancer in front sends the
	// caller to another entry.
	drainRetryAfter = time.Second
	// flushTimeout bounds the time to finish writing responses after the last call or after the grace period.
	flushTimeout = 2 * time.Second
)

// errGraceEnded is the cancellation cause of calls that are in flight at the end of the grace period.
var errGraceEnded = errors.New("entry: grace period has passed")

// drainState is the state of a planned stop.
type drainState struct {
	notice   time.Duration
	grace    time.Duration
	graceCtx context.Context // ends when the grace period has passed
	endGrace context.CancelFunc

	mu       sync.Mutex
	started  bool // reported as not ready, although new calls are still served
	refusing bool // new calls are refused
	calls    int  // in flight
}

func newDrainState(set *config.Settings) *drainState {
	drn := &drainState{notice: config.EntryDrainNotice.Of(set), grace: config.ProcessGrace.Of(set)}
	drn.graceCtx, drn.endGrace = context.WithCancel(context.Background())
	return drn
}

// draining reports whether the planned stop has begun.
func (drn *drainState) draining() bool {
	drn.mu.Lock()
	defer drn.mu.Unlock()
	return drn.started
}

// enterCall registers a call in flight. The returned context ends with the grace period. The returned function must be
// called at the end of the call; it is nil if the call is refused.
func (drn *drainState) enterCall(ctx context.Context) (context.Context, func()) {
	drn.mu.Lock()
	defer drn.mu.Unlock()
	if drn.refusing {
		return ctx, nil
	}
	drn.calls++
	ctx, cancel := context.WithCancelCause(ctx)
	release := context.AfterFunc(drn.graceCtx, func() { cancel(errGraceEnded) })
	return ctx, func() {
		release()
		cancel(nil)
		drn.mu.Lock()
		drn.calls--
		drn.mu.Unlock()
	}
}

func (drn *drainState) inFlight() int {
	drn.mu.Lock()
	defer drn.mu.Unlock()
	return drn.calls
}

// closeKeepAlive adds "Connection: close" to responses while draining, so that callers send no further requests on
// their connections. Idle connections stay open until the end, since a request may already be on its way on them.
func (drn *drainState) closeKeepAlive(hdl http.Handler) http.Handler {
	return http.HandlerFunc(func(rw http.ResponseWriter, req *http.Request) {
		if drn.draining() {
			rw.Header().Set("Connection", "close")
		}
		hdl.ServeHTTP(rw, req)
	})
}

// Drain stops the entry gracefully. The entry reports at once to the balancer and the agents that it is not ready. It
// still serves new calls for entry.drain-notice and then refuses them. Drain returns, with the listener closed, when no
// call is in flight; calls that are left after process.grace are cancelled.
func (ent *Entry) Drain(ctx context.Context) {
	drn := ent.drain
	drn.mu.Lock()
	drn.started = true
	drn.mu.Unlock()
	ent.log.Info("entry: draining", "notice", drn.notice.String(), "grace", drn.grace.String())
	for _, con := range ent.connections() {
		_ = con.Send(ent.config.heartbeat()) // A failed send needs no handling: the next heartbeat repeats it.
	}
	_ = ent.clock.Sleep(ctx, drn.notice)
	drn.mu.Lock()
	drn.refusing = true
	drn.mu.Unlock()
	if !ent.awaitCalls(ctx, drn.grace) {
		ent.log.Info("entry: grace period has passed", "in-flight", drn.inFlight())
		drn.endGrace()
		ent.awaitCalls(ctx, flushTimeout)
	}
	lim, cancel := ent.clock.WithTimeout(ctx, flushTimeout)
	defer cancel()
	if err := ent.server.Shutdown(lim); err != nil {
		ent.log.Info("entry: connections closed before their responses ended", "error", err.Error())
	}
	ent.log.Info("entry: drained")
}

// awaitCalls waits until no call is in flight, and reports whether that was within the limit.
func (ent *Entry) awaitCalls(ctx context.Context, limit time.Duration) bool {
	lim, cancel := ent.clock.WithTimeout(ctx, limit)
	defer cancel()
	for ent.drain.inFlight() > 0 {
		if ent.clock.Sleep(lim, drainPoll) != nil {
			return false
		}
	}
	return true
}
