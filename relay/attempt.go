package relay

import (
	"bufio"
	"context"
	"errors"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/tarragonwheel/tarragonwheel/call"
	"github.com/tarragonwheel/tarragonwheel/fleet"
	"github.com/tarragonwheel/tarragonwheel/place"
	"github.com/tarragonwheel/tarragonwheel/pool"
)

// outcome is how an attempt ended.
type outcome struct {
	final      bool   // the client has its response or has disconnected
	status     int    // sent to the client, if final
	mayHaveRun bool   // the replica may have begun to run the call
	notSent    bool   // no replica received any of the call
	reason     string // one of the reason constants
	err        error
	next       *attempt // a standby attempt that goes on; nil for none
}

// errorText returns the text of the error, or an empty string.
func (out *outcome) errorText() string { return errorText(out.err) }

// sendAttempt sends the call once, to the replicas of a placement, and forwards the response.
func (hdl *callHandler) sendAttempt(plc *place.Placement) outcome {
	att := hdl.newAttempt(plc)
	defer att.end()
	if out := att.open(); out != nil {
		return *out
	}
	att.stall = att.watchStall()
	att.overdue = att.watchOverdue()
	return att.finish(att.roundTrip())
}

// resumeWith goes on with a standby attempt, whose stream has begun, or a second one, whose response is complete.
func (hdl *callHandler) resumeWith(att *attempt) outcome {
	defer att.end()
	hdl.placement, hdl.placedAt = *att.placement, att.placedAt
	att.stall = att.watchStall()
	if att.whole != nil {
		return att.finish(att.deliver(att.whole))
	}
	return att.finish(att.forwardStream())
}

// finish ends the watch of the attempt and settles its outcome.
func (att *attempt) finish(out outcome) outcome {
	isFinal := out.final || att.hdl.ctx.Err() != nil
	out.next = att.stall.stop(isFinal)
	if next := att.overdue.stop(isFinal); next != nil {
		out.next = next
	}
	att.settle(&out)
	return out
}

// settle records the outcome of the attempt.
func (att *attempt) settle(out *outcome) {
	if out.mayHaveRun {
		att.hdl.possibleRuns++
	}
	if att.con != nil && !att.connReleased {
		_ = att.con.Close() // It may still carry bytes of this call.
	}
	if att.con != nil {
		att.recordReplicaHealth(out)
	}
}

// attempt is one request and its response on a connection to a replica.
type attempt struct {
	hdl                *callHandler
	con                *pool.Conn // nil before it is open
	placement          *place.Placement
	placedAt           time.Time // when the attempt was begun
	ctx                context.Context
	cancel             context.CancelFunc
	task               fleet.Task
	tasks              attemptTasks
	needsNewConn       bool
	sent               fleet.Sent // for the slow start of the replica
	message            call.Attempt
	buffers            *callBuffers // for bodies and events
	cleanup            []func()     // to be called at the end, the last one first
	reply              call.Reply
	response           *http.Response
	events             *eventReader              // of the response, if it is a stream
	ahead              atomic.Pointer[readAhead] // nil unless the client reads slowly
	rest               resumption
	sentEvent          bool          // an event of this attempt, other than a comment, was sent to the client
	connReleased       bool          // the connection was returned to the pool
	replyReceived      bool          // the head of a response to the call has been read
	eventsReceived     int           // other than comments
	brokenOff          bool          // reading the response has failed
	firstEventReceived atomic.Bool   // of a stream
	lastEventAt        time.Time     // when the latest event was sent to the client; zero before the first
	stall              *stallWatch   // nil while a standby or second attempt is prepared
	overdue            *overdueWatch // nil if no second attempt may begin
	whole              *fullReply    // the response of a second attempt, once it is complete
	reservationUnused  atomic.Bool   // the attempt was ended because its reserved KV memory was not used
}

// newAttempt returns the next attempt at the call.
func (hdl *callHandler) newAttempt(plc *place.Placement) *attempt {
	needsNewConn := hdl.needsNewConn(plc.Primary.ID)
	hdl.attempts++
	hdl.triedReplicas = append(hdl.triedReplicas, plc.Primary.ID)
	now := hdl.opts.Clock.Now()
	ctx, cancel := hdl.opts.Clock.WithTimeout(hdl.ctx, hdl.deadline.Sub(now))
	return &attempt{
		hdl: hdl, placement: plc, placedAt: now, ctx: ctx, cancel: cancel, cleanup: []func(){cancel},
		task: hdl.newTask(plc), buffers: &hdl.buffers,
		needsNewConn: needsNewConn, rest: newResumption(hdl),
		message: call.Attempt{
			Replica: plc.Primary.ID, Account: hdl.account, Priority: enginePriority(hdl.rte.LatencyTarget),
			LastEventID: hdl.lastEventID, HasLastEventID: hdl.hasLastEventID,
		},
	}
}

// needsNewConn tells whether the next attempt needs a new connection to a replica. On a used one the call could not
// tell a late answer to an earlier call from its own if it has no ID or was at that replica before. A call that must
// not be sent again, or that may be denied another retry, would be lost if the replica closed the used one.
func (hdl *callHandler) needsNewConn(replica string) bool {
	return !hdl.rte.Retryable() || hdl.possibleRuns > 0 || hdl.rte.MaxAttempts <= 1 || hdl.cal.ID == "" ||
		slices.Contains(hdl.triedReplicas, replica)
}

// open reserves KV memory at helper replicas and connects to the primary one. It returns the outcome of the attempt if
// that fails, and nil otherwise.
func (att *attempt) open() *outcome {
	hdl, plc := att.hdl, att.placement
	if plc.Primary.Replica.Paused() { // It has asked for the pause since the call was placed.
		return &outcome{notSent: true, reason: reasonReplicasPause}
	}
	if att.isEvacuated() { // Since the call was placed.
		return &outcome{notSent: true, reason: reasonEvacuated}
	}
	att.tasks = hdl.takeClaim()
	if att.tasks == nil {
		att.tasks = hdl.startTasks(plc, att.task, false)
	}
	att.onEnd(att.tasks.end)
	mem, err := hdl.opts.Reserver.reserve(hdl.ctx, plc)
	if err != nil {
		att.excludeFailedHelpers(err)
		return &outcome{notSent: true, reason: reasonNoMemory, err: err}
	}
	att.onEnd(func() { mem.release(hdl.ctx) })
	att.message.Helpers = mem.helpers
	con, err := hdl.opts.Pool.Get(att.ctx, plc.Primary.ID, plc.Primary.Address, att.needsNewConn)
	if err != nil {
		if att.ctx.Err() == nil {
			plc.Primary.Replica.RecordNoConnection()
		}
		return &outcome{notSent: true, reason: reasonUnreachable, err: err}
	}
	if att.isEvacuated() { // Since the reservations were made.
		_ = con.Close() // Nothing was sent on it.
		return &outcome{notSent: true, reason: reasonEvacuated}
	}
	if out := att.takeCall(con); out != nil {
		return out
	}
	att.con = con
	stop := context.AfterFunc(att.ctx, func() { _ = con.Close() }) // Cancels the call at the replica and ends reads.
	att.onEnd(func() { stop() })
	watch := mem.watchUse(
		att.ctx, hdl.opts.ReservationUseTimeout, att.firstEventReceived.Load, att.abortUnusedReservation)
	att.onEnd(watch.Stop)
	att.onEnd(att.queryLatencyIfOverdue().Stop)
	return nil
}

// newConcurrentAttempt returns an attempt that runs beside the one in progress, on a connection and with buffers of its
// own.
func (hdl *callHandler) newConcurrentAttempt(plc *place.Placement) *attempt {
	att := hdl.newAttempt(plc)
	att.needsNewConn = true
	att.buffers = &callBuffers{buffers: hdl.relay.buffers}
	att.onEnd(att.buffers.release)
	return att
}

// discard ends a standby or second attempt that is not needed, although it has succeeded so far.
func (att *attempt) discard() {
	att.settle(&outcome{mayHaveRun: true, reason: reasonDone})
	att.end()
}

// onEnd registers a function to be called at the end of the attempt.
func (att *attempt) onEnd(fn func()) { att.cleanup = append(att.cleanup, fn) }

// end releases what the attempt holds.
func (att *attempt) end() {
	for idx := len(att.cleanup) - 1; idx >= 0; idx-- {
		att.cleanup[idx]()
	}
	att.ahead.Load().stop()
}

// abortUnusedReservation ends the attempt because its reserved KV memory is not used, so that other calls can have it.
func (att *attempt) abortUnusedReservation() {
	if !att.firstEventReceived.Load() {
		att.reservationUnused.Store(true)
		_ = att.con.Close() // Cancels the call at the replica and ends reads.
	}
}

// roundTrip sends the call on the connection and forwards the response.
func (att *attempt) roundTrip() outcome {
	if out := att.exchange(); out != nil {
		return *out
	}
	if att.events != nil {
		att.overdue.cancel() // Its events go to the client at once.
		return att.forwardStream()
	}
	return att.forwardReply()
}

// exchange sends the call on the connection and reads the head of the response. It returns the outcome of the attempt
// if that fails, and nil otherwise.
func (att *attempt) exchange() *outcome {
	hdl := att.hdl
	att.message.TimeLeft = hdl.deadline.Sub(hdl.opts.Clock.Now())
	if err := att.con.WriteRequest(hdl.opts.Codec.WriteCall(hdl.cal, &att.message)); err != nil {
		return &outcome{mayHaveRun: true, reason: reasonSendFailed, err: err}
	}
	belongsToCall := func(res *http.Response) bool {
		att.reply = hdl.opts.Codec.ReadReply(res)
		att.recordNotice() // Also of a response to another call: it comes from the same replica.
		// Some replicas may refuse a call without its ID. On a used connection such a refusal may be an earlier one.
		return hdl.cal.ID == "" || att.reply.CallID == hdl.cal.ID ||
			(att.reply.CallID == "" && att.reply.NotExecuted && !att.con.Reused())
	}
	//nolint:bodyclose // The whole connection is closed or returned to the pool.
	res, err := att.con.ReadResponse(hdl.cal.Method, belongsToCall)
	if err != nil {
		return &outcome{mayHaveRun: true, reason: att.failureReason(err), err: err}
	}
	att.replyReceived, att.response = true, res
	if isStream(res) && att.reply.Status == http.StatusOK {
		att.events = &eventReader{reader: bufio.NewReader(res.Body), buffers: att.buffers}
	}
	return nil
}

// isStream tells whether a response is a stream of server-sent events.
func isStream(res *http.Response) bool {
	return strings.HasPrefix(res.Header.Get("Content-Type"), "text/event-stream")
}

// failureReason returns the reason why a read from the connection failed with err, and notes that the response was
// broken off.
func (att *attempt) failureReason(err error) string {
	att.brokenOff = true
	switch {
	case att.hdl.ctx.Err() != nil:
		return att.hdl.interruption()
	case att.ctx.Err() != nil:
		return reasonTimeLimit
	case att.reservationUnused.Load():
		return reasonReservationUnused
	case att.stall != nil && att.stall.isStalled():
		return reasonStalled
	case att.overdue.hasOvertaken():
		return reasonOvertaken
	case errors.Is(err, pool.ErrTooLong), errors.Is(err, errTooLarge), errors.Is(err, errEventTooLong):
		att.hdl.opts.Metrics.CountEvent("response-too-long")
		att.hdl.opts.Log.Info("relay: response is too long, closing the connection", "call", att.hdl.cal.ID,
			"replica", att.placement.Primary.ID, "bytes-held", att.buffers.held, "error", err.Error())
		return reasonReplicaFailed
	case errors.Is(err, errBuffersFull):
		return reasonBuffersFull
	case att.ahead.Load().wasUnread():
		return reasonUnread
	case errors.Is(err, pool.ErrMalformed):
		att.recordMalformed(err)
		return reasonReplicaFailed
	case errors.Is(err, pool.ErrMismatchedResponse), !att.con.Ended():
		return reasonReplicaFailed // The connection is open, so the replica has not crashed.
	}
	return reasonStreamBroken
}
