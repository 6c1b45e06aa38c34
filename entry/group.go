package entry

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/tarragonwheel/tarragonwheel/admit"
	"github.com/tarragonwheel/tarragonwheel/edge"
	"github.com/tarragonwheel/tarragonwheel/engine"
	"github.com/tarragonwheel/tarragonwheel/link"
	"github.com/tarragonwheel/tarragonwheel/proto"
	"github.com/tarragonwheel/tarragonwheel/route"
)

// ReasonSegmentLost is the reason code of an attempt of which an engine has lost its part.
const ReasonSegmentLost = "segment-lost"

const (
	// holdPause is the longest pause before the second try to form a group, doubled for each further one up to
	// holdPauseMost, which an agent's claim outlasts.
	holdPause     = 50 * time.Millisecond
	holdPauseMost = time.Second
)

var errSegmentLost = errors.New("entry: an earlier segment is lost")

// part is a share of a prompt and the stream to the agent that holds memory for it.
type part struct {
	share
	id     proto.AttemptID
	str    *link.Stream
	engine string // address at which other engines reach the agent's engine
}

// gang is an attempt that several agents share. Its parts are in the order of the prompt.
type gang struct {
	ent    *Entry
	run    *running
	parts  []*part
	bodies sync.WaitGroup // senders of the body
}

// needsGroup tells whether a result says that no single engine like this one can hold the prompt.
func needsGroup(cal edge.Call, res proto.Result) bool {
	notRun := res.Outcome == proto.OutcomeNotRun
	return cal.Kind == proto.UpstreamEngine && notRun && res.Reason == edge.CodePromptTooLong
}

// attemptGroup runs a call on several engines. The given refusal is returned if even all engines together are too
// small.
func (ent *Entry) attemptGroup(ctx context.Context, run *running, refusal proto.Result) proto.Result {
	var wanted *groupPlan // the plan without regard to what is in use, kept so that the claims of refused holds add up
	for number := 0; ; number++ {
		pln, res, over := ent.planCall(run, &wanted, refusal)
		if over {
			return res
		}
		if pln != nil {
			gng := &gang{ent: ent, run: run}
			var held bool
			if res, held = gng.hold(ctx, pln); held {
				ent.metrics.Event("group-formed")
				res = gng.serve(ctx)
			}
			gng.release()
			if held {
				return res
			}
			if res.Reason != admit.ReasonPartRefused {
				wanted = nil // An agent of the plan is lost, or takes no work.
			}
		}
		ent.metrics.Retry(res.Reason)
		most := min(holdPauseMost, holdPause<<min(number, 10))
		if err := ent.clock.Sleep(ctx, time.Duration(rand.Float64()*float64(most))); err != nil {
			return res
		}
	}
}

// planCall divides the call's prompt among the agents as they are now. Without a plan it returns why, and whether
// waiting cannot change that.
func (ent *Entry) planCall(run *running, wanted **groupPlan, refusal proto.Result) (*groupPlan, proto.Result, bool) {
	rooms, down := ent.table.PartCapacities(route.Target{Kind: run.cal.Kind, Serves: run.cal.Serves})
	pln := planGroup(rooms, run.cal.Cost, func(rom route.PartCapacity) int { return rom.FreeTokens })
	if pln == nil {
		if *wanted == nil {
			*wanted = planGroup(rooms, run.cal.Cost, func(rom route.PartCapacity) int { return rom.MaxTokens })
		}
		pln = *wanted
	}
	switch {
	case pln == nil && down > 0:
		return nil, proto.Result{
			Outcome: proto.OutcomeNotRun, Reason: ReasonNoUpstream, Detail: "too few engines are available",
		}, false
	case pln == nil:
		return nil, refusal, true
	case pln.prefill > run.cal.Deadline.Sub(ent.clock.Now()):
		return nil, proto.Result{
			Outcome: proto.OutcomeNotRun, Reason: admit.ReasonCannotFinish,
			Detail: "predicted to finish after the deadline on several engines",
		}, true
	}
	return pln, proto.Result{}, false
}

// hold asks the agents one after another, in the order of their names, and stops at the first refusal. Agents answer at
// once. Of all groups that are being formed at a time, the one that holds the agent with the highest name among those
// asked for by several groups meets no other group's hold further on. So groups neither wait for each other in a
// circle, nor do all of them fail because of each other.
func (gng *gang) hold(ctx context.Context, pln *groupPlan) (proto.Result, bool) {
	for _, shr := range pln.shares {
		gng.parts = append(gng.parts, &part{share: shr, id: proto.NewAttemptID()})
	}
	order := slices.Clone(gng.parts)
	slices.SortFunc(order, func(one, two *part) int { return strings.Compare(one.agent, two.agent) })
	for _, prt := range order {
		if res, held := gng.holdPart(ctx, prt); !held {
			return res, false
		}
	}
	return proto.Result{}, true
}

func (gng *gang) holdPart(ctx context.Context, prt *part) (proto.Result, bool) {
	lost := proto.Result{Outcome: proto.OutcomeNotRun, Reason: ReasonAgentLost, Detail: "the agent is not connected"}
	con := gng.ent.conn(prt.agent)
	if con == nil {
		return lost, false
	}
	cal := gng.run.cal
	var err error
	prt.str, err = con.Open(ctx, proto.Open{
		Attempt:    prt.id,
		Kind:       cal.Kind,
		Account:    cal.Account,
		Serves:     cal.Serves,
		Cost:       cal.Cost,
		Remaining:  cal.Deadline.Sub(gng.ent.clock.Now()),
		Idempotent: cal.Idempotent,
		Method:     cal.Method,
		Path:       cal.Path,
		Header:     cal.Header,
		BodyBytes:  int64(len(cal.Body)),
		ResumeFrom: gng.run.evs.tokens,
		Stream:     cal.Stream,
		Segment:    &proto.Segment{From: prt.from, To: prt.to},
	})
	if err != nil {
		return lost, false
	}
	frm, err := prt.str.Next(ctx)
	if err != nil {
		return lost, false
	}
	if frm.Kind == proto.KindAccept {
		acc, err := proto.Parse[proto.Accept](frm)
		prt.engine = acc.Engine
		return lost, err == nil && acc.Engine != ""
	}
	if res, err := proto.Parse[proto.Result](frm); frm.Kind == proto.KindResult && err == nil {
		return res, false
	}
	return lost, false
}

// release ends all parts. The agents free what they hold, however much of it reached their engines.
func (gng *gang) release() {
	for _, prt := range gng.parts {
		if prt.str == nil {
			continue
		}
		// The send queue may be full, and the caller's deadline does not wait for it.
		go func() { _ = prt.str.Send(proto.KindCancel, proto.Cancel{Reason: "group-ended"}) }()
		prt.str.Close()
	}
	gng.bodies.Wait() // The body's memory belongs to the call.
}

// serve prefills the parts in order and relays the answer of the last one. The loss of any part ends it.
func (gng *gang) serve(parent context.Context) proto.Result {
	ctx, stop := context.WithCancelCause(parent)
	defer stop(nil)
	for _, prt := range gng.parts {
		defer context.AfterFunc(prt.str.Context(), func() { stop(errSegmentLost) })()
	}
	last := gng.parts[len(gng.parts)-1]
	var earlier []string
	for _, prt := range gng.parts[:len(gng.parts)-1] {
		if err := gng.prefill(ctx, prt, earlier); err != nil {
			return gng.failed(parent, ctx, last, err)
		}
		earlier = append(earlier, engine.SegmentRef(prt.engine, prt.id.String()))
		go func() {
			_, _ = prt.str.Next(ctx) // Whatever comes after Held tells that the segment is lost.
			stop(errSegmentLost)
		}()
	}
	gng.run.evs.restart()
	fol := &follower{run: gng.run, str: last.str}
	defer fol.stopBody()
	err := last.str.Send(proto.KindBegin, proto.Begin{Earlier: earlier})
	if err != nil {
		return gng.failed(parent, ctx, last, err)
	}
	fol.sendBody()
	res, err := fol.follow(ctx)
	if err != nil {
		return gng.failed(parent, ctx, last, err)
	}
	return started(res)
}

// started corrects a result: once a part has begun, the request has run, at least in part.
func started(res proto.Result) proto.Result {
	if res.Outcome == proto.OutcomeNotRun {
		res.Outcome = proto.OutcomeFailed
	}
	return res
}

// failed is the result of a group whose work has begun.
func (gng *gang) failed(parent, ctx context.Context, last *part, err error) proto.Result {
	var ref *partError
	if errors.As(err, &ref) {
		return started(ref.result)
	}
	if parent.Err() == nil && errors.Is(context.Cause(ctx), errSegmentLost) && !errors.Is(err, errIncomplete) {
		return proto.Result{
			Outcome: proto.OutcomeFailed, Reason: ReasonSegmentLost, Detail: "an engine of the group lost its part",
		}
	}
	fol := &follower{run: gng.run, str: last.str, accepted: true}
	return fol.lost(parent, err)
}

// partError is the result with which an agent ended its part.
type partError struct{ result proto.Result }

// Error implements error.
func (err *partError) Error() string { return "entry: part ended: " + err.result.Reason }

// prefill returns once the agent's engine holds the part.
func (gng *gang) prefill(ctx context.Context, prt *part, earlier []string) error {
	if err := prt.str.Send(proto.KindBegin, proto.Begin{Earlier: earlier}); err != nil {
		return fmt.Errorf("entry: begin part: %w", err)
	}
	gng.bodies.Go(func() {
		if _, err := prt.str.Write(gng.run.cal.Body); err == nil {
			_ = prt.str.CloseWrite()
		}
	})
	frm, err := prt.str.Next(ctx)
	if err != nil {
		return fmt.Errorf("entry: prefill part: %w", err)
	}
	if frm.Kind == proto.KindHeld {
		return nil
	}
	res, err := proto.Parse[proto.Result](frm)
	if err != nil {
		return fmt.Errorf("entry: prefill part: %w", err)
	}
	return &partError{result: res}
}
