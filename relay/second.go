package relay

import (
	"errors"
	"net/http"
	"sync"
	"time"

	"github.com/tarragonwheel/tarragonwheel/hedge"
	"github.com/tarragonwheel/tarragonwheel/timer"
)

// overdueWatch begins a second attempt at a call that is not a stream when its response is overdue. The first complete
// response is sent to the client, and the other attempt is cancelled.
type overdueWatch struct {
	att     *attempt
	after   time.Duration // since the attempt was begun
	timer   *timer.Subscription
	mu      sync.Mutex
	stopped bool     // no second attempt is needed any more
	second  *attempt // in progress; nil for none
	done    chan struct{}
	next    *attempt // a second attempt whose response is complete, for which the first was given up
}

var errUnexpectedStream = errors.New("relay: the response is a stream")

// hedgeKey returns what the response times of the call are kept by.
func (hdl *callHandler) hedgeKey() hedge.Key {
	return hedge.Key{Route: hdl.rte.Name, Service: hdl.service}
}

// mayOvertake tells whether the call may have two attempts at the same time.
func (hdl *callHandler) mayOvertake() bool {
	return !hdl.rte.IsStream() && hdl.rte.Retryable() && hdl.rte.MaxAttempts > 1
}

// watchOverdue starts to watch whether the response to the attempt is overdue. It returns nil if no second attempt may
// begin.
func (att *attempt) watchOverdue() *overdueWatch {
	hdl := att.hdl
	if !hdl.mayOvertake() {
		return nil
	}
	left := hdl.deadline.Sub(att.placedAt)
	after, ok := hdl.relay.responseTimes.OverdueAfter(hdl.hedgeKey(), att.placement.FirstEvent, left)
	if !ok {
		return nil
	}
	wtc := &overdueWatch{att: att, after: after}
	wtc.timer = hdl.opts.Clock.After(after, wtc.begin)
	return wtc
}

// begin begins the second attempt if one may be begun.
func (wtc *overdueWatch) begin() {
	wtc.mu.Lock()
	defer wtc.mu.Unlock()
	if wtc.stopped || wtc.att.ctx.Err() != nil {
		return
	}
	hdl := wtc.att.hdl
	plc := hdl.placeStandby(wtc.att.placement)
	if plc == nil {
		hdl.opts.Metrics.CountEvent("second-attempt-denied")
		return
	}
	sec := hdl.newConcurrentAttempt(plc)
	done := make(chan struct{})
	wtc.second, wtc.done = sec, done
	hdl.opts.Metrics.CountEvent("second-attempt")
	hdl.opts.Log.Info("relay: response is overdue, second attempt begins", "call", hdl.cal.ID,
		"replica", wtc.att.placement.Primary.ID, "second", plc.Primary.ID, "overdue-after", wtc.after,
		"route", hdl.rte.Name)
	go func() {
		defer close(done)
		wtc.finish(sec, sec.receiveReply())
	}()
}

// finish gives the first attempt up for a second one whose response is complete. The outcome is nil if it is.
func (wtc *overdueWatch) finish(sec *attempt, out *outcome) {
	wtc.mu.Lock()
	defer wtc.mu.Unlock()
	wtc.second = nil
	hdl := sec.hdl
	overtakes := out == nil && !wtc.stopped
	if out == nil {
		out = &outcome{mayHaveRun: true, reason: reasonDone} // It is not needed if it does not overtake the first.
	}
	hdl.opts.Log.Info("relay: second attempt ended", "call", hdl.cal.ID, "replica", sec.placement.Primary.ID,
		"outcome", out.reason, "overtakes", overtakes, "took", hdl.opts.Clock.Since(sec.placedAt),
		"error", out.errorText())
	if overtakes {
		wtc.next = sec
		hdl.relay.responseTimes.Record(hdl.hedgeKey(), hdl.opts.Clock.Since(wtc.att.placedAt)) // a lower bound
		hdl.opts.Metrics.CountEvent("second-attempt-overtakes")
		_ = wtc.att.con.Close() // Cancels the call at the replica and ends reads.
		return
	}
	sec.settle(out)
	sec.end()
}

// hasOvertaken reports whether the response of the second attempt is complete.
func (wtc *overdueWatch) hasOvertaken() bool {
	if wtc == nil {
		return false
	}
	wtc.mu.Lock()
	defer wtc.mu.Unlock()
	return wtc.next != nil
}

// cancel cancels the second attempt, as the first has a complete response.
func (wtc *overdueWatch) cancel() {
	if wtc == nil {
		return
	}
	wtc.mu.Lock()
	defer wtc.mu.Unlock()
	wtc.stopped = true
	wtc.timer.Stop()
	if wtc.second != nil {
		wtc.second.cancel()
	}
}

// stop ends the watch and waits for the second attempt. It returns one whose response is complete, or nil. A final
// outcome of the first attempt cancels the second.
func (wtc *overdueWatch) stop(isFinal bool) *attempt {
	if wtc == nil {
		return nil
	}
	if isFinal {
		wtc.cancel()
	}
	wtc.mu.Lock()
	wtc.timer.Stop()
	done := wtc.done
	if done == nil {
		wtc.stopped = true // None may begin any more.
	}
	wtc.mu.Unlock()
	if done != nil {
		<-done
	}
	next := wtc.next
	if next != nil && isFinal {
		next.discard()
		return nil
	}
	return next
}

// receiveReply sends a second attempt and reads its response. It returns the outcome of the attempt if the response
// cannot be sent to the client, and nil otherwise.
func (att *attempt) receiveReply() *outcome {
	if out := att.open(); out != nil {
		return out
	}
	if out := att.exchange(); out != nil {
		return out
	}
	if att.events != nil {
		return &outcome{mayHaveRun: true, reason: reasonReplicaFailed, err: errUnexpectedStream}
	}
	rpl, out := att.readReply()
	if out == nil && rpl.reply.Status >= http.StatusInternalServerError {
		out = failedReply(rpl)
	}
	att.whole = rpl
	return out
}
