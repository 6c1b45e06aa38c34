package agent

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"

	"github.com/gravitational/trace"

	"github.com/tarragonwheel/tarragonwheel/link"
	"github.com/tarragonwheel/tarragonwheel/plain"
	"github.com/tarragonwheel/tarragonwheel/proto"
)

// ReasonServiceFailed means that a plain service closed the connection mid-call or could not be reached.
const ReasonServiceFailed = "service-failed"

// runPlain runs a call on a plain service.
func (agt *Agent) runPlain(ctx context.Context, str *link.Stream, msg proto.Open) proto.Result {
	if err := str.Send(proto.KindAccept, proto.Accept{}); err != nil {
		return proto.Result{Outcome: proto.OutcomeNotRun, Reason: ReasonCancelled}
	}
	if !msg.Idempotent && msg.IdempotencyKey != "" {
		return agt.runOnce(ctx, str, msg)
	}
	return agt.streamPlain(ctx, str, msg)
}

// streamPlain forwards a call to the service and the response to the entry, both as they arrive. Non-idempotent calls
// without a key are not recorded: callers cannot retry them, and the entry does so only after the outcome not-run.
func (agt *Agent) streamPlain(ctx context.Context, str *link.Stream, msg proto.Open) proto.Result {
	body, err := awaitBody(str.Body(ctx), msg.BodyBytes)
	if err != nil {
		return agt.plainFailureResult(ctx, msg, false, err)
	}
	rqs := plain.Request{
		Method: msg.Method, Path: msg.Path, Header: msg.Header, Length: msg.BodyBytes, Body: body,
	}
	if !msg.Idempotent {
		rqs.Gate = func() error { return context.Cause(ctx) }
	}
	resp, contacted, err := agt.plain.Do(ctx, rqs)
	if err != nil {
		return agt.plainFailureResult(ctx, msg, contacted, err)
	}
	defer func() { _ = resp.Body.Close() }()
	if err := str.Send(proto.KindHead, plainHead(resp)); err != nil {
		return agt.plainFailureResult(ctx, msg, true, err)
	}
	if err := relay(str, resp); err != nil {
		return agt.plainFailureResult(ctx, msg, true, err)
	}
	return proto.Result{Outcome: proto.OutcomeDone}
}

// plainHead returns the status and headers of the service's response.
func plainHead(resp *http.Response) proto.Head {
	single, repeated := plain.ResponseHeaders(resp)
	return proto.Head{Status: resp.StatusCode, Header: single, Repeated: repeated}
}

// awaitBody returns the body once its first byte has arrived, or its end if it is empty. This shows that the entry has
// received Accept. An entry that loses the connection before Accept reports the outcome not-run, so the call must not
// start earlier. A body without the announced length in bytes gives a trace.BadParameter error.
func awaitBody(body io.Reader, length int64) (io.Reader, error) {
	buf := bufio.NewReaderSize(body, copyBufferBytes)
	_, err := buf.Peek(1)
	switch {
	case errors.Is(err, io.EOF) && length > 0, err == nil && length == 0:
		return nil, trace.BadParameter("agent: the body does not have the announced %d bytes", length)
	case err != nil && !errors.Is(err, io.EOF):
		return nil, fmt.Errorf("agent: wait for the body: %w", err)
	}
	return buf, nil
}

// plainFailureResult returns the result of a failed call to a plain service. The parameter contacted tells whether the
// call may have reached the service.
func (agt *Agent) plainFailureResult(ctx context.Context, msg proto.Open, contacted bool, err error) proto.Result {
	res := agt.failureResult(ctx, err)
	if res.Reason == ReasonEngineFailed {
		res.Reason = ReasonServiceFailed
	}
	switch {
	case !contacted:
		res.Outcome = proto.OutcomeNotRun
	case !msg.Idempotent:
		res.Outcome = proto.OutcomeUnknown
	}
	return res
}
