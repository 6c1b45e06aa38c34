package agent

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/tarragonwheel/tarragonwheel/engine"
	"github.com/tarragonwheel/tarragonwheel/link"
	"github.com/tarragonwheel/tarragonwheel/proto"
)

// Reason codes of results.
const (
	ReasonEngineFailed = "engine-failed"
	ReasonTimeout      = "deadline-exceeded"
	ReasonCancelled    = "cancelled"
)

const (
	copyBytes   = 16 << 10
	cancelLimit = 5 * time.Second
)

// serve runs one attempt and sends its result.
func (agt *Agent) serve(str *link.Stream, msg proto.Open) {
	ctx, cancel := agt.clock.WithTimeout(str.Context(), msg.Remaining)
	defer cancel()
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
	if agt.config.drained() {
		return proto.Result{Outcome: proto.OutcomeNotRun, Reason: ReasonDraining, Detail: "the upstream is drained"}
	}
	if agt.plain != nil {
		return agt.runPlain(ctx, str, msg)
	}
	if err := str.Send(proto.KindAccept, proto.Accept{}); err != nil {
		return proto.Result{Outcome: proto.OutcomeNotRun, Reason: ReasonCancelled}
	}
	resp, err := agt.engine.Complete(ctx, engine.Request{
		ID:         msg.Attempt.String(),
		Path:       msg.Path,
		ResumeFrom: msg.ResumeFrom,
		Length:     msg.BodyBytes,
		Body:       str.Body(ctx),
	})
	if err != nil {
		agt.cancelOnEngine(msg.Attempt)
		return agt.failure(ctx, err)
	}
	defer func() { _ = resp.Body.Close() }()
	head := proto.Head{Status: resp.StatusCode, Header: map[string]string{
		"Content-Type": resp.Header.Get("Content-Type"),
	}}
	if err := str.Send(proto.KindHead, head); err != nil {
		return agt.failure(ctx, err)
	}
	if err := relay(str, resp); err != nil {
		agt.cancelOnEngine(msg.Attempt)
		return agt.failure(ctx, err)
	}
	return proto.Result{Outcome: proto.OutcomeDone}
}

// relay sends the upstream's answer as it arrives.
func relay(str *link.Stream, resp *http.Response) error {
	buf := make([]byte, copyBytes)
	for {
		num, err := resp.Body.Read(buf)
		if num > 0 {
			if _, err := str.Write(buf[:num]); err != nil {
				return err
			}
		}
		if errors.Is(err, io.EOF) {
			return str.CloseWrite()
		}
		if err != nil {
			return err
		}
	}
}

func (agt *Agent) failure(ctx context.Context, err error) proto.Result {
	switch {
	case errors.Is(context.Cause(ctx), context.DeadlineExceeded):
		return proto.Result{Outcome: proto.OutcomeFailed, Reason: ReasonTimeout}
	case ctx.Err() != nil:
		return proto.Result{Outcome: proto.OutcomeFailed, Reason: ReasonCancelled}
	default:
		return proto.Result{Outcome: proto.OutcomeFailed, Reason: ReasonEngineFailed, Detail: err.Error()}
	}
}

func (agt *Agent) cancelOnEngine(aid proto.AttemptID) {
	ctx, cancel := agt.clock.WithTimeout(context.Background(), cancelLimit)
	defer cancel()
	if err := agt.engine.Cancel(ctx, aid.String()); err != nil {
		agt.log.Info("agent: cancel failed", "attempt", aid.String(), "error", err.Error())
	}
}
