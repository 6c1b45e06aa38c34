package relay

import (
	"cmp"
	"context"
	"errors"
	"math"
	"net/http"
	"time"

	"github.com/tarragonwheel/tarragonwheel/call"
	"github.com/tarragonwheel/tarragonwheel/place"
	"github.com/tarragonwheel/tarragonwheel/rules"
)

// callHandler forwards one call. It keeps the state of the call across attempts.
type callHandler struct {
	relay    *Relay
	opts     *Options
	rw       http.ResponseWriter
	ctx      context.Context
	cal      *call.Call
	set      *rules.Set
	rte      *rules.Route
	service  string
	account  string
	deadline time.Time   // by which the client must have its response
	buffers  callBuffers // for bodies and events

	offer          place.Placement // the latest one that was considered
	priceFactor    float64         // of the account, for the offer; 0 before the first one
	deferrals      int             // how often the call has waited for a better placement
	hasYielded     bool            // the call has waited for one of an account with less recent work
	placement      place.Placement // of the latest attempt
	placedAt       time.Time       // when the placement was chosen
	claims         int             // for which the call has waited
	claimed        attemptTasks    // for the next attempt; nil if there are none
	attempts       int
	warmUpWaits    int
	possibleRuns   int        // attempts that may have run
	triedReplicas  []string   // IDs of the replicas of all attempts
	faultyHelpers  faultySet  // the helper replicas that have failed an attempt
	fallback       *fullReply // a replica's complete error response, sent if no retry succeeds
	headSent       bool       // status and headers of the response have been sent
	eventsSent     int        // events sent to the client
	lastEventID    int64      // ID of the last event that the client has
	hasLastEventID bool       // lastEventID is set
	largestIDStep  int64      // largest step from the ID of an event that was sent to that of the next one

	lastEventAt time.Time
	firstEvent  time.Duration // time from the arrival of the call to its first event
	longestGap  time.Duration // longest pause between two events
}

// fullReply is a replica's complete response.
type fullReply struct {
	reply call.Reply
	body  []byte
}

// prepare finds the route and the client account of the call and checks the size of its headers. It refuses the call
// and returns false if it must not run.
func (hdl *callHandler) prepare() bool {
	if hdl.relay.refuseNewCalls.Load() {
		hdl.refuseWhileDraining()
		return false
	}
	if !hdl.applyRules() {
		return false
	}
	if limit := hdl.set.Limits().HeaderBytes; limit > 0 && headerBytes(hdl.cal) > limit {
		hdl.sendError(http.StatusRequestHeaderFieldsTooLarge, reasonHeadersTooLarge, 0)
		return false
	}
	return true
}

// headerBytes returns the size that the target and headers of a call have on the wire.
func headerBytes(cal *call.Call) int {
	const lineOverhead = len(": \r\n")
	size := len(cal.Target)
	for name, values := range cal.Header {
		for _, val := range values {
			size += len(name) + len(val) + lineOverhead
		}
	}
	return size
}

// readBody reads the body of the request into the call. It refuses the call and returns false if the body is too large
// or incomplete.
func (hdl *callHandler) readBody(req *http.Request) bool {
	limits := hdl.set.Limits()
	maxBytes := limits.BodyBytes
	if maxBytes > 0 && req.ContentLength > maxBytes {
		hdl.sendError(http.StatusRequestEntityTooLarge, reasonBodyTooLarge, 0)
		return false
	}
	if req.Body == nil || req.Body == http.NoBody {
		return true
	}
	ctl := http.NewResponseController(hdl.rw)
	_ = ctl.SetReadDeadline(hdl.opts.Clock.Now().Add(bodyTimeout)) // If unsupported, the server's limits apply.
	defer func() { _ = ctl.SetReadDeadline(time.Time{}) }()
	defer context.AfterFunc(hdl.ctx, func() { _ = ctl.SetReadDeadline(hdl.opts.Clock.Now()) })() // Ends the read.
	if maxBytes <= 0 {
		maxBytes = noBodyLimit
	}
	body, err := hdl.buffers.readAll(req.Body, maxBytes)
	switch {
	case errors.Is(err, errTooLarge):
		hdl.rw.Header().Set("Connection", "close")
		hdl.sendError(http.StatusRequestEntityTooLarge, reasonBodyTooLarge, 0)
		return false
	case errors.Is(err, errBuffersFull):
		hdl.rw.Header().Set("Connection", "close")
		hdl.sendError(http.StatusServiceUnavailable, reasonBuffersFull, randomRetryAfter())
		return false
	case err != nil && hdl.interruption() == reasonDraining:
		hdl.refuseWhileDraining()
		return false
	case err != nil:
		hdl.rw.Header().Set("Connection", "close")
		hdl.sendError(http.StatusBadRequest, reasonBodyIncomplete, 0)
		return false
	}
	hdl.cal.Body = body
	return true
}

// noBodyLimit is the limit of a body if the operator sets none. The memory for all bodies bounds it.
const noBodyLimit = math.MaxInt64

// forward sends the call to replicas until it succeeds or may not be retried.
func (hdl *callHandler) forward() {
	hdl.lastEventID, hdl.hasLastEventID = hdl.cal.LastEventID, hdl.cal.HasLastEventID
	hdl.relay.retryBudget(hdl.service).RecordFirstAttempt()
	for {
		if !hdl.mayGoOn() {
			return
		}
		viewedAt := hdl.opts.Clock.Now()
		plc, reason := hdl.choosePlacement()
		if hdl.awaitPlacement(&plc, reason) {
			continue // Choose again, with the configuration and load of that time.
		}
		if reason == "" && plc.CausesOverload() && hdl.eventsSent == 0 {
			reason = reasonOverload
		}
		if reason = cmp.Or(hdl.interruption(), reason); reason != "" {
			hdl.failCall(reason)
			return
		}
		hdl.placement, hdl.placedAt = plc, hdl.opts.Clock.Now()
		if !hdl.claim(&plc, viewedAt) {
			continue
		}
		hdl.logPlacement(&plc)
		hdl.countAdmitted(&plc)
		out := hdl.runAttempts(&plc)
		hdl.takeClaim().end() // Not taken if the attempt was not begun.
		switch {
		case out.reason == reasonClientLeft:
			hdl.abort(reasonClientLeft)
		case out.final:
			hdl.recordEnd(out.status, out.reason)
			return
		}
		if denied := hdl.denyRetry(out); denied != "" {
			hdl.logDeniedRetry(out, denied)
			hdl.failCall(out.reason)
			return
		}
		hdl.opts.Metrics.CountRetry(out.reason)
	}
}

// awaitPlacement waits a short time if the call should be placed later. The reason is that for which it cannot be
// placed now, or empty. It returns whether it has waited.
func (hdl *callHandler) awaitPlacement(plc *place.Placement, reason string) bool {
	switch reason {
	case "":
		return hdl.shouldDefer(plc) && hdl.deferPlacement(plc)
	case reasonReplicasWarmingUp:
		return hdl.awaitWarmUp()
	}
	return false
}

// missedTarget tells whether the call has already missed the latency or gap target of its route.
func (hdl *callHandler) missedTarget() bool {
	if hdl.rte.GapTarget > 0 && hdl.longestGap > hdl.rte.GapTarget {
		return true
	}
	waited := hdl.firstEvent
	if hdl.eventsSent == 0 {
		waited = hdl.opts.Clock.Since(hdl.cal.Arrived)
	}
	return hdl.rte.LatencyTarget > 0 && waited > hdl.rte.LatencyTarget
}

// failCall ends a call that could not be served. It uses status 503 only if the call certainly did not run, since
// clients send a call again after that status even if it is not idempotent.
func (hdl *callHandler) failCall(reason string) {
	switch {
	case hdl.interruption() == reasonClientLeft:
		hdl.abort(reasonClientLeft)
	case hdl.headSent:
		hdl.abort(reasonStreamBroken)
	case hdl.fallback != nil:
		hdl.sendReply(hdl.fallback)
		hdl.recordEnd(hdl.fallback.reply.Status, reasonReplicaFailed)
	case hdl.possibleRuns == 0 && reason == reasonDraining:
		hdl.refuseWhileDraining()
	case hdl.possibleRuns == 0 && reason == reasonCrashesReplicas:
		hdl.sendError(http.StatusServiceUnavailable, reason, crashRetryAfter)
	case hdl.possibleRuns == 0 && reason == reasonTimeLimit:
		hdl.sendError(http.StatusServiceUnavailable, reason, 0)
	case hdl.possibleRuns == 0 && reason == reasonOverload:
		hdl.sendError(http.StatusServiceUnavailable, reason, hdl.overloadRetryAfter())
	case hdl.possibleRuns == 0:
		hdl.sendError(http.StatusServiceUnavailable, reason, hdl.replicaRetryAfter(reason))
	case reason == reasonTimeLimit:
		hdl.sendError(http.StatusGatewayTimeout, reason, 0)
	default:
		hdl.sendError(http.StatusBadGateway, reason, 0)
	}
}

// abort ends the call without a complete response. It closes the connection, since the server would else complete the
// response, and a client that has only stopped sending would take it for a whole one. It does not return.
func (hdl *callHandler) abort(reason string) {
	hdl.recordEnd(0, reason)
	panic(http.ErrAbortHandler)
}

// noRulesRetryAfter returns the Retry-After time while the process has no configuration. Just after its start, one will
// arrive at any moment; later on, the store must be unavailable, which lasts for seconds.
func (rly *Relay) noRulesRetryAfter() time.Duration {
	if rly.opts.Clock.Since(rly.started) < startupTime {
		return randomRetryAfter()
	}
	return withJitter(minOutageRetryAfter, outageRetryAfterJitter)
}

// sendReply sends a replica's complete response to the client.
func (hdl *callHandler) sendReply(rpl *fullReply) {
	hdl.opts.Codec.WriteReply(hdl.rw.Header(), rpl.reply)
	hdl.headSent = true
	hdl.rw.WriteHeader(rpl.reply.Status)
	_, _ = hdl.rw.Write(rpl.body) // An error means that the client has disconnected.
}
