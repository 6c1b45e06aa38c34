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
	stopPoll = 20 * time.Millisecond
	// stopRetry is what a refused caller is told to wait, by which time the balancer sends it elsewhere.
	stopRetry = time.Second
	// stopFlush bounds the end of responses after the last call, or after calls were cut off.
	stopFlush = 2 * time.Second
)

// errGrace is the cause with which calls end that go on after the grace period.
var errGrace = errors.New("entry: grace period has passed")

// stop is the state of a planned stop.
type stop struct {
	notice time.Duration
	grace  time.Duration
	cut    context.Context // ends when the grace period has passed
	cutNow context.CancelFunc

	mu       sync.Mutex
	started  bool // not ready any more, although calls are served
	refusing bool
	running  int // calls
}

func newStop(set *config.Settings) *stop {
	stp := &stop{notice: config.EntryDrainNotice.Of(set), grace: config.ProcessGrace.Of(set)}
	stp.cut, stp.cutNow = context.WithCancel(context.Background())
	return stp
}

// begun tells whether the stop has begun.
func (stp *stop) begun() bool {
	stp.mu.Lock()
	defer stp.mu.Unlock()
	return stp.started
}

// enter registers a call. The context ends with the grace period. The function returned must be called at the end of
// the call; it is nil if the call is refused.
func (stp *stop) enter(ctx context.Context) (context.Context, func()) {
	stp.mu.Lock()
	defer stp.mu.Unlock()
	if stp.refusing {
		return ctx, nil
	}
	stp.running++
	ctx, cancel := context.WithCancelCause(ctx)
	release := context.AfterFunc(stp.cut, func() { cancel(errGrace) })
	return ctx, func() {
		release()
		cancel(nil)
		stp.mu.Lock()
		stp.running--
		stp.mu.Unlock()
	}
}

func (stp *stop) inFlight() int {
	stp.mu.Lock()
	defer stp.mu.Unlock()
	return stp.running
}

// closeKept asks callers, once the stop has begun, not to use their connections for further requests. Idle connections
// stay open until the end, since a request may be on its way on them.
func (stp *stop) closeKept(hdl http.Handler) http.Handler {
	return http.HandlerFunc(func(rw http.ResponseWriter, req *http.Request) {
		if stp.begun() {
			rw.Header().Set("Connection", "close")
		}
		hdl.ServeHTTP(rw, req)
	})
}

// Drain ends the entry's service in order. The entry reports at once that it is not ready, and tells the agents. It
// still serves for entry.drain-notice, then refuses new calls, and returns with its listener closed when no call is in
// flight, or when process.grace has passed as well, which cuts off the calls that are left.
func (ent *Entry) Drain(ctx context.Context) {
	stp := ent.stop
	stp.mu.Lock()
	stp.started = true
	stp.mu.Unlock()
	ent.log.Info("entry: draining", "notice", stp.notice.String(), "grace", stp.grace.String())
	for _, con := range ent.connections() {
		_ = con.Send(ent.config.beat()) // The next heartbeat tells it again.
	}
	_ = ent.clock.Sleep(ctx, stp.notice)
	stp.mu.Lock()
	stp.refusing = true
	stp.mu.Unlock()
	if !ent.awaitCalls(ctx, stp.grace) {
		ent.log.Info("entry: grace period has passed", "in-flight", stp.inFlight())
		stp.cutNow()
		ent.awaitCalls(ctx, stopFlush)
	}
	lim, cancel := ent.clock.WithTimeout(ctx, stopFlush)
	defer cancel()
	if err := ent.server.Shutdown(lim); err != nil {
		ent.log.Info("entry: connections closed before their end", "error", err.Error())
	}
	ent.log.Info("entry: drained")
}

// awaitCalls tells whether no call is left within the time.
func (ent *Entry) awaitCalls(ctx context.Context, limit time.Duration) bool {
	lim, cancel := ent.clock.WithTimeout(ctx, limit)
	defer cancel()
	for ent.stop.inFlight() > 0 {
		if ent.clock.Sleep(lim, stopPoll) != nil {
			return false
		}
	}
	return true
}
