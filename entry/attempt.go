package entry

import (
	"context"
	"errors"
	"fmt"
	"strconv"

	"github.com/tarragonwheel/tarragonwheel/edge"
	"github.com/tarragonwheel/tarragonwheel/link"
	"github.com/tarragonwheel/tarragonwheel/once"
	"github.com/tarragonwheel/tarragonwheel/proto"
	"github.com/tarragonwheel/tarragonwheel/route"
)

// attempt sends a call to one agent, or to several if its prompt is too long for one engine, and relays the response.
// It returns the result and the agent's name, which is empty if no agent was contacted or the prompt was split.
func (ent *Entry) attempt(ctx context.Context, run *callRun, tried []string) (proto.Result, string) {
	if run.tooLongRefusal != nil {
		return ent.attemptSplit(ctx, run, *run.tooLongRefusal), ""
	}
	plc := ent.pickSettled(ctx, run, tried)
	if plc == nil {
		none := proto.Result{Outcome: proto.OutcomeNotRun, Reason: ReasonNoUpstream, Detail: "no upstream is available"}
		return none, ""
	}
	if res, refused := ent.overloadRefusal(plc, run.cal.Deadline.Sub(ent.clock.Now())); refused {
		plc.End(route.Neutral)
		return res, ""
	}
	res := ent.send(ctx, run, plc)
	if needsSplit(run.cal, res) {
		plc.End(route.Neutral)
		run.tooLongRefusal = &res
		return ent.attemptSplit(ctx, run, res), ""
	}
	plc.End(run.routeResult(ctx, res))
	return res, plc.Agent()
}

// routeQuery describes a call to the routing table. The agents in tried are to be avoided.
func (ent *Entry) routeQuery(cal edge.Call, tried []string) route.Query {
	qry := route.Query{
		Target:      route.Target{Kind: cal.Kind, Serves: cal.Serves},
		Cost:        cal.Cost,
		PrefixHash:  cal.PrefixHashes,
		Remaining:   cal.Deadline.Sub(ent.clock.Now()),
		AvoidAgents: tried,
	}
	if !cal.Idempotent {
		// All calls of a slot of at-most-once records go to one agent, so that each agent has to follow few slots.
		qry.Sticky = strconv.Itoa(once.NewKey(cal.Account, cal.IdempotencyKey).Slot(ent.slots))
	}
	return qry
}

// send makes one attempt at the agent of plc and relays the response.
func (ent *Entry) send(ctx context.Context, run *callRun, plc *route.Placement) proto.Result {
	lost := proto.Result{Outcome: proto.OutcomeNotRun, Reason: ReasonAgentLost, Detail: "the agent is not connected"}
	con := ent.connection(plc.Agent())
	if con == nil {
		return lost
	}
	cal := run.cal
	str, err := con.Open(ctx, proto.Open{
		Attempt:        proto.NewAttemptID(),
		Kind:           cal.Kind,
		Account:        cal.Account,
		Serves:         cal.Serves,
		Cost:           plc.Cost,
		Remaining:      cal.Deadline.Sub(ent.clock.Now()),
		IdempotencyKey: cal.IdempotencyKey,
		Idempotent:     cal.Idempotent,
		Method:         cal.Method,
		Path:           cal.Path,
		Header:         cal.Header,
		BodyBytes:      int64(len(cal.Body)),
		ResumeFrom:     run.events.tokens,
		PrefixHash:     cal.PrefixHashes,
		Stream:         cal.Stream,
		OnceSlots:      ent.slots,

		Fingerprint: run.fingerprint,
		Suspected:   run.suspected,
	})
	if err != nil {
		return lost // Nothing runs without the body, which was not sent.
	}
	defer str.Close()
	run.events.discardPartial()
	rly := &attemptRelay{run: run, plc: plc, str: str}
	defer rly.stopBodySender()
	res, err := rly.relayFrames(ctx)
	if err == nil {
		return res
	}
	// In a goroutine, because a full send queue would block beyond the caller's deadline.
	go func() { _ = str.Send(proto.KindCancel, proto.Cancel{Reason: "given-up"}) }()
	return rly.lostResult(ctx, err)
}

// attemptRelay relays the response of one attempt to the caller.
type attemptRelay struct {
	run            *callRun
	plc            *route.Placement // nil for a split prompt
	str            *link.Stream
	head           *proto.Head
	accepted       bool
	delivering     bool          // the caller has the head of this attempt, or of an earlier one that it resumes
	dataReceived   bool          // the first data frame of the response has arrived
	bodySenderDone chan struct{} // closed when the goroutine that sends the request body has returned
}

// stopBodySender stops the goroutine that sends the request body and waits for it, since the body's memory belongs to
// the call and must not be used after it.
func (rly *attemptRelay) stopBodySender() {
	rly.str.Close()
	if rly.bodySenderDone != nil {
		<-rly.bodySenderDone
	}
}

// lostResult returns the result of an attempt whose agent did not send one. An attempt that the agent has not accepted
// did not run: the body is sent after the accept, and nothing reaches the upstream without it.
func (rly *attemptRelay) lostResult(ctx context.Context, err error) proto.Result {
	res := proto.Result{Outcome: proto.OutcomeUnknown, Reason: ReasonAgentLost, Detail: "the agent was lost"}
	switch {
	case errors.Is(context.Cause(ctx), context.DeadlineExceeded):
		res.Reason, res.Detail = ReasonTimeout, "the time limit ran out"
	case ctx.Err() != nil || rly.run.callerErr != nil:
		res.Reason, res.Detail = ReasonCallerGone, "the caller went away"
	case errors.Is(err, errIncomplete):
		res.Reason, res.Detail = ReasonIncomplete, "the upstream's answer was incomplete"
	}
	if !rly.accepted {
		res.Outcome = proto.OutcomeNotRun
	}
	return res
}

// errIncomplete is returned when the upstream ended its response early.
var errIncomplete = errors.New("entry: the response is incomplete")

// relayFrames handles the agent's frames until the result arrives.
func (rly *attemptRelay) relayFrames(ctx context.Context) (proto.Result, error) {
	for {
		frm, err := rly.str.Next(ctx)
		if err != nil {
			return proto.Result{}, fmt.Errorf("entry: follow attempt: %w", err)
		}
		switch frm.Kind {
		case proto.KindAccept:
			rly.sendBody()
		case proto.KindHead:
			hed, err := proto.Parse[proto.Head](frm)
			if err != nil {
				return proto.Result{}, fmt.Errorf("entry: follow attempt: %w", err)
			}
			rly.head = &hed
			if rly.plc != nil {
				rly.plc.RecordStarted()
			}
		case proto.KindData:
			rly.recordFirstToken()
			if err := rly.relayData(frm); err != nil {
				return proto.Result{}, err
			}
		case proto.KindResult:
			return rly.handleResult(frm)
		}
	}
}

// recordFirstToken records in the routing table, once per attempt, that the prefill has ended.
func (rly *attemptRelay) recordFirstToken() {
	if rly.dataReceived {
		return
	}
	rly.dataReceived = true
	if rly.plc != nil {
		rly.plc.RecordFirstToken()
	}
}

// sendBody starts to send the request body. Further accepts of the same attempt have no effect.
func (rly *attemptRelay) sendBody() {
	if rly.accepted {
		return
	}
	rly.accepted = true
	rly.bodySenderDone = make(chan struct{})
	go func() {
		defer close(rly.bodySenderDone)
		if _, err := rly.str.Write(rly.run.cal.Body); err == nil {
			_ = rly.str.CloseWrite()
		}
	}()
}

// relayData delivers the bytes of a data frame, in a token stream only up to the end of the last complete event.
func (rly *attemptRelay) relayData(frm proto.Frame) error {
	part, err := rly.str.ReadData(frm)
	if err != nil {
		return fmt.Errorf("entry: follow attempt: %w", err)
	}
	if rly.isTokenStream() {
		if part, err = rly.run.events.feed(part); err != nil {
			return err
		}
	}
	return rly.deliver(part)
}

// isTokenStream reports whether the response is a token stream rather than an error response.
func (rly *attemptRelay) isTokenStream() bool {
	return rly.run.resumable() && rly.head != nil && rly.head.Status < 300
}

// deliver sends body bytes to the caller, and the head before the first of them. The head is held back until then,
// because the call can be retried as long as the caller has no part of a response.
func (rly *attemptRelay) deliver(part []byte) error {
	if len(part) == 0 {
		return nil
	}
	if err := rly.sendHead(); err != nil {
		return err
	}
	if err := rly.run.rep.Write(part); err != nil {
		rly.run.callerErr = err
		return fmt.Errorf("entry: relay body: %w", err)
	}
	return nil
}

// sendHead sends the response head to the caller, unless the caller has the head of this or an earlier attempt.
func (rly *attemptRelay) sendHead() error {
	if rly.delivering {
		return nil
	}
	// An attempt that resumes the response of an earlier one must not add an error response to it.
	if rly.head == nil || rly.run.headSent && rly.head.Status >= 300 {
		return errIncomplete
	}
	rly.delivering = true
	if rly.run.headSent {
		return nil
	}
	rly.run.headSent = true
	if err := rly.run.rep.Head(*rly.head); err != nil {
		rly.run.callerErr = err
		return fmt.Errorf("entry: relay head: %w", err)
	}
	return nil
}

// handleResult returns the agent's result, and sends the head of a response that has no body. A token stream without
// its closing event is incomplete.
func (rly *attemptRelay) handleResult(frm proto.Frame) (proto.Result, error) {
	res, err := proto.Parse[proto.Result](frm)
	if err != nil {
		return res, fmt.Errorf("entry: follow attempt: %w", err)
	}
	if res.Outcome != proto.OutcomeDone {
		return res, nil
	}
	if rly.isTokenStream() && !rly.run.events.ended {
		return res, errIncomplete // The upstream closed its stream early, for example because it was stopped.
	}
	return res, rly.sendHead()
}
