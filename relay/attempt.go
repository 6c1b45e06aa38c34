package relay

import (
	"context"
	"errors"
	"fmt"
	"net/http"
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
}

// errorText returns the text of the error, or an empty string.
func (out *outcome) errorText() string {
	if out.err == nil {
		return ""
	}
	return out.err.Error()
}

// sendAttempt sends the call once, to the replicas of a placement, and forwards the response. It reserves KV memory at
// helper replicas first and releases it at the end.
func (hdl *callHandler) sendAttempt(plc *place.Placement) outcome {
	hdl.attempts++
	tasks := hdl.startTasks(plc)
	defer tasks.end()
	mem, err := hdl.opts.Reserver.reserve(hdl.ctx, plc)
	if err != nil {
		return outcome{notSent: true, reason: reasonNoMemory, err: err}
	}
	defer mem.release(hdl.ctx)
	now := hdl.opts.Clock.Now()
	ctx, cancel := hdl.opts.Clock.WithTimeout(hdl.ctx, hdl.deadline.Sub(now))
	defer cancel()
	rep := plc.Primary.Replica
	if rep.Paused() { // It has asked for the pause since the call was placed.
		return outcome{notSent: true, reason: reasonReplicasPause}
	}
	con, err := hdl.opts.Pool.Get(ctx, plc.Primary.ID, plc.Primary.Address, !hdl.rte.Retryable())
	if err != nil {
		if ctx.Err() == nil {
			rep.RecordUnreachable()
		}
		return outcome{notSent: true, reason: reasonUnreachable, err: err}
	}
	stop := context.AfterFunc(ctx, func() { _ = con.Close() }) // Cancels the call at the replica and ends reads.
	defer stop()
	att := &attempt{hdl: hdl, con: con, placement: plc, tasks: tasks, ctx: ctx}
	defer mem.watchUse(ctx, hdl.opts.ReservationUseTimeout, att.abortUnusedReservation).Stop()
	defer att.queryLatencyIfOverdue().Stop()
	att.stall = att.watchStall()
	defer att.stall.stop()
	out := att.roundTrip(&call.Attempt{
		Replica: plc.Primary.ID, Account: hdl.account, TimeLeft: hdl.deadline.Sub(hdl.opts.Clock.Now()),
		Helpers:     mem.helpers,
		Priority:    enginePriority(hdl.rte.LatencyTarget),
		LastEventID: hdl.lastEventID, HasLastEventID: hdl.hasLastEventID,
	})
	if out.mayHaveRun {
		hdl.possibleRuns++
	}
	if !att.connReleased {
		_ = con.Close() // It may still carry bytes of this call.
	}
	att.recordReplicaHealth(&out)
	return out
}

// attemptTasks are the tasks of an attempt: the call at the primary replica, then the prompt parts at helper replicas.
type attemptTasks []*fleet.LocalTask

// startTasks registers the tasks of an attempt, so that they count as load of their replicas.
func (hdl *callHandler) startTasks(plc *place.Placement) attemptTasks {
	tsk := hdl.newTask(plc)
	tasks := attemptTasks{plc.Primary.Replica.StartTask(tsk, hdl.opts.OnTaskChange)}
	for _, hlp := range plc.Helpers {
		part := fleet.Task{
			IsPart: true, SplitPrompt: true, KVTokens: hlp.ReserveTokens, PrefillTime: plc.PrefillTime,
			DueAt: tsk.DueAt, ExpectedAt: tsk.ExpectedAt, TargetMissed: tsk.TargetMissed,
			Value: tsk.Value * place.PartValueShare,
		}
		tasks = append(tasks, hlp.View.Replica.StartTask(part, hdl.opts.OnTaskChange))
	}
	return tasks
}

// markDecoding records that prefill is over: the call is decoding, and the tasks of the prompt parts have ended.
func (tks attemptTasks) markDecoding() {
	tks[0].MarkDecoding()
	for _, tsk := range tks[1:] {
		tsk.End()
	}
}

// end ends all tasks.
func (tks attemptTasks) end() {
	for _, tsk := range tks {
		tsk.End()
	}
}

// attempt is one request and its response on a connection to a replica.
type attempt struct {
	hdl                *callHandler
	con                *pool.Conn
	placement          *place.Placement
	tasks              attemptTasks
	ctx                context.Context
	connReleased       bool        // the connection was returned to the pool
	replyReceived      bool        // the head of a response to the call has been read
	answered           bool        // a whole response or the first event of a stream has been read
	firstEventReceived atomic.Bool // of a stream
	lastEventAt        time.Time   // when the latest event was sent to the client; zero before the first
	stall              *stallWatch
	reservationUnused  atomic.Bool // the attempt was ended because its reserved KV memory was not used
}

// abortUnusedReservation ends the attempt because its reserved KV memory is not used, so that other calls can have it.
func (att *attempt) abortUnusedReservation() {
	if !att.firstEventReceived.Load() {
		att.reservationUnused.Store(true)
		_ = att.con.Close() // Cancels the call at the replica and ends reads.
	}
}

// roundTrip sends the call on the connection and forwards the response.
func (att *attempt) roundTrip(msg *call.Attempt) outcome {
	hdl := att.hdl
	if err := att.con.WriteRequest(hdl.opts.Codec.WriteCall(hdl.cal, msg)); err != nil {
		return outcome{mayHaveRun: true, reason: reasonSendFailed, err: err}
	}
	var rep call.Reply
	belongsToCall := func(res *http.Response) bool {
		rep = hdl.opts.Codec.ReadReply(res)
		att.recordNotice(&rep) // Also of a response to another call: it comes from the same replica.
		return hdl.cal.ID == "" || rep.CallID == hdl.cal.ID || (rep.CallID == "" && rep.NotExecuted)
	}
	//nolint:bodyclose // The whole connection is closed or returned to the pool.
	res, err := att.con.ReadResponse(hdl.cal.Method, belongsToCall)
	if err != nil {
		return outcome{mayHaveRun: true, reason: att.failureReason(err), err: err}
	}
	att.replyReceived = true
	if isStream(res) && rep.Status == http.StatusOK {
		return att.forwardStream(res, rep)
	}
	return att.forwardReply(res, rep)
}

// isStream tells whether a response is a stream of server-sent events.
func isStream(res *http.Response) bool {
	return strings.HasPrefix(res.Header.Get("Content-Type"), "text/event-stream")
}

// failureReason returns the reason why a read from the connection failed with err.
func (att *attempt) failureReason(err error) string {
	switch {
	case att.hdl.ctx.Err() != nil:
		return reasonClientLeft
	case att.ctx.Err() != nil:
		return reasonTimeLimit
	case att.reservationUnused.Load():
		return reasonReservationUnused
	case att.stall.isStalled():
		return reasonStalled
	case errors.Is(err, pool.ErrTooLong), errors.Is(err, errTooLarge), errors.Is(err, errEventTooLong):
		att.hdl.opts.Metrics.CountEvent("response-too-long")
		att.hdl.opts.Log.Info("relay: response is too long, closing the connection", "call", att.hdl.cal.ID,
			"replica", att.placement.Primary.ID, "bytes-held", att.hdl.buffers.held, "error", err.Error())
		return reasonReplicaFailed
	case errors.Is(err, errBuffersFull):
		return reasonBuffersFull
	case errors.Is(err, pool.ErrMismatchedResponse), errors.Is(err, pool.ErrMalformed):
		return reasonReplicaFailed // The connection is open, so the replica has not crashed.
	}
	return reasonStreamBroken
}

// forwardReply forwards a response that is not a stream, once it has been read to its end.
func (att *attempt) forwardReply(res *http.Response, rep call.Reply) outcome {
	body, err := att.hdl.buffers.readAll(res.Body, maxReplyBytes)
	switch {
	case rep.NotExecuted:
		att.releaseConn(res, err)
		return outcome{reason: reasonNotRun}
	case err != nil:
		return outcome{
			mayHaveRun: true, reason: att.failureReason(err), err: fmt.Errorf("relay: read response: %w", err),
		}
	}
	att.releaseConn(res, nil)
	att.recordAnswer()
	if defect := att.replyDefect(rep); defect != "" {
		return outcome{mayHaveRun: true, reason: reasonReplicaFailed, err: errors.New(defect)}
	}
	rpl := &fullReply{reply: rep, body: body}
	hdl := att.hdl
	if hdl.headSent { // Part of a stream has been sent, so another response cannot follow.
		return outcome{mayHaveRun: true, reason: reasonReplicaFailed, err: fmt.Errorf("relay: status %d", rep.Status)}
	}
	if rep.Status >= http.StatusInternalServerError && hdl.rte.Retryable() {
		hdl.fallback = rpl
		return outcome{mayHaveRun: true, reason: reasonReplicaFailed, err: fmt.Errorf("relay: status %d", rep.Status)}
	}
	hdl.sendReply(rpl)
	return outcome{final: true, status: rep.Status, mayHaveRun: true, reason: reasonDone}
}

// replyDefect returns why a response must not be forwarded, or an empty string if it may be.
func (att *attempt) replyDefect(rep call.Reply) string {
	switch {
	case rep.Status < http.StatusMultipleChoices && !rep.Signed:
		return "relay: success response without a replica signature"
	case rep.Encoded:
		return "relay: response body has a content encoding"
	case impliesNotRun(rep.Status):
		// The replica does not state that it did not run the call, so clients must not conclude that from the status.
		return fmt.Sprintf("relay: status %d without a statement that the call did not run", rep.Status)
	}
	return ""
}

// impliesNotRun tells whether clients conclude from a status that the call did not run and is safe to send again.
func impliesNotRun(status int) bool {
	return status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable ||
		status == http.StatusRequestTimeout || status == http.StatusMisdirectedRequest
}

// releaseConn returns the connection to the pool unless reading the response failed with err or the replica leaves.
func (att *attempt) releaseConn(res *http.Response, err error) {
	if err == nil && !att.placement.Primary.Replica.Leaving() {
		att.con.Release(res)
		att.connReleased = true
	}
}

// recordReplicaHealth updates the failure rate of the primary replica with the outcome, and records a crash if there
// was one.
func (att *attempt) recordReplicaHealth(out *outcome) {
	rep := att.placement.Primary.Replica
	switch {
	case out.reason == reasonDone, out.reason == reasonNotRun && len(att.placement.Helpers) > 0:
		rep.RecordSuccess() // A split prompt may be refused because of a helper replica, so that is no failure.
	case out.reason == reasonClientLeft, out.reason == reasonTimeLimit, out.reason == reasonReservationUnused,
		out.reason == reasonBuffersFull:
		// The client or this process ended the call, which says nothing about the replica.
	case out.reason == reasonStreamBroken && !att.answered:
		att.recordCrash()
	case att.con.Reused() && !att.replyReceived:
		// The connection may have been unusable before the call, which says nothing about the replica.
	default:
		rep.RecordFailure()
	}
}

// enginePriority returns the priority of a call at the engine, from the latency target of its route. The engine admits
// calls with lower numbers first.
func enginePriority(target time.Duration) int {
	switch {
	case target <= 0:
		return 5
	case target <= 500*time.Millisecond:
		return 2
	case target <= 2*time.Second:
		return 4
	}
	return 6
}
