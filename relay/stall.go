package relay

import (
	"math"
	"sync"
	"time"

	"github.com/tarragonwheel/tarragonwheel/timer"
)

// Shares of the client idle timeout without an event.
const (
	// examineShare is the share after which the replica is asked how it is.
	examineShare = 0.5
	// giveUpShare is the share after which a run may be given up at the latest. The rest is left for another replica.
	giveUpShare = 0.7
	// abandonShare is the share after which a client that is still connected cannot be waiting for an event.
	abandonShare = 3.0
	// recheckShare is the share between two examinations of a run that cannot be given up yet.
	recheckShare = 0.1
)

const (
	// soundSilence is how long sound replicas may be silent. A run is not given up sooner if its client still waits.
	soundSilence = 1500 * time.Millisecond
	// defaultIdleTimeout takes the place of the client idle timeout on routes without one.
	defaultIdleTimeout = 10 * time.Second
)

// stallTimes are the times without an event after which something is done.
type stallTimes struct {
	examine time.Duration
	giveUp  time.Duration
	abandon time.Duration
	recheck time.Duration // between examinations from giveUp on
}

// newStallTimes returns the times for a client idle timeout, 0 for clients that do not disconnect.
func newStallTimes(idle time.Duration) stallTimes {
	abandon := partOf(idle, abandonShare)
	if idle <= 0 {
		idle, abandon = defaultIdleTimeout, math.MaxInt64
	}
	examine := partOf(idle, examineShare)
	return stallTimes{
		examine: examine, giveUp: min(max(examine, soundSilence), partOf(idle, giveUpShare)), abandon: abandon,
		recheck: partOf(idle, recheckShare),
	}
}

func partOf(dur time.Duration, part float64) time.Duration { return time.Duration(part * float64(dur)) }

// stallWatch watches a stream whose replica sends no events, though perhaps single bytes or comments. A sound replica
// may be silent for a while and go on, so its run is given up only once the stream of a standby attempt has begun.
type stallWatch struct {
	att         *attempt
	times       stallTimes
	mu          sync.Mutex
	dueBy       time.Time // when the next event was due at the latest
	silentSince time.Time // when the latest event came, or when the attempt began
	timer       *timer.Subscription
	sending     bool // an event is on its way to the client, so that no other is awaited
	slow        slowCheck
	examined    bool // since the latest event
	stopped     bool
	stalled     bool
	standby     *attempt // that is being prepared; nil for none
	standbyDone chan struct{}
	next        *attempt // a standby attempt whose stream has begun, for which the run was given up
}

// watchStall starts to watch the attempt if it is a stream.
func (att *attempt) watchStall() *stallWatch {
	hdl := att.hdl
	now := hdl.opts.Clock.Now()
	wtc := &stallWatch{
		att: att, times: newStallTimes(hdl.rte.ClientIdleTimeout), stopped: !hdl.rte.IsStream(), silentSince: now,
		dueBy: now.Add(att.placement.FirstEvent), // The engine may have predicted prefill before the first event.
	}
	wtc.mu.Lock()
	defer wtc.mu.Unlock()
	wtc.schedule(wtc.times.examine - wtc.silence())
	wtc.scheduleSlowCheck()
	return wtc
}

// recordEvent records that the replica has sent an event, which is now sent to the client. A slow client may delay
// that.
func (wtc *stallWatch) recordEvent() {
	wtc.mu.Lock()
	defer wtc.mu.Unlock()
	if wtc.examined {
		hdl := wtc.att.hdl
		hdl.opts.Metrics.CountEvent("stream-resumed-by-itself")
		hdl.opts.Log.Info("relay: stream goes on after a silence", "call", hdl.cal.ID,
			"replica", wtc.att.placement.Primary.ID, "silent", hdl.opts.Clock.Since(wtc.silentSince))
	}
	if wtc.standby != nil {
		wtc.standby.cancel()
	}
	wtc.sending, wtc.examined = true, false
}

// awaitEvent records that the next event is awaited from now on.
func (wtc *stallWatch) awaitEvent() {
	wtc.mu.Lock()
	defer wtc.mu.Unlock()
	wtc.sending = false
	wtc.dueBy = wtc.att.hdl.opts.Clock.Now()
	wtc.silentSince = wtc.dueBy
}

// isStalled reports whether the watch has ended the attempt.
func (wtc *stallWatch) isStalled() bool {
	wtc.mu.Lock()
	defer wtc.mu.Unlock()
	return wtc.stalled
}

// silence returns how long an event has been overdue, and 0 while none is awaited. The lock must be held.
func (wtc *stallWatch) silence() time.Duration {
	if wtc.sending {
		return 0
	}
	return wtc.att.hdl.opts.Clock.Since(wtc.dueBy)
}

// schedule sets the timer for the next examination. The lock must be held.
func (wtc *stallWatch) schedule(after time.Duration) {
	if !wtc.stopped {
		wtc.timer = wtc.att.hdl.opts.Clock.After(after, wtc.examine)
	}
}

// examine asks the replica of a silent stream how it is, and decides whether its run goes on.
func (wtc *stallWatch) examine() {
	wtc.mu.Lock()
	silent := wtc.silence()
	isDue := !wtc.stopped && silent >= wtc.times.examine
	if !isDue {
		wtc.schedule(wtc.times.examine - silent)
	}
	wtc.mu.Unlock()
	if !isDue {
		return
	}
	state := wtc.att.queryRun(silent)
	wtc.mu.Lock()
	defer wtc.mu.Unlock()
	wtc.decide(state)
}

// decide ends the attempt, begins a standby attempt or goes on watching. The lock must be held: an event that arrives
// meanwhile is recorded under it before anything else of the call is changed.
func (wtc *stallWatch) decide(state runState) {
	silent := wtc.silence()
	if wtc.stopped || silent < wtc.times.examine { // An event has come meanwhile.
		wtc.schedule(wtc.times.examine - silent)
		return
	}
	wtc.examined = true
	switch {
	case state == runDelayed:
		wtc.dueBy = wtc.att.hdl.opts.Clock.Now()
		wtc.schedule(wtc.times.examine)
	case silent >= wtc.times.abandon:
		if wtc.standby != nil {
			wtc.standby.cancel()
		}
		wtc.endAttempt()
	case state == runLost:
		wtc.endAttempt()
	case silent < wtc.times.giveUp:
		wtc.schedule(wtc.times.giveUp - silent)
	case wtc.standby != nil:
		wtc.schedule(wtc.times.recheck)
	default:
		wtc.startStandby()
	}
}

// endAttempt ends the attempt. The lock must be held.
func (wtc *stallWatch) endAttempt() {
	wtc.stalled, wtc.stopped = true, true
	hdl := wtc.att.hdl
	hdl.opts.Metrics.CountEvent("stream-given-up")
	hdl.opts.Log.Info("relay: stream given up", "call", hdl.cal.ID, "replica", wtc.att.placement.Primary.ID,
		"silent", hdl.opts.Clock.Since(wtc.silentSince), "resumed", wtc.next != nil)
	_ = wtc.att.con.Close() // Cancels the call at the replica and ends reads.
}
