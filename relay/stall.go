package relay

import (
	"context"
	"sync"
	"time"

	"github.com/tarragonwheel/tarragonwheel/timer"
)

// Times after which a stream without events is examined.
const (
	// stallShare is the share of the client idle timeout without an event after which a stream is examined. The rest
	// is left for another replica.
	stallShare = 0.5
	// defaultStallTime applies to routes without a client idle timeout.
	defaultStallTime = 5 * time.Second
)

// slowLatencyRatio is the reported latency ratio from which missing events are put down to a slow replica.
const slowLatencyRatio = 2.0

// Report is what a replica says of itself.
type Report struct {
	LatencyRatio float64 // observed over expected time; above 1 the replica is slow
	Running      int     // calls in progress
	Queued       int     // calls that wait for a slot
}

// stallWatch ends an attempt at a stream that has stalled: its replica lives, or at least its connection does, but
// sends no events, though perhaps single bytes or comments. A stream that is slow because its replica is busy or slow
// is left alone.
type stallWatch struct {
	att     *attempt
	limit   time.Duration // without an event, after which the stream is examined
	mu      sync.Mutex
	dueBy   time.Time // when the next event was due at the latest
	timer   *timer.Subscription
	sending bool // an event is on its way to the client, so that no other is awaited
	stopped bool
	stalled bool
}

// watchStall starts to watch the attempt if it is a stream.
func (att *attempt) watchStall() *stallWatch {
	hdl := att.hdl
	wtc := &stallWatch{att: att, limit: defaultStallTime}
	if hdl.rte.ClientIdleTimeout > 0 {
		wtc.limit = time.Duration(stallShare * float64(hdl.rte.ClientIdleTimeout))
	}
	// The engine may have predicted prefill before the first event.
	wtc.dueBy = hdl.opts.Clock.Now().Add(att.placement.FirstEvent)
	if !hdl.rte.IsStream() {
		wtc.stopped = true
		return wtc
	}
	wtc.schedule()
	return wtc
}

// recordEvent records that the replica has sent an event, which is now sent to the client. A slow client may delay that.
func (wtc *stallWatch) recordEvent() {
	wtc.mu.Lock()
	defer wtc.mu.Unlock()
	if silent := wtc.att.hdl.opts.Clock.Since(wtc.dueBy); silent >= wtc.limit {
		wtc.att.hdl.opts.Metrics.CountEvent("stream-resumed-by-itself")
		wtc.att.hdl.opts.Log.Info("relay: stream goes on after a silence", "call", wtc.att.hdl.cal.ID,
			"replica", wtc.att.placement.Primary.ID, "silent", silent)
	}
	wtc.sending = true
}

// awaitEvent records that the next event is awaited from now on.
func (wtc *stallWatch) awaitEvent() {
	wtc.mu.Lock()
	defer wtc.mu.Unlock()
	wtc.sending = false
	wtc.dueBy = wtc.att.hdl.opts.Clock.Now()
}

// silence returns how long an event has been overdue, and 0 while none is awaited. The lock must be held.
func (wtc *stallWatch) silence() time.Duration {
	if wtc.sending {
		return 0
	}
	return wtc.att.hdl.opts.Clock.Since(wtc.dueBy)
}

// stop ends the watch.
func (wtc *stallWatch) stop() {
	wtc.mu.Lock()
	defer wtc.mu.Unlock()
	wtc.stopped = true
	if wtc.timer != nil {
		wtc.timer.Stop()
	}
}

// isStalled reports whether the watch has ended the attempt.
func (wtc *stallWatch) isStalled() bool {
	wtc.mu.Lock()
	defer wtc.mu.Unlock()
	return wtc.stalled
}

// schedule sets the timer for the time at which the stream is to be examined unless an event comes.
func (wtc *stallWatch) schedule() {
	wtc.mu.Lock()
	defer wtc.mu.Unlock()
	if !wtc.stopped {
		wtc.timer = wtc.att.hdl.opts.Clock.After(wtc.limit-wtc.silence(), wtc.examine)
	}
}

// examine ends the attempt if the stream has stalled.
func (wtc *stallWatch) examine() {
	wtc.mu.Lock()
	silent := wtc.silence()
	stopped := wtc.stopped
	wtc.mu.Unlock()
	if stopped {
		return
	}
	if silent < wtc.limit {
		wtc.schedule()
		return
	}
	stalled := wtc.hasStalled(silent)
	wtc.mu.Lock()
	if wtc.stopped || wtc.silence() < wtc.limit {
		stalled = false // An event has come meanwhile.
	}
	wtc.stalled = stalled
	if !stalled && !wtc.sending {
		wtc.dueBy = wtc.att.hdl.opts.Clock.Now()
	}
	wtc.mu.Unlock()
	if stalled {
		_ = wtc.att.con.Close() // Cancels the call at the replica and ends reads.
		return
	}
	wtc.schedule()
}

// hasStalled asks the replica how it is, and tells whether the stream has stalled there.
func (wtc *stallWatch) hasStalled(silent time.Duration) bool {
	att := wtc.att
	hdl, rep := att.hdl, att.placement.Primary.Replica
	hdl.opts.Metrics.CountEvent("stream-examined")
	ctx, cancel := hdl.opts.Clock.WithTimeout(context.WithoutCancel(att.ctx), replicaAPITimeout)
	defer cancel()
	rpt, err := hdl.opts.Reserver.api.Report(ctx, rep.Registration().Address)
	longPrefill := rep.HadLongPrefill(silent + wtc.limit)
	stalled := false
	switch {
	case err != nil:
		// The replica may only be silent for a while. Its work is given up only if another replica can go on, because
		// the client disconnects soon.
		stalled = hdl.rte.Retryable()
	case rpt.Running+rpt.Queued == 0:
		stalled = true
	default:
		rep.SetReportedLatencyRatio(rpt.LatencyRatio)
		stalled = rpt.LatencyRatio < slowLatencyRatio && rpt.Queued == 0 && !longPrefill
	}
	hdl.opts.Log.Info("relay: stream without events", "call", hdl.cal.ID, "replica", att.placement.Primary.ID,
		"silent", silent, "reported", err == nil, "running", rpt.Running,
		"queued", rpt.Queued, "latency-ratio", rpt.LatencyRatio, "long-prefill", longPrefill, "stalled", stalled)
	return stalled
}
