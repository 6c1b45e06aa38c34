package agent

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/tarragonwheel/tarragonwheel/admit"
	"github.com/tarragonwheel/tarragonwheel/engine"
	"github.com/tarragonwheel/tarragonwheel/link"
	"github.com/tarragonwheel/tarragonwheel/proto"
)

// Reason codes of results, beside those of package admit.
const (
	ReasonEngineFailed = "engine-failed"
	ReasonTimeout      = admit.ReasonTimeout
	ReasonCancelled    = admit.ReasonCancelled
	ReasonUnavailable  = "engine-unavailable"
	ReasonDuplicate    = "duplicate-attempt"
)

const copyBytes = 16 << 10

// serve runs one attempt and sends its result.
func (agt *Agent) serve(str *link.Stream, msg proto.Open) {
	ctx, cancel := agt.clock.WithTimeout(str.Context(), msg.Remaining)
	defer cancel()
	ctx, release := agt.untilCut(ctx, msg)
	defer release()
	res := agt.run(ctx, str, msg)
	agt.metrics.Request(string(res.Outcome))
	if res.Reason != "" {
		agt.metrics.Refusal(res.Reason)
	}
	if err := str.Send(proto.KindResult, res); err != nil {
		agt.log.V(1).Info("agent: result not sent", "attempt", msg.Attempt.String(), "error", err.Error())
	}
}

func (agt *Agent) run(ctx context.Context, str *link.Stream, msg proto.Open) proto.Result {
	id := msg.Attempt.String()
	if !agt.register(id) {
		return proto.Result{Outcome: proto.OutcomeNotRun, Reason: ReasonDuplicate}
	}
	defer agt.unregister(id)
	// Checked after registration, so that Drain either waits for this attempt or makes it refuse.
	if agt.config.drained() || agt.stopping() {
		return proto.Result{Outcome: proto.OutcomeNotRun, Reason: ReasonDraining, Detail: "the upstream is drained"}
	}
	if agt.plain != nil {
		return agt.runPlain(ctx, str, msg)
	}
	if msg.Segment != nil {
		return agt.runSegment(ctx, str, msg)
	}
	isolated, free, sto := agt.crashes.admit(ctx, msg)
	if sto != nil {
		return sto.refusal()
	}
	defer free()
	return agt.runEngine(ctx, str, msg, isolated)
}

// runEngine takes an attempt through the queue and runs it on the engine.
func (agt *Agent) runEngine(parent context.Context, str *link.Stream, msg proto.Open, isolated bool) proto.Result {
	ctx, cancel := context.WithCancelCause(parent)
	defer cancel(nil)
	rnr := &runner{id: msg.Attempt.String(), fpr: msg.Fingerprint, isolated: isolated, stop: cancel}
	tick, err := agt.queue.Submit(admit.Request{
		ID:           rnr.id,
		PromptTokens: msg.Cost.PromptTokens,
		CachedTokens: msg.Cost.CachedTokens,
		OutputTokens: msg.Cost.OutputTokens,
		Remaining:    msg.Remaining,
		Streamed:     msg.Stream,
	})
	if err == nil {
		err = tick.Wait(ctx)
	}
	if err != nil {
		return refused(err)
	}
	if err := str.Send(proto.KindAccept, proto.Accept{QueuedFor: tick.Queued()}); err != nil {
		tick.Release()
		return proto.Result{Outcome: proto.OutcomeNotRun, Reason: ReasonCancelled}
	}
	agt.crashes.enter(rnr)
	if sto := agt.crashes.against(rnr.fpr, isolated); sto != nil { // It may have crashed another engine meanwhile.
		agt.crashes.leave(rnr.id, true)
		tick.Release()
		return sto.refusal()
	}
	completed, res := agt.execute(ctx, str, msg, tick)
	agt.crashes.leave(rnr.id, completed)
	if completed {
		agt.crashes.finished(rnr.fpr)
		tick.Release()
	} else {
		agt.abandon(rnr.id, tick)
	}
	return res
}

func refused(err error) proto.Result {
	res := proto.Result{Outcome: proto.OutcomeNotRun, Reason: ReasonCancelled, Detail: err.Error()}
	var ref *admit.Refusal
	if errors.As(err, &ref) {
		res.Reason, res.Detail, res.RetryAfter = ref.Reason, ref.Detail, ref.RetryAfter
	}
	return res
}

func (agt *Agent) register(id string) bool {
	agt.mu.Lock()
	defer agt.mu.Unlock()
	_, serving := agt.attempts[id]
	_, lost := agt.lost[id]
	if serving || lost {
		return false
	}
	agt.attempts[id] = struct{}{}
	return true
}

func (agt *Agent) unregister(id string) {
	agt.mu.Lock()
	defer agt.mu.Unlock()
	delete(agt.attempts, id)
}

// execute runs an attempt on the engine. It tells whether the engine completed it, and so no longer holds it.
func (agt *Agent) execute(
	ctx context.Context, str *link.Stream, msg proto.Open, tick *admit.Ticket,
) (bool, proto.Result) {
	return agt.complete(ctx, str, msg, tick, nil)
}

// complete is execute for the part of the prompt in rng, or all of it.
func (agt *Agent) complete(
	ctx context.Context, str *link.Stream, msg proto.Open, tick *admit.Ticket, rng *engine.SegmentRange,
) (bool, proto.Result) {
	id := msg.Attempt.String()
	resp, err := agt.engine.Complete(ctx, engineRequest(ctx, str, msg, tick, rng))
	if err != nil {
		return false, agt.crashes.failure(ctx, id, err)
	}
	defer func() { _ = resp.Body.Close() }()
	head := proto.Head{Status: resp.StatusCode, Header: map[string]string{
		"Content-Type": resp.Header.Get("Content-Type"),
	}}
	if err := str.Send(proto.KindHead, head); err != nil {
		return false, agt.crashes.failure(ctx, id, err)
	}
	tai, err := agt.relayObserved(str, resp, tick)
	if err != nil {
		return false, agt.crashes.failure(ctx, id, err)
	}
	refusedByEngine := resp.StatusCode != http.StatusOK // Whether it holds memory then is not known.
	if !refusedByEngine && msg.Stream && !tai.ended() {
		return false, agt.crashes.failure(ctx, id, errCutShort)
	}
	if err := str.CloseWrite(); err != nil {
		return !refusedByEngine, agt.crashes.failure(ctx, id, err)
	}
	return !refusedByEngine, proto.Result{Outcome: proto.OutcomeDone}
}

func engineRequest(
	ctx context.Context, str *link.Stream, msg proto.Open, tick *admit.Ticket, rng *engine.SegmentRange,
) engine.Request {
	return engine.Request{
		ID:           msg.Attempt.String(),
		Path:         msg.Path,
		Priority:     tick.Priority(),
		ResumeFrom:   msg.ResumeFrom,
		Length:       msg.BodyBytes,
		Body:         str.Body(ctx),
		SegmentRange: rng,
	}
}

// relay sends the upstream's answer as it arrives, and its end.
func relay(str *link.Stream, resp *http.Response) error {
	if err := relayParts(str, resp, func([]byte) {}); err != nil {
		return err
	}
	return str.CloseWrite()
}

// buffers holds the buffers of answers, which would otherwise be the largest allocation of a short request.
var buffers = sync.Pool{New: func() any { return new([copyBytes]byte) }}

// relayParts sends the upstream's answer without its end. It calls seen with each part before it is sent.
func relayParts(str *link.Stream, resp *http.Response, seen func(part []byte)) error {
	held := buffers.Get().(*[copyBytes]byte) // The pool holds nothing else.
	defer buffers.Put(held)
	buf := held[:]
	for {
		num, err := resp.Body.Read(buf)
		if num > 0 {
			seen(buf[:num])
			if _, err := str.Write(buf[:num]); err != nil {
				return err
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// relayObserved sends the engine's answer without its end, and learns from it.
func (agt *Agent) relayObserved(str *link.Stream, resp *http.Response, tick *admit.Ticket) (*tail, error) {
	tai := &tail{}
	var first time.Time
	err := relayParts(str, resp, func(part []byte) {
		if first.IsZero() {
			first = agt.clock.Now()
			tick.FirstToken()
		}
		tai.add(part)
	})
	if err == nil {
		agt.observe(tai, tick, first)
	}
	return tai, err
}

func (agt *Agent) observe(tai *tail, tick *admit.Ticket, first time.Time) {
	prompt, output := tai.usage()
	if output == 0 {
		return
	}
	predicted, allowed := tick.Prompt()
	agt.model.ObserveUsage(predicted, prompt, allowed, output)
	if tai.ended() {
		agt.model.ObserveDecode(output-1, agt.clock.Since(first))
	}
}

func (agt *Agent) failure(ctx context.Context, err error) proto.Result {
	switch {
	case errors.Is(context.Cause(ctx), errGrace):
		return proto.Result{Outcome: proto.OutcomeFailed, Reason: ReasonDraining, Detail: "the agent was stopped"}
	case errors.Is(context.Cause(ctx), context.DeadlineExceeded):
		return proto.Result{Outcome: proto.OutcomeFailed, Reason: ReasonTimeout}
	case ctx.Err() != nil:
		return proto.Result{Outcome: proto.OutcomeFailed, Reason: ReasonCancelled}
	default:
		wake(agt.pollNow)
		return proto.Result{Outcome: proto.OutcomeFailed, Reason: ReasonEngineFailed, Detail: err.Error()}
	}
}
