package relay

import (
	"context"
	"errors"
	"io"
	"math/rand"
	"net/http"
	"time"

	"github.com/tarragonwheel/tarragonwheel/call"
	"github.com/tarragonwheel/tarragonwheel/place"
	"github.com/tarragonwheel/tarragonwheel/rules"
)

// session is one call on its way through the relay.
type session struct {
	relay   *Relay
	opts    *Options
	rw      http.ResponseWriter
	ctx     context.Context
	cal     *call.Call
	set     *rules.Set
	rte     *rules.Route
	service string
	account string
	end     time.Time // when the call must have its final answer

	placed  place.Placement // of the last attempt
	sends   int             // attempts
	runs    int             // attempts that may have run
	avoid   []string        // replicas that failed the call
	spare   *answer         // a replica's complete failure, delivered if nothing better comes
	headers bool            // the head of the answer has been sent
	events  int             // events delivered
	last    int64           // ID of the last event delivered
	resumes bool            // last is set

	lastEventAt time.Time
	firstEvent  time.Duration // until the first event
	longestGap  time.Duration // between two events
}

// answer is a replica's complete answer.
type answer struct {
	reply call.Reply
	body  []byte
}

// route finds the route and account of the call. It refuses the call and returns false if it may not run.
func (ses *session) route() bool {
	if ses.relay.refusing.Load() {
		ses.rw.Header().Set("Connection", "close")
		ses.answer(http.StatusServiceUnavailable, reasonDraining, time.Millisecond)
		return false
	}
	if !ses.apply() {
		return false
	}
	if most := ses.set.Limits().HeaderBytes; most > 0 && headerBytes(ses.cal) > most {
		ses.answer(http.StatusRequestHeaderFieldsTooLarge, reasonHeaders, 0)
		return false
	}
	return true
}

// headerBytes returns the size of a call's headers and target as they stood on the wire.
func headerBytes(cal *call.Call) int {
	const perLine = len(": \r\n")
	size := len(cal.Target)
	for name, values := range cal.Header {
		for _, val := range values {
			size += len(name) + len(val) + perLine
		}
	}
	return size
}

// apply takes the newest configuration. A call is never handled by an older version than one seen before.
func (ses *session) apply() bool {
	set := ses.awaitRules()
	if set == nil {
		ses.answer(http.StatusServiceUnavailable, reasonNoConfig, ses.relay.startRetryAfter())
		return false
	}
	if set == ses.set {
		return true
	}
	rte := set.Match(ses.cal.Host, pathOf(ses.cal.Target))
	if rte == nil {
		ses.answer(http.StatusNotFound, reasonNoRoute, 0)
		return false
	}
	account, ok := set.Account(rte, ses.cal.APIKey)
	if !ok {
		ses.answer(http.StatusUnauthorized, reasonNoAccount, 0)
		return false
	}
	ses.set, ses.rte, ses.account, ses.service = set, rte, account, rte.PickService(ses.cal.ID)
	limit := ses.cal.TimeLeft
	if limit <= 0 {
		limit = defaultTimeLimit
	}
	if rte.Timeout > 0 {
		limit = min(limit, rte.Timeout)
	}
	ses.end = ses.cal.Arrived.Add(limit)
	return true
}

// awaitRules returns the configuration in force. It waits for one for a short while: a process that has just started
// knows none for some milliseconds. It returns nil if none comes.
func (ses *session) awaitRules() *rules.Set {
	most := min(leastOutage, ses.cal.TimeLeft/rulesShare)
	for until := ses.cal.Arrived.Add(most); ; {
		set := ses.opts.Rules()
		if set != nil || !ses.opts.Clock.Now().Before(until) {
			return set
		}
		if ses.opts.Clock.Sleep(ses.ctx, rulesInterval) != nil {
			return nil
		}
	}
}

func pathOf(target string) string {
	for idx := range len(target) {
		if target[idx] == '?' {
			return target[:idx]
		}
	}
	return target
}

func (ses *session) readBody(req *http.Request) bool {
	limits := ses.set.Limits()
	most := limits.BodyBytes
	if most > 0 && req.ContentLength > most {
		ses.answer(http.StatusRequestEntityTooLarge, reasonTooLarge, 0)
		return false
	}
	if req.Body == nil || req.Body == http.NoBody {
		return true
	}
	ctl := http.NewResponseController(ses.rw)
	_ = ctl.SetReadDeadline(ses.opts.Clock.Now().Add(bodyTimeout)) // Without a deadline the server's own limits hold.
	defer func() { _ = ctl.SetReadDeadline(time.Time{}) }()
	body := io.Reader(req.Body)
	if most > 0 {
		body = http.MaxBytesReader(ses.rw, req.Body, most)
	}
	var err error
	if req.ContentLength > 0 {
		ses.cal.Body = make([]byte, req.ContentLength)
		_, err = io.ReadFull(body, ses.cal.Body)
	} else {
		ses.cal.Body, err = io.ReadAll(body)
	}
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		ses.answer(http.StatusRequestEntityTooLarge, reasonTooLarge, 0)
		return false
	case err != nil:
		ses.rw.Header().Set("Connection", "close")
		ses.answer(http.StatusBadRequest, reasonBodyBroken, 0)
		return false
	}
	return true
}

// run sends the call until it has a final answer.
func (ses *session) run() {
	ses.last, ses.resumes = ses.cal.LastEventID, ses.cal.Resumes
	ses.relay.share(ses.service).RecordFirstAttempt()
	for {
		if !ses.headers && !ses.apply() {
			return
		}
		pln, reason := ses.plan()
		if reason == "" && pln.ShouldDefer() && ses.wait() {
			continue // Under the newest configuration, with a newer view of the replicas.
		}
		if reason == "" && pln.CausesOverload() && ses.events == 0 {
			reason = reasonOverload
		}
		if reason != "" {
			ses.giveUp(reason)
			return
		}
		ses.placed = pln
		ses.logPlan(&pln)
		out := ses.attempt(&pln)
		ses.opts.Log.V(1).Info("relay: attempt ended", "call", ses.cal.ID, "replica", pln.Primary.ID,
			"outcome", out.reason, "error", out.text())
		if out.final {
			ses.finish(out.status, out.reason)
			return
		}
		ses.avoid = append(ses.avoid, pln.Primary.ID)
		if !ses.mayRepeat(out) {
			ses.giveUp(out.reason)
			return
		}
		ses.opts.Metrics.Retry(out.reason)
	}
}

// mayRepeat tells whether the call may be sent once more after an attempt that ended so.
func (ses *session) mayRepeat(out outcome) bool {
	if ses.ctx.Err() != nil || ses.opts.Clock.Now().Add(leastTime).After(ses.end) || ses.sends >= maxSends {
		return false
	}
	if out.mayHaveRun && (!ses.rte.Retryable() || ses.runs >= ses.rte.MaxAttempts) {
		return false
	}
	if out.unsent {
		return true // It did not arrive anywhere, so it does not count as a repeat.
	}
	return ses.relay.share(ses.service).TakeRetry()
}

// late tells whether the call has missed its goals already.
func (ses *session) late() bool {
	if ses.rte.GapTarget > 0 && ses.longestGap > ses.rte.GapTarget {
		return true
	}
	waited := ses.firstEvent
	if ses.events == 0 {
		waited = ses.opts.Clock.Since(ses.cal.Arrived)
	}
	return ses.rte.LatencyTarget > 0 && waited > ses.rte.LatencyTarget
}

// giveUp sends the final answer of a call that could not be served.
func (ses *session) giveUp(reason string) {
	switch {
	case ses.ctx.Err() != nil:
		ses.finish(0, reasonLeft)
	case ses.headers:
		ses.finish(0, reasonBroken)
		panic(http.ErrAbortHandler) // Closes the connection, so that the stream does not look complete.
	case ses.spare != nil:
		ses.deliver(ses.spare)
		ses.finish(ses.spare.reply.Status, reasonFailed)
	case ses.runs == 0 && reason == reasonBlamed:
		ses.answer(http.StatusServiceUnavailable, reason, blamedRetryAfter)
	case ses.runs == 0 && reason == reasonTimeout:
		ses.answer(http.StatusServiceUnavailable, reason, 0)
	case ses.runs == 0 && reason == reasonOverload:
		ses.answer(http.StatusServiceUnavailable, reason, spread(leastOverload, spreadOverload))
	case ses.runs == 0:
		ses.answer(http.StatusServiceUnavailable, reason, retryAfter())
	case reason == reasonTimeout:
		ses.answer(http.StatusGatewayTimeout, reason, 0)
	default:
		ses.answer(http.StatusBadGateway, reason, 0)
	}
}

// retryAfter returns when a refused client should come back.
func retryAfter() time.Duration {
	return spread(leastRetryAfter, spreadRetryAfter)
}

// spread returns a random time from least on, so that refused clients do not return together.
func spread(least, over time.Duration) time.Duration {
	return least + time.Duration(rand.Int63n(int64(over)))
}

// startRetryAfter returns when a client should come back to a process that knows no configuration. Soon after its
// start, the process will have one at once; later, the store is away, which lasts for seconds.
func (rly *Relay) startRetryAfter() time.Duration {
	if rly.opts.Clock.Since(rly.started) < startTime {
		return retryAfter()
	}
	return spread(leastOutage, spreadOutage)
}

// deliver sends a replica's complete answer.
func (ses *session) deliver(ans *answer) {
	ses.opts.Codec.WriteReply(ses.rw.Header(), ans.reply)
	ses.headers = true
	ses.rw.WriteHeader(ans.reply.Status)
	_, _ = ses.rw.Write(ans.body) // The client may have left; there is nobody else to tell.
}
