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

// attempt sends a call to one agent and follows it to its end. It returns the agent's name, if there was one.
func (ent *Entry) attempt(ctx context.Context, run *running, tried []string) (proto.Result, string) {
	if run.tooLong != nil {
		return ent.attemptGroup(ctx, run, *run.tooLong), ""
	}
	plc := ent.place(run, tried)
	if plc == nil {
		none := proto.Result{Outcome: proto.OutcomeNotRun, Reason: ReasonNoUpstream, Detail: "no upstream is available"}
		return none, ""
	}
	if res, hopeless := ent.overloaded(plc, run.cal.Deadline.Sub(ent.clock.Now())); hopeless {
		plc.End(route.Neutral)
		return res, ""
	}
	res := ent.send(ctx, run, plc)
	if needsGroup(run.cal, res) {
		plc.End(route.Neutral)
		run.tooLong = &res
		return ent.attemptGroup(ctx, run, res), ""
	}
	plc.End(run.verdict(ctx, res))
	return res, plc.Agent()
}

func (ent *Entry) query(cal edge.Call, tried []string) route.Query {
	qry := route.Query{
		Target:      route.Target{Kind: cal.Kind, Serves: cal.Serves},
		Cost:        cal.Cost,
		PrefixHash:  cal.PrefixHash,
		Remaining:   cal.Deadline.Sub(ent.clock.Now()),
		AvoidAgents: tried,
	}
	if !cal.Idempotent {
		// All calls of a slot go to one agent, so that each agent has to follow few slots.
		qry.Sticky = strconv.Itoa(once.NewKey(cal.Account, cal.Key).Slot(ent.slots))
	}
	return qry
}

func (ent *Entry) send(ctx context.Context, run *running, plc *route.Placement) proto.Result {
	lost := proto.Result{Outcome: proto.OutcomeNotRun, Reason: ReasonAgentLost, Detail: "the agent is not connected"}
	con := ent.conn(plc.Agent())
	if con == nil {
		return lost
	}
	cal := run.cal
	str, err := con.Open(ctx, proto.Open{
		Attempt:    proto.NewAttemptID(),
		Kind:       cal.Kind,
		Account:    cal.Account,
		Serves:     cal.Serves,
		Cost:       plc.Cost,
		Remaining:  cal.Deadline.Sub(ent.clock.Now()),
		Key:        cal.Key,
		Idempotent: cal.Idempotent,
		Method:     cal.Method,
		Path:       cal.Path,
		Header:     cal.Header,
		BodyBytes:  int64(len(cal.Body)),
		ResumeFrom: run.evs.tokens,
		PrefixHash: cal.PrefixHash,
		Stream:     cal.Stream,
		Slots:      ent.slots,

		Fingerprint: run.fpr,
		Suspected:   run.suspected,
	})
	if err != nil {
		return lost // The body was not sent, without which nothing runs.
	}
	defer str.Close()
	run.evs.restart()
	fol := &follower{run: run, plc: plc, str: str}
	defer fol.stopBody()
	res, err := fol.follow(ctx)
	if err == nil {
		return res
	}
	// The send queue may be full, and the caller's deadline does not wait for it.
	go func() { _ = str.Send(proto.KindCancel, proto.Cancel{Reason: "given-up"}) }()
	return fol.lost(ctx, err)
}

// follower relays one attempt.
type follower struct {
	run      *running
	plc      *route.Placement // nil for a group
	str      *link.Stream
	head     *proto.Head
	accepted bool
	delivers bool          // the caller gets, or has got, this attempt's head, or goes on with an earlier one's
	answered bool          // the first part of the answer has come
	body     chan struct{} // closed when the body's sender has returned
}

// stopBody ends the sender of the body and waits for it, since the body's memory belongs to the call.
func (fol *follower) stopBody() {
	fol.str.Close()
	if fol.body != nil {
		<-fol.body
	}
}

// lost is the result of an attempt whose agent has not told one. Without the body nothing reaches the upstream.
func (fol *follower) lost(ctx context.Context, err error) proto.Result {
	res := proto.Result{Outcome: proto.OutcomeUnknown, Reason: ReasonAgentLost, Detail: "the agent was lost"}
	switch {
	case errors.Is(context.Cause(ctx), context.DeadlineExceeded):
		res.Reason, res.Detail = ReasonTimeout, "the time limit ran out"
	case ctx.Err() != nil || fol.run.broken != nil:
		res.Reason, res.Detail = ReasonCallerGone, "the caller went away"
	case errors.Is(err, errIncomplete):
		res.Reason, res.Detail = ReasonBroken, "the upstream's answer was incomplete"
	}
	if !fol.accepted {
		res.Outcome = proto.OutcomeNotRun
	}
	return res
}

var errIncomplete = errors.New("entry: the answer is incomplete")

func (fol *follower) follow(ctx context.Context) (proto.Result, error) {
	for {
		frm, err := fol.str.Next(ctx)
		if err != nil {
			return proto.Result{}, fmt.Errorf("entry: follow attempt: %w", err)
		}
		switch frm.Kind {
		case proto.KindAccept:
			fol.sendBody()
		case proto.KindHead:
			hed, err := proto.Parse[proto.Head](frm)
			if err != nil {
				return proto.Result{}, fmt.Errorf("entry: follow attempt: %w", err)
			}
			fol.head = &hed
			if fol.plc != nil {
				fol.plc.RecordStarted()
			}
		case proto.KindData:
			fol.firstToken()
			if err := fol.data(frm); err != nil {
				return proto.Result{}, err
			}
		case proto.KindResult:
			return fol.result(frm)
		}
	}
}

// firstToken tells the table once that the prefill has ended.
func (fol *follower) firstToken() {
	if fol.answered {
		return
	}
	fol.answered = true
	if fol.plc != nil {
		fol.plc.RecordFirstToken()
	}
}

func (fol *follower) sendBody() {
	if fol.accepted {
		return
	}
	fol.accepted = true
	fol.body = make(chan struct{})
	go func() {
		defer close(fol.body)
		if _, err := fol.str.Write(fol.run.cal.Body); err == nil {
			_ = fol.str.CloseWrite()
		}
	}()
}

func (fol *follower) data(frm proto.Frame) error {
	part, err := fol.str.ReadData(frm)
	if err != nil {
		return fmt.Errorf("entry: follow attempt: %w", err)
	}
	if fol.streams() {
		if part, err = fol.run.evs.whole(part); err != nil {
			return err
		}
	}
	return fol.deliver(part)
}

// streams tells whether the answer is a token stream rather than an error answer.
func (fol *follower) streams() bool {
	return fol.run.resumable() && fol.head != nil && fol.head.Status < 300
}

// deliver sends body bytes to the caller, and the head before the first of them. Until then the call can be repeated.
func (fol *follower) deliver(part []byte) error {
	if len(part) == 0 {
		return nil
	}
	if err := fol.sendHead(); err != nil {
		return err
	}
	if err := fol.run.rep.Write(part); err != nil {
		fol.run.broken = err
		return fmt.Errorf("entry: relay body: %w", err)
	}
	fol.run.sent += len(part)
	return nil
}

func (fol *follower) sendHead() error {
	if fol.delivers {
		return nil
	}
	// After the head of an earlier attempt, only another part of the same answer may follow.
	if fol.head == nil || fol.run.headSent && fol.head.Status >= 300 {
		return errIncomplete
	}
	fol.delivers = true
	if fol.run.headSent {
		return nil
	}
	fol.run.headSent = true
	if err := fol.run.rep.Head(*fol.head); err != nil {
		fol.run.broken = err
		return fmt.Errorf("entry: relay head: %w", err)
	}
	return nil
}

func (fol *follower) result(frm proto.Frame) (proto.Result, error) {
	res, err := proto.Parse[proto.Result](frm)
	if err != nil {
		return res, fmt.Errorf("entry: follow attempt: %w", err)
	}
	if res.Outcome != proto.OutcomeDone {
		return res, nil
	}
	if fol.streams() && !fol.run.evs.done {
		return res, errIncomplete // The upstream closed its stream early, for example because it was stopped.
	}
	return res, fol.sendHead()
}
