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

const copyBufferBytes = 16 << 10

// serve runs one attempt and sends its result to the entry.
func (agt *Agent) serve(str *link.Stream, msg proto.Open) {
	ctx, cancel := agt.clock.WithTimeout(str.Context(), msg.Remaining)
	defer cancel()
	ctx, release := agt.withGraceLimit(ctx, msg)
	defer release()
	res := agt.runAttempt(ctx, str, msg)
	agt.metrics.CountRequest(string(res.Outcome))
	if res.Reason != "" {
		agt.metrics.CountRefusal(res.Reason)
	}
	if err := str.Send(proto.KindResult, res); err != nil {
		agt.log.V(1).Info("agent: result not sent", "attempt", msg.Attempt.String(), "error", err.Error())
	}
}

// runAttempt runs an attempt as its kind of upstream requires, unless it is refused.
func (agt *Agent) runAttempt(ctx context.Context, str *link.Stream, msg proto.Open) proto.Result {
	id := msg.Attempt.String()
	if !agt.register(id) {
		return proto.Result{Outcome: proto.OutcomeNotRun, Reason: ReasonDuplicate}
	}
	defer agt.unregister(id)
	// This check comes after the registration, so that Drain either waits for this attempt or has it refused here.
	if agt.config.drained() || agt.stopping() {
		return proto.Result{Outcome: proto.OutcomeNotRun, Reason: ReasonDraining, Detail: "the upstream is drained"}
	}
	if agt.plain != nil {
		return agt.runPlain(ctx, str, msg)
	}
	if msg.Segment != nil {
		return agt.runSegment(ctx, str, msg)
	}
	isolated, release, ref := agt.crashes.admit(ctx, msg)
	if ref != nil {
		return ref.result()
	}
	defer release()
	return agt.runEngine(ctx, str, msg, isolated)
}

// runEngine queues an attempt and runs it on the engine.
func (agt *Agent) runEngine(parent context.Context, str *link.Stream, msg proto.Open, isolated bool) proto.Result {
	ctx, cancel := context.WithCancelCause(parent)
	defer cancel(nil)
	att := &runningAttempt{id: msg.Attempt.String(), fingerprint: msg.Fingerprint, isolated: isolated, stop: cancel}
	tick, err := agt.queue.Submit(admit.Request{
		ID:           att.id,
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
		return notRunResult(err)
	}
	if err := str.Send(proto.KindAccept, proto.Accept{QueuedFor: tick.Queued()}); err != nil {
		tick.Release()
		return proto.Result{Outcome: proto.OutcomeNotRun, Reason: ReasonCancelled}
	}
	agt.crashes.recordStart(att)
	// The request may have crashed another engine while this attempt was queued.
	if ref := agt.crashes.refusalFor(att.fingerprint, isolated); ref != nil {
		agt.crashes.recordResult(att.id, true)
		tick.Release()
		return ref.result()
	}
	completed, res := agt.execute(ctx, str, msg, tick)
	agt.crashes.recordResult(att.id, completed)
	if completed {
		agt.crashes.clearSuspect(att.fingerprint)
		tick.Release()
	} else {
		agt.cancelUntilConfirmed(att.id, tick)
	}
	return res
}

// notRunResult returns the result of an attempt that the queue refused.
func notRunResult(err error) proto.Result {
	res := proto.Result{Outcome: proto.OutcomeNotRun, Reason: ReasonCancelled, Detail: err.Error()}
	var ref *admit.Refusal
	if errors.As(err, &ref) {
		res.Reason, res.Detail, res.RetryAfter = ref.Reason, ref.Detail, ref.RetryAfter
	}
	return res
}

// register adds an attempt. It returns false if one with the same ID runs or is being cancelled.
func (agt *Agent) register(id string) bool {
	agt.mu.Lock()
	defer agt.mu.Unlock()
	_, serving := agt.attempts[id]
	_, cancelling := agt.cancelling[id]
	if serving || cancelling {
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

// execute runs an attempt on the engine. It returns true if the engine completed it, and so uses no memory for it.
func (agt *Agent) execute(
	ctx context.Context, str *link.Stream, msg proto.Open, tick *admit.Ticket,
) (bool, proto.Result) {
	return agt.executeRange(ctx, str, msg, tick, nil)
}

// executeRange is like execute, for the part of the prompt in rng, or for the whole prompt if rng is nil.
func (agt *Agent) executeRange(
	ctx context.Context, str *link.Stream, msg proto.Open, tick *admit.Ticket, rng *engine.SegmentRange,
) (bool, proto.Result) {
	id := msg.Attempt.String()
	resp, err := agt.engine.Complete(ctx, engineRequest(ctx, str, msg, tick, rng))
	if err != nil {
		return false, agt.crashes.failureResult(ctx, id, err)
	}
	defer func() { _ = resp.Body.Close() }()
	head := proto.Head{Status: resp.StatusCode, Header: map[string]string{
		"Content-Type": resp.Header.Get("Content-Type"),
	}}
	if err := str.Send(proto.KindHead, head); err != nil {
		return false, agt.crashes.failureResult(ctx, id, err)
	}
	tai, err := agt.relayAndObserve(str, resp, tick)
	if err != nil {
		return false, agt.crashes.failureResult(ctx, id, err)
	}
	refusedByEngine := resp.StatusCode != http.StatusOK // Whether it uses memory then is unknown.
	if !refusedByEngine && msg.Stream && !tai.ended() {
		return false, agt.crashes.failureResult(ctx, id, errTruncated)
	}
	if err := str.CloseWrite(); err != nil {
		return !refusedByEngine, agt.crashes.failureResult(ctx, id, err)
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

// relay forwards the upstream's response as it arrives, and closes the stream for writing.
func relay(str *link.Stream, resp *http.Response) error {
	if err := relayParts(str, resp, func([]byte) {}); err != nil {
		return err
	}
	return str.CloseWrite()
}

// buffers is a pool of copy buffers. Without it they would be the largest allocation of a short request.
var buffers = sync.Pool{New: func() any { return new([copyBufferBytes]byte) }}

// relayParts forwards the upstream's response and leaves the stream open. It calls onPart with each part before sending
// it.
func relayParts(str *link.Stream, resp *http.Response, onPart func(part []byte)) error {
	pooled := buffers.Get().(*[copyBufferBytes]byte) // The pool contains no other type.
	defer buffers.Put(pooled)
	buf := pooled[:]
	for {
		num, err := resp.Body.Read(buf)
		if num > 0 {
			onPart(buf[:num])
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

// relayAndObserve forwards the engine's response, leaves the stream open, and updates the cost model from it.
func (agt *Agent) relayAndObserve(str *link.Stream, resp *http.Response, tick *admit.Ticket) (*responseTail, error) {
	tai := &responseTail{}
	var first time.Time
	err := relayParts(str, resp, func(part []byte) {
		if first.IsZero() {
			first = agt.clock.Now()
			tick.FirstToken()
		}
		tai.add(part)
	})
	if err == nil {
		agt.updateModel(tai, tick, first)
	}
	return tai, err
}

// updateModel updates the cost model from the token counts of a response, and from its decode time if it is complete.
func (agt *Agent) updateModel(tai *responseTail, tick *admit.Ticket, first time.Time) {
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

// failureResult returns the result of an attempt that failed with err, or whose context ended.
func (agt *Agent) failureResult(ctx context.Context, err error) proto.Result {
	switch {
	case errors.Is(context.Cause(ctx), errGraceEnded):
		return proto.Result{Outcome: proto.OutcomeFailed, Reason: ReasonDraining, Detail: "the agent was stopped"}
	case errors.Is(context.Cause(ctx), context.DeadlineExceeded):
		return proto.Result{Outcome: proto.OutcomeFailed, Reason: ReasonTimeout}
	case ctx.Err() != nil:
		return proto.Result{Outcome: proto.OutcomeFailed, Reason: ReasonCancelled}
	default:
		signal(agt.pollNow)
		return proto.Result{Outcome: proto.OutcomeFailed, Reason: ReasonEngineFailed, Detail: err.Error()}
	}
}
