package relay

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/tarragonwheel/tarragonwheel/call"
	"github.com/tarragonwheel/tarragonwheel/fleet"
	"github.com/tarragonwheel/tarragonwheel/place"
	"github.com/tarragonwheel/tarragonwheel/pool"
)

// maxAnswer bounds the body of an answer that is no stream, in bytes.
const maxAnswer = 16 << 20

// outcome is how an attempt ended.
type outcome struct {
	final      bool // the client has its final answer, or has left
	status     int
	mayHaveRun bool // the replica may have begun to work on the call
	unsent     bool // nothing reached a replica
	reason     string
	err        error
}

func (out *outcome) text() string {
	if out.err == nil {
		return ""
	}
	return out.err.Error()
}

// attempt sends the call to the replicas of a plan.
func (ses *session) attempt(pln *place.Placement) outcome {
	ses.sends++
	tickets := ses.book(pln)
	defer tickets.end()
	hld, err := ses.opts.Reserver.reserve(ses.ctx, pln)
	if err != nil {
		return outcome{unsent: true, reason: reasonNoMemory, err: err}
	}
	defer hld.release(ses.ctx)
	now := ses.opts.Clock.Now()
	ctx, cancel := ses.opts.Clock.WithTimeout(ses.ctx, ses.end.Sub(now))
	defer cancel()
	rep := pln.Primary.Replica
	con, err := ses.opts.Pool.Get(ctx, pln.Primary.ID, pln.Primary.Address, !ses.rte.Retryable())
	if err != nil {
		if ctx.Err() == nil {
			rep.RecordUnreachable()
		}
		return outcome{unsent: true, reason: reasonUnreached, err: err}
	}
	stop := context.AfterFunc(ctx, func() { _ = con.Close() }) // Makes the replica stop, and ends reads here.
	defer stop()
	exc := &exchange{ses: ses, con: con, plan: pln, tickets: tickets, ctx: ctx}
	defer hld.watch(ctx, ses.opts.HoldLimit, exc.giveUp).Stop()
	defer exc.watchOverdue().Stop()
	out := exc.run(&call.Attempt{
		Replica: pln.Primary.ID, Account: ses.account, TimeLeft: ses.end.Sub(ses.opts.Clock.Now()),
		Helpers:  hld.helpers,
		Priority: urgency(ses.rte.LatencyTarget), LastEventID: ses.last, Resumes: ses.resumes,
	})
	if out.mayHaveRun {
		ses.runs++
	}
	if !exc.kept {
		_ = con.Close() // It may carry more bytes of this call.
	}
	exc.judge(&out)
	return out
}

// bookings are the works of an attempt: the call itself first, then its parts at helpers.
type bookings []*fleet.LocalTask

func (ses *session) book(pln *place.Placement) bookings {
	wrk := ses.work(pln)
	tickets := bookings{pln.Primary.Replica.StartTask(wrk, ses.opts.OnTaskChange)}
	for _, hlp := range pln.Helpers {
		part := fleet.Task{
			IsPart: true, SplitPrompt: true, KVTokens: hlp.ReserveTokens, PrefillTime: pln.PrefillTime,
			DueAt:        wrk.DueAt,
			TargetMissed: wrk.TargetMissed,
			Value:        wrk.Value * place.PartValueShare,
		}
		tickets = append(tickets, hlp.View.Replica.StartTask(part, ses.opts.OnTaskChange))
	}
	return tickets
}

func (bks bookings) wrote() {
	bks[0].MarkDecoding()
	for _, tkt := range bks[1:] {
		tkt.End() // All parts have been read.
	}
}

func (bks bookings) end() {
	for _, tkt := range bks {
		tkt.End()
	}
}

// exchange is one call and its answer on a connection.
type exchange struct {
	ses       *session
	con       *pool.Conn
	plan      *place.Placement
	tickets   bookings
	ctx       context.Context
	kept      bool        // the connection has gone back to the pool
	replied   bool        // the replica has answered in some way
	began     atomic.Bool // the first event has come
	lastEvent time.Time   // when the last event of this attempt came
	gaveUp    atomic.Bool // the attempt was ended because its reserved memory was not used
}

// giveUp ends the attempt because its reserved memory is not used, which keeps it from others.
func (exc *exchange) giveUp() {
	if !exc.began.Load() {
		exc.gaveUp.Store(true)
		_ = exc.con.Close() // Makes the replica stop, and ends the read here.
	}
}

func (exc *exchange) run(att *call.Attempt) outcome {
	ses := exc.ses
	if err := exc.con.WriteRequest(ses.opts.Codec.WriteCall(ses.cal, att)); err != nil {
		return outcome{mayHaveRun: true, reason: reasonSendFailed, err: err}
	}
	var rep call.Reply
	isOurs := func(res *http.Response) bool {
		rep = ses.opts.Codec.ReadReply(res)
		return ses.cal.ID == "" || rep.CallID == ses.cal.ID || (rep.CallID == "" && rep.NotExecuted)
	}
	res, err := exc.con.ReadResponse(ses.cal.Method, isOurs) //nolint:bodyclose // The connection is closed as a whole.
	if err != nil {
		return outcome{mayHaveRun: true, reason: exc.brokenReason(), err: err}
	}
	exc.replied = true
	if isStream(res) && rep.Status == http.StatusOK {
		return exc.stream(res, rep)
	}
	return exc.whole(res, rep)
}

func isStream(res *http.Response) bool {
	return strings.HasPrefix(res.Header.Get("Content-Type"), "text/event-stream")
}

// brokenReason tells why reads on the connection end.
func (exc *exchange) brokenReason() string {
	switch {
	case exc.ses.ctx.Err() != nil:
		return reasonLeft
	case exc.ctx.Err() != nil:
		return reasonTimeout
	case exc.gaveUp.Load():
		return reasonHeld
	}
	return reasonBroken
}

// whole takes an answer that is no stream. It is passed on only after it has been read whole.
func (exc *exchange) whole(res *http.Response, rep call.Reply) outcome {
	body, err := io.ReadAll(io.LimitReader(res.Body, maxAnswer+1))
	switch {
	case rep.NotExecuted:
		exc.finish(res, err)
		return outcome{reason: reasonNotRun}
	case err != nil:
		return outcome{mayHaveRun: true, reason: exc.brokenReason(), err: fmt.Errorf("relay: read answer: %w", err)}
	case len(body) > maxAnswer:
		return outcome{mayHaveRun: true, reason: reasonFailed, err: errors.New("relay: answer is too large")}
	}
	exc.finish(res, nil)
	if fault := exc.fault(rep); fault != "" {
		return outcome{mayHaveRun: true, reason: reasonFailed, err: errors.New(fault)}
	}
	ans := &answer{reply: rep, body: body}
	ses := exc.ses
	if ses.headers { // A stream that goes on cannot take another answer.
		return outcome{mayHaveRun: true, reason: reasonFailed, err: fmt.Errorf("relay: status %d", rep.Status)}
	}
	if rep.Status >= http.StatusInternalServerError && ses.rte.Retryable() {
		ses.spare = ans
		return outcome{mayHaveRun: true, reason: reasonFailed, err: fmt.Errorf("relay: status %d", rep.Status)}
	}
	ses.deliver(ans)
	return outcome{final: true, status: rep.Status, mayHaveRun: true, reason: reasonDone}
}

// fault tells why an answer is not passed on, or returns an empty text.
func (exc *exchange) fault(rep call.Reply) string {
	switch {
	case rep.Status < http.StatusMultipleChoices && !rep.Signed:
		return "relay: success without a signature"
	case rep.Encoded:
		return "relay: body in another encoding"
	case claimsNotRun(rep.Status):
		// The replica does not say that it did not run the call, so this status would promise too much.
		return fmt.Sprintf("relay: status %d without a statement that the call did not run", rep.Status)
	}
	return ""
}

// claimsNotRun tells whether clients take a status as a promise that the call did not run.
func claimsNotRun(status int) bool {
	return status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable ||
		status == http.StatusRequestTimeout || status == http.StatusMisdirectedRequest
}

// finish gives the connection back if the answer was read to its end.
func (exc *exchange) finish(res *http.Response, err error) {
	if err == nil {
		exc.con.Release(res)
		exc.kept = true
	}
}

// judge takes the outcome into account for the replica's health.
func (exc *exchange) judge(out *outcome) {
	rep := exc.plan.Primary.Replica
	switch {
	case out.reason == reasonDone, out.reason == reasonNotRun && len(exc.plan.Helpers) > 0:
		rep.RecordSuccess()
	case out.reason == reasonLeft, out.reason == reasonTimeout, out.reason == reasonHeld:
		// This process ended the call, which does not tell whether the replica is sound.
	case exc.con.Reused() && !exc.replied:
		// The replica may have closed the idle connection.
	case out.reason == reasonBroken && !exc.replied:
		rep.RecordUnreachable()
		if rep.Leaving() {
			return // It ends, and every call on it breaks off.
		}
		exc.ses.opts.Crashes.RecordCrash(exc.ses.cal, exc.ses.account, exc.plan.Primary.ID)
	default:
		rep.RecordFailure()
	}
}

// Urgencies of calls, by the goal of their route. The engine admits more urgent ones first.
func urgency(goal time.Duration) int {
	switch {
	case goal <= 0:
		return 5
	case goal <= 500*time.Millisecond:
		return 2
	case goal <= 2*time.Second:
		return 4
	}
	return 6
}
