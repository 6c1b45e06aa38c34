package agent

import (
	"context"
	"fmt"

	"github.com/gravitational/trace"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/tarragonwheel/tarragonwheel/admit"
	"github.com/tarragonwheel/tarragonwheel/engine"
	"github.com/tarragonwheel/tarragonwheel/ledger"
	"github.com/tarragonwheel/tarragonwheel/link"
	"github.com/tarragonwheel/tarragonwheel/proto"
)

// ReasonSegmentLost means that the engine no longer keeps the KV memory of a segment.
const ReasonSegmentLost = "segment-lost"

// registerMemoryGauges registers metrics of the KV memory that is reserved in the ledger.
func (agt *Agent) registerMemoryGauges() {
	gauge := func(name, help string, value func(ledger.Usage) int) {
		opts := prometheus.GaugeOpts{Namespace: "tarragonwheel", Name: name, Help: help}
		agt.metrics.Registry().MustRegister(prometheus.NewGaugeFunc(opts, func() float64 {
			return float64(value(agt.ledger.Usage()))
		}))
	}
	gauge("reserved_tokens", "KV memory reserved by all attempts.", func(usg ledger.Usage) int { return usg.Used })
	gauge("held_tokens", "KV memory held for parts of prompts.", func(usg ledger.Usage) int { return usg.UsedByParts })
	gauge("free_hold_tokens", "Largest part of a prompt that would be granted now.", ledger.Usage.FreeForPart)
}

// runSegment reserves KV memory for a part of a split prompt, and runs the part once the entry sends Begin. The
// reservation ends with the stream, whose connection is checked by heartbeats, or at the attempt's deadline.
func (agt *Agent) runSegment(ctx context.Context, str *link.Stream, msg proto.Open) proto.Result {
	tick, err := agt.queue.ReservePart(admit.PartRequest{
		From: msg.Segment.From,
		To:   msg.Segment.To,
		Request: admit.Request{
			ID:           msg.Attempt.String(),
			PromptTokens: msg.Cost.PromptTokens,
			OutputTokens: msg.Cost.OutputTokens,
			Remaining:    msg.Remaining,
			Streamed:     msg.Stream || msg.Segment.To > 0,
		},
	})
	if err != nil {
		return notRunResult(err)
	}
	agt.metrics.CountEvent("hold-granted")
	bgn, err := agt.awaitBegin(ctx, str)
	if err != nil {
		tick.Withdraw()
		agt.metrics.CountEvent("hold-unused")
		return proto.Result{Outcome: proto.OutcomeNotRun, Reason: ReasonCancelled, Detail: err.Error()}
	}
	tick.BeginPrefill()
	rng := &engine.SegmentRange{From: msg.Segment.From, To: msg.Segment.To, EarlierSegments: bgn.EarlierSegments}
	var completed bool
	var res proto.Result
	if rng.To == 0 {
		completed, res = agt.executeRange(ctx, str, msg, tick, rng)
	} else {
		res = agt.keepSegment(ctx, str, msg, tick, rng)
	}
	if completed {
		tick.Release()
	} else {
		agt.cancelUntilConfirmed(msg.Attempt.String(), tick)
	}
	return res
}

// awaitBegin sends the entry Accept, because memory is reserved, and waits for Begin.
func (agt *Agent) awaitBegin(ctx context.Context, str *link.Stream) (proto.Begin, error) {
	if err := str.Send(proto.KindAccept, proto.Accept{Engine: agt.engineAddress}); err != nil {
		return proto.Begin{}, fmt.Errorf("agent: send the reservation: %w", err)
	}
	frm, err := str.Next(ctx)
	if err != nil {
		return proto.Begin{}, fmt.Errorf("agent: reservation not used: %w", err)
	}
	if frm.Kind != proto.KindBegin {
		return proto.Begin{}, trace.BadParameter("agent: unexpected %s instead of begin", frm.Kind)
	}
	return proto.Parse[proto.Begin](frm)
}

// keepSegment prefills a segment, and returns when the entry cancels the segment or the engine loses it. The engine may
// still keep the segment's memory then, so the caller must cancel it there.
func (agt *Agent) keepSegment(
	ctx context.Context, str *link.Stream, msg proto.Open, tick *admit.Ticket, rng *engine.SegmentRange,
) proto.Result {
	seg, err := agt.engine.PrefillSegment(ctx, engineRequest(ctx, str, msg, tick, rng))
	if err != nil {
		return agt.failureResult(ctx, err)
	}
	defer seg.Close()
	tick.EndPrefill()
	if err := str.Send(proto.KindSegmentReady, proto.SegmentReady{}); err != nil {
		return agt.failureResult(ctx, err)
	}
	seg.Wait()
	if ctx.Err() != nil {
		return agt.failureResult(ctx, ctx.Err())
	}
	signal(agt.pollNow)
	return proto.Result{
		Outcome: proto.OutcomeFailed, Reason: ReasonSegmentLost, Detail: "the engine no longer holds the segment",
	}
}
