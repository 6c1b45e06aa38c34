package edge

import (
	"context"
	"errors"
	"net/http"
	"os"
	"slices"
	"time"

	"github.com/go-logr/logr"
	goahttp "goa.design/goa/v3/http"

	"github.com/tarragonwheel/tarragonwheel/config"
	"github.com/tarragonwheel/tarragonwheel/cost"
	"github.com/tarragonwheel/tarragonwheel/metric"
	"github.com/tarragonwheel/tarragonwheel/proto"
	"github.com/tarragonwheel/tarragonwheel/timer"
)

// Server serves the HTTP API for callers.
type Server struct {
	Settings *config.Settings
	Secrets  *config.Secrets
	Clock    *timer.Service
	Log      logr.Logger
	Metrics  *metric.Set

	// Dispatch runs a call, writes its response to rep, and returns its outcome.
	Dispatch func(ctx context.Context, cal Call, rep Reply) proto.Result
	// Models returns the names of the models that an account may use.
	Models func(account string) []string
	// MayExist tells whether a model or service may exist. It returns true if this cannot be determined yet.
	MayExist func(knd proto.UpstreamKind, name string) bool
	// Retryable tells whether a call of a service, given as "METHOD /path", is configured as idempotent and may
	// therefore be retried.
	Retryable func(service, call string) bool
	// Ready tells whether load balancers may send calls to this process.
	Ready func() bool
}

// Handler returns the handler of the API, which is a goa muxer. Completions and calls to plain services are net/http
// handlers on that muxer, because goa's generated transport can express neither server-sent events in the framing that
// clients of this API expect, nor a call whose method, path and body are passed through unparsed.
func (srv *Server) Handler() http.Handler {
	mux := goahttp.NewMuxer()
	srv.mountGenerated(mux)
	mux.Handle(http.MethodPost, "/v1/completions", srv.handler(srv.parseCompletion))
	mux.Handle(http.MethodPost, "/v1/chat/completions", srv.handler(srv.parseCompletion))
	for _, method := range []string{
		http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodPost, http.MethodPut, http.MethodPatch,
		http.MethodDelete,
	} {
		mux.Handle(method, servicePrefix+"{service}", srv.handler(srv.parseServiceCall))
		mux.Handle(method, servicePrefix+"{service}/{*rest}", srv.handler(srv.parseServiceCall))
	}
	return mux
}

func (srv *Server) handler(parse func(http.ResponseWriter, *http.Request) (Call, *refusal)) http.HandlerFunc {
	return func(rw http.ResponseWriter, req *http.Request) {
		cal, ref := parse(rw, req)
		if ref != nil {
			srv.writeRefusal(rw, ref)
			return
		}
		srv.serveCall(rw, req, cal)
	}
}

// serveCall dispatches a call and writes its response. It ends by the call's deadline, but for the time that writing an
// error response may take.
func (srv *Server) serveCall(rw http.ResponseWriter, req *http.Request, cal Call) {
	ctx, cancel := srv.Clock.WithTimeout(req.Context(), cal.Deadline.Sub(srv.Clock.Now()))
	defer cancel()
	rel := &responseRelay{srv: srv, rw: rw, ctl: http.NewResponseController(rw), cal: cal, start: srv.Clock.Now()}
	_ = rel.ctl.SetWriteDeadline(cal.Deadline)
	res := srv.Dispatch(ctx, cal, Reply{Head: rel.writeHead, Write: rel.writeBody})
	srv.Metrics.CountRequest(string(res.Outcome))
	if res.Outcome == proto.OutcomeDone && rel.writeErr == nil {
		return
	}
	switch {
	case errors.Is(rel.writeErr, os.ErrDeadlineExceeded):
		srv.Metrics.CountEvent(eventCallerStalled)
		panic(http.ErrAbortHandler)
	case rel.writeErr != nil || req.Context().Err() != nil:
		srv.Metrics.CountEvent(eventCallerDisconnected)
		panic(http.ErrAbortHandler)
	case rel.headWritten:
		srv.abortResponse(rw, cal, refusalFromResult(cal, res))
	default:
		srv.writeRefusal(rw, refusalFromResult(cal, res))
	}
}

// responseRelay writes the response of an upstream to the caller.
type responseRelay struct {
	srv         *Server
	rw          http.ResponseWriter
	ctl         *http.ResponseController
	cal         Call
	start       time.Time
	headWritten bool
	bodyStarted bool
	writeErr    error // of writing to the caller's connection
}

func (rel *responseRelay) writeHead(hed proto.Head) error {
	for name, val := range hed.Header {
		if !slices.Contains(unforwardedHeaders, http.CanonicalHeaderKey(name)) {
			rel.rw.Header().Set(name, val)
		}
	}
	for name, vals := range hed.Repeated {
		if !slices.Contains(unforwardedHeaders, http.CanonicalHeaderKey(name)) {
			rel.rw.Header()[http.CanonicalHeaderKey(name)] = vals
		}
	}
	rel.headWritten = true
	rel.rw.WriteHeader(hed.Status)
	return nil
}

func (rel *responseRelay) writeBody(body []byte) error {
	if !rel.bodyStarted {
		rel.bodyStarted = true
		took := rel.srv.Clock.Since(rel.start)
		rel.srv.Metrics.ObserveFirstToken(cost.Class(rel.cal.Cost.PromptTokens), took.Seconds())
	}
	if _, err := rel.rw.Write(body); err != nil {
		rel.writeErr = err
		return err
	}
	if err := rel.ctl.Flush(); err != nil {
		rel.writeErr = err
		return err
	}
	return nil
}
