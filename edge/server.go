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

// Server answers callers.
type Server struct {
	Settings *config.Settings
	Secrets  *config.Secrets
	Clock    *timer.Service
	Log      logr.Logger
	Metrics  *metric.Set

	// Dispatch runs a call and reports what became of it.
	Dispatch func(ctx context.Context, cal Call, rep Reply) proto.Result
	// Models returns the names of the models that an account may use.
	Models func(account string) []string
	// Known tells whether a model or service may exist. It is true while that cannot be told.
	Known func(knd proto.UpstreamKind, name string) bool
	// Repeatable tells whether the configuration lets a call of a service, given as "METHOD /path", run more than once.
	Repeatable func(service, call string) bool
	// Ready tells whether the balancer may send callers here.
	Ready func() bool
}

// Handler returns the callers' interface on a goa muxer. Completions and calls to plain services are net/http handlers
// on that muxer, because goa's generated transport can express neither server-sent events in the framing that clients
// of this API expect, nor a call whose method, path and body pass through unread.
func (srv *Server) Handler() http.Handler {
	mux := goahttp.NewMuxer()
	srv.mountGenerated(mux)
	mux.Handle(http.MethodPost, "/v1/completions", srv.handler(srv.completion))
	mux.Handle(http.MethodPost, "/v1/chat/completions", srv.handler(srv.completion))
	for _, method := range []string{
		http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodPost, http.MethodPut, http.MethodPatch,
		http.MethodDelete,
	} {
		mux.Handle(method, servicePrefix+"{service}", srv.handler(srv.service))
		mux.Handle(method, servicePrefix+"{service}/{*rest}", srv.handler(srv.service))
	}
	return mux
}

func (srv *Server) handler(parse func(http.ResponseWriter, *http.Request) (Call, *refusal)) http.HandlerFunc {
	return func(rw http.ResponseWriter, req *http.Request) {
		cal, ref := parse(rw, req)
		if ref != nil {
			srv.refuse(rw, ref)
			return
		}
		srv.run(rw, req, cal)
	}
}

// run dispatches a call and relays its response. Nothing of it lasts beyond the deadline, but for the error answer.
func (srv *Server) run(rw http.ResponseWriter, req *http.Request, cal Call) {
	ctx, cancel := srv.Clock.WithTimeout(req.Context(), cal.Deadline.Sub(srv.Clock.Now()))
	defer cancel()
	rel := &relay{srv: srv, rw: rw, ctl: http.NewResponseController(rw), cal: cal, start: srv.Clock.Now()}
	_ = rel.ctl.SetWriteDeadline(cal.Deadline)
	res := srv.Dispatch(ctx, cal, Reply{Head: rel.head, Write: rel.write})
	srv.Metrics.Request(string(res.Outcome))
	if res.Outcome == proto.OutcomeDone && rel.broken == nil {
		return
	}
	switch {
	case errors.Is(rel.broken, os.ErrDeadlineExceeded):
		srv.Metrics.Event(eventCallerStalled)
		panic(http.ErrAbortHandler)
	case rel.broken != nil || req.Context().Err() != nil:
		srv.Metrics.Event(eventCallerGone)
		panic(http.ErrAbortHandler)
	case rel.started:
		srv.breakOff(rw, cal, fromResult(cal, res))
	default:
		srv.refuse(rw, fromResult(cal, res))
	}
}

// relay writes a response to a caller.
type relay struct {
	srv     *Server
	rw      http.ResponseWriter
	ctl     *http.ResponseController
	cal     Call
	start   time.Time
	started bool
	wrote   bool
	broken  error // of the caller's connection
}

func (rel *relay) head(hed proto.Head) error {
	for name, val := range hed.Header {
		if !slices.Contains(privateHeaders, http.CanonicalHeaderKey(name)) {
			rel.rw.Header().Set(name, val)
		}
	}
	for name, vals := range hed.Repeated {
		if !slices.Contains(privateHeaders, http.CanonicalHeaderKey(name)) {
			rel.rw.Header()[http.CanonicalHeaderKey(name)] = vals
		}
	}
	rel.started = true
	rel.rw.WriteHeader(hed.Status)
	return nil
}

func (rel *relay) write(body []byte) error {
	if !rel.wrote {
		rel.wrote = true
		took := rel.srv.Clock.Since(rel.start)
		rel.srv.Metrics.FirstToken(cost.Class(rel.cal.Cost.PromptTokens), took.Seconds())
	}
	if _, err := rel.rw.Write(body); err != nil {
		rel.broken = err
		return err
	}
	if err := rel.ctl.Flush(); err != nil {
		rel.broken = err
		return err
	}
	return nil
}
