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

// ReasonServiceFailed says that a plain service broke the connection or could not be reached.
const ReasonServiceFailed = "service-failed"

// runPlain runs a call on a plain service.
func (agt *Agent) runPlain(ctx context.Context, str *link.Stream, msg proto.Open) proto.Result {
	if err := str.Send(proto.KindAccept, proto.Accept{}); err != nil {
		return proto.Result{Outcome: proto.OutcomeNotRun, Reason: ReasonCancelled}
	}
	if !msg.Idempotent && msg.Key != "" {
		return agt.runOnce(ctx, str, msg)
	}
	return agt.streamPlain(ctx, str, msg)
}

// streamPlain passes a call and its answer through as they arrive. A non-idempotent call without a key has no record:
// nobody can send it again, and the entry retries it only after not-run.
func (agt *Agent) streamPlain(ctx context.Context, str *link.Stream, msg proto.Open) proto.Result {
	body, err := begun(str.Body(ctx), msg.BodyBytes)
	if err != nil {
		return agt.plainFailure(ctx, msg, false, err)
	}
	rqs := plain.Request{
		Method: msg.Method, Path: msg.Path, Header: msg.Header, Length: msg.BodyBytes, Body: body,
	}
	if !msg.Idempotent {
		rqs.Gate = func() error { return context.Cause(ctx) }
	}
	resp, contacted, err := agt.plain.Do(ctx, rqs)
	if err != nil {
		return agt.plainFailure(ctx, msg, contacted, err)
	}
	defer func() { _ = resp.Body.Close() }()
	if err := str.Send(proto.KindHead, plainHead(resp)); err != nil {
		return agt.plainFailure(ctx, msg, true, err)
	}
	if err := relay(str, resp); err != nil {
		return agt.plainFailure(ctx, msg, true, err)
	}
	return proto.Result{Outcome: proto.OutcomeDone}
}

func plainHead(resp *http.Response) proto.Head {
	single, repeated := plain.ResponseHeaders(resp)
	return proto.Head{Status: resp.StatusCode, Header: single, Repeated: repeated}
}

// begun returns the body once its first byte, or its end if there is none, has arrived. Only then has the entry seen
// Accept; before, it tells its caller not-run when the connection breaks.
func begun(body io.Reader, length int64) (io.Reader, error) {
	buf := bufio.NewReaderSize(body, copyBytes)
	_, err := buf.Peek(1)
	switch {
	case errors.Is(err, io.EOF) && length > 0, err == nil && length == 0:
		return nil, trace.BadParameter("agent: the body does not have the announced %d bytes", length)
	case err != nil && !errors.Is(err, io.EOF):
		return nil, fmt.Errorf("agent: wait for the body: %w", err)
	}
	return buf, nil
}

func (agt *Agent) plainFailure(ctx context.Context, msg proto.Open, contacted bool, err error) proto.Result {
	res := agt.failure(ctx, err)
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
