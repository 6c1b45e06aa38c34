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

// ReasonSegmentLost is the reason code of an attempt at a split prompt that failed because an engine lost its part.
const ReasonSegmentLost = "segment-lost"

const (
	// reservePause is the longest pause before memory for the parts is reserved a second time. It is doubled for each
	// further time, up to maxReservePause, which is shorter than the lifetime of an agent's memory claim.
	reservePause    = 50 * time.Millisecond
	maxReservePause = time.Second
)

var errSegmentLost = errors.New("entry: an earlier segment is lost")

// part is a share of a prompt, with the stream to the agent that reserves memory for it.
type part struct {
	share
	id     proto.AttemptID
	str    *link.Stream
	engine string // address at which other engines reach the agent's engine
}

// splitAttempt is an attempt at a call whose prompt is split among several agents.
type splitAttempt struct {
	ent         *Entry
	run         *callRun
	parts       []*part        // in the order of the prompt
	bodySenders sync.WaitGroup // goroutines that send the request body
}

// needsSplit reports whether the result is the refusal of a prompt that is too long for one engine.
func needsSplit(cal edge.Call, res proto.Result) bool {
	notRun := res.Outcome == proto.OutcomeNotRun
	return cal.Kind == proto.UpstreamEngine && notRun && res.Reason == edge.CodePromptTooLong
}

// attemptSplit runs a call on several engines. It tries to reserve memory on them until that succeeds, ctx ends or a
// refusal is final. It returns the given refusal, that of a single engine, if all engines together are too small.
func (ent *Entry) attemptSplit(ctx context.Context, run *callRun, refusal proto.Result) proto.Result {
	// wanted is a plan that ignores memory in use. It is kept over the tries, because an agent that refuses a
	// reservation sets memory aside for the next try, which helps only if the next try uses the same agents.
	var wanted *splitPlan
	for number := 0; ; number++ {
		pln, res, final := ent.planCall(run, &wanted, refusal)
		if final {
			return res
		}
		if pln != nil {
			spa := &splitAttempt{ent: ent, run: run}
			var reserved bool
			if res, reserved = spa.reserve(ctx, pln); reserved {
				ent.metrics.CountEvent("group-formed")
				res = spa.serve(ctx)
			}
			spa.release()
			if reserved {
				return res
			}
			if res.Reason != admit.ReasonPartRefused {
				wanted = nil // An agent of the plan is lost or accepts no calls.
			}
		}
		ent.metrics.CountRetry(res.Reason)
		limit := min(maxReservePause, reservePause<<min(number, 10))
		if err := ent.clock.Sleep(ctx, time.Duration(rand.Float64()*float64(limit))); err != nil {
			return res
		}
	}
}

// planCall divides the call's prompt among the agents by what they last reported. Without a plan it returns the
// reason, and whether that is final because waiting cannot change it.
func (ent *Entry) planCall(run *callRun, wanted **splitPlan, refusal proto.Result) (*splitPlan, proto.Result, bool) {
	capacities, down := ent.table.PartCapacities(route.Target{Kind: run.cal.Kind, Serves: run.cal.Serves})
	pln := planSplit(capacities, run.cal.Cost, func(ptc route.PartCapacity) int { return ptc.FreeTokens })
	if pln == nil {
		if *wanted == nil {
			*wanted = planSplit(capacities, run.cal.Cost, func(ptc route.PartCapacity) int { return ptc.MaxTokens })
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

// reserve reserves memory for all parts, one agent after another in the order of their names, and stops at the first
// refusal. Agents respond at once, so that no attempt waits while it holds reservations, and there is no deadlock. Nor
// can all of several concurrent attempts fail because of each other: of the agents that several attempts want,
// consider the reserved one with the highest name. The attempt that reserved it meets no reservation of the others
// further on.
func (spa *splitAttempt) reserve(ctx context.Context, pln *splitPlan) (proto.Result, bool) {
	for _, shr := range pln.shares {
		spa.parts = append(spa.parts, &part{share: shr, id: proto.NewAttemptID()})
	}
	order := slices.Clone(spa.parts)
	slices.SortFunc(order, func(one, two *part) int { return strings.Compare(one.agent, two.agent) })
	for _, prt := range order {
		if res, reserved := spa.reservePart(ctx, prt); !reserved {
			return res, false
		}
	}
	return proto.Result{}, true
}

// reservePart opens a stream to the agent of a part and reports whether the agent has reserved memory for the part. If
// not, it returns the reason.
func (spa *splitAttempt) reservePart(ctx context.Context, prt *part) (proto.Result, bool) {
	lost := proto.Result{Outcome: proto.OutcomeNotRun, Reason: ReasonAgentLost, Detail: "the agent is not connected"}
	con := spa.ent.connection(prt.agent)
	if con == nil {
		return lost, false
	}
	cal := spa.run.cal
	var err error
	prt.str, err = con.Open(ctx, proto.Open{
		Attempt:    prt.id,
		Kind:       cal.Kind,
		Account:    cal.Account,
		Serves:     cal.Serves,
		Cost:       cal.Cost,
		Remaining:  cal.Deadline.Sub(spa.ent.clock.Now()),
		Idempotent: cal.Idempotent,
		Method:     cal.Method,
		Path:       cal.Path,
		Header:     cal.Header,
		BodyBytes:  int64(len(cal.Body)),
		ResumeFrom: spa.run.events.tokens,
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

// release ends all parts. The agents free the reservations and whatever parts have reached their engines.
func (spa *splitAttempt) release() {
	for _, prt := range spa.parts {
		if prt.str == nil {
			continue
		}
		// In a goroutine, because a full send queue would block beyond the caller's deadline.
		go func() { _ = prt.str.Send(proto.KindCancel, proto.Cancel{Reason: "group-ended"}) }()
		prt.str.Close()
	}
	spa.bodySenders.Wait() // The body's memory belongs to the call and must not be used after it.
}

// serve prefills the parts in order and relays the response of the last one. The loss of any part ends the attempt.
func (spa *splitAttempt) serve(parent context.Context) proto.Result {
	ctx, stop := context.WithCancelCause(parent)
	defer stop(nil)
	for _, prt := range spa.parts {
		defer context.AfterFunc(prt.str.Context(), func() { stop(errSegmentLost) })()
	}
	last := spa.parts[len(spa.parts)-1]
	var earlier []string
	for _, prt := range spa.parts[:len(spa.parts)-1] {
		if err := spa.prefill(ctx, prt, earlier); err != nil {
			return spa.failureResult(parent, ctx, last, err)
		}
		earlier = append(earlier, engine.SegmentRef(prt.engine, prt.id.String()))
		go func() {
			_, _ = prt.str.Next(ctx) // Any frame after SegmentReady means that the segment is lost.
			stop(errSegmentLost)
		}()
	}
	spa.run.events.discardPartial()
	rly := &attemptRelay{run: spa.run, str: last.str}
	defer rly.stopBodySender()
	err := last.str.Send(proto.KindBegin, proto.Begin{EarlierSegments: earlier})
	if err != nil {
		return spa.failureResult(parent, ctx, last, err)
	}
	rly.sendBody()
	res, err := rly.relayFrames(ctx)
	if err != nil {
		return spa.failureResult(parent, ctx, last, err)
	}
	return markStarted(res)
}

// markStarted changes a result of not-run to failed: once a part has begun, the request has run, at least in part.
func markStarted(res proto.Result) proto.Result {
	if res.Outcome == proto.OutcomeNotRun {
		res.Outcome = proto.OutcomeFailed
	}
	return res
}

// failureResult returns the result of an attempt that failed after its first part had begun.
func (spa *splitAttempt) failureResult(parent, ctx context.Context, last *part, err error) proto.Result {
	var ref *partError
	if errors.As(err, &ref) {
		return markStarted(ref.result)
	}
	if parent.Err() == nil && errors.Is(context.Cause(ctx), errSegmentLost) && !errors.Is(err, errIncomplete) {
		return proto.Result{
			Outcome: proto.OutcomeFailed, Reason: ReasonSegmentLost, Detail: "an engine of the group lost its part",
		}
	}
	rly := &attemptRelay{run: spa.run, str: last.str, accepted: true}
	return rly.lostResult(parent, err)
}

// partError is returned when an agent ends its part with a result.
type partError struct{ result proto.Result }

// Error implements error.
func (err *partError) Error() string { return "entry: part ended: " + err.result.Reason }

// prefill sends the body and returns once the agent's engine has prefilled the part and holds it.
func (spa *splitAttempt) prefill(ctx context.Context, prt *part, earlier []string) error {
	if err := prt.str.Send(proto.KindBegin, proto.Begin{EarlierSegments: earlier}); err != nil {
		return fmt.Errorf("entry: begin part: %w", err)
	}
	spa.bodySenders.Go(func() {
		if _, err := prt.str.Write(spa.run.cal.Body); err == nil {
			_ = prt.str.CloseWrite()
		}
	})
	frm, err := prt.str.Next(ctx)
	if err != nil {
		return fmt.Errorf("entry: prefill part: %w", err)
	}
	if frm.Kind == proto.KindSegmentReady {
		return nil
	}
	res, err := proto.Parse[proto.Result](frm)
	if err != nil {
		return fmt.Errorf("entry: prefill part: %w", err)
	}
	return &partError{result: res}
}
