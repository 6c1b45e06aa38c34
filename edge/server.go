package edge

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/go-logr/logr"
	"github.com/tidwall/gjson"
	goahttp "goa.design/goa/v3/http"

	"github.com/tarragonwheel/tarragonwheel/config"
	"github.com/tarragonwheel/tarragonwheel/cost"
	"github.com/tarragonwheel/tarragonwheel/metric"
	"github.com/tarragonwheel/tarragonwheel/proto"
	"github.com/tarragonwheel/tarragonwheel/timer"
)

// Headers of a call.
const (
	HeaderKey       = "Idempotency-Key"
	HeaderTimeLimit = "X-Time-Limit" // a duration such as 30s
)

const defaultMaxTokens = 16

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
	// Ready tells whether the balancer may send callers here.
	Ready func() bool
}

// Handler returns the callers' interface on a goa muxer. Completions are plain net/http handlers, because goa's
// generated transport has no server-sent events with the framing that clients of this API expect.
func (srv *Server) Handler() http.Handler {
	mux := goahttp.NewMuxer()
	mux.Handle(http.MethodPost, "/v1/completions", srv.completions)
	mux.Handle(http.MethodPost, "/v1/chat/completions", srv.completions)
	mux.Handle(http.MethodGet, "/healthz", func(rw http.ResponseWriter, _ *http.Request) {
		rw.WriteHeader(http.StatusOK)
	})
	return mux
}

func (srv *Server) completions(rw http.ResponseWriter, req *http.Request) {
	cal, fault := srv.parse(rw, req)
	if fault != nil {
		srv.refuse(rw, *fault)
		return
	}
	ctx, cancel := srv.Clock.WithTimeout(req.Context(), cal.Deadline.Sub(srv.Clock.Now()))
	defer cancel()
	started := false
	ctl := http.NewResponseController(rw)
	start := srv.Clock.Now()
	rep := Reply{
		Head: func(hed proto.Head) error {
			for name, val := range hed.Header {
				rw.Header().Set(name, val)
			}
			started = true
			rw.WriteHeader(hed.Status)
			return nil
		},
		Write: func(body []byte) error {
			if !start.IsZero() {
				srv.Metrics.FirstToken(cost.Class(cal.Cost.PromptTokens), srv.Clock.Since(start).Seconds())
				start = time.Time{}
			}
			if _, err := rw.Write(body); err != nil {
				return err
			}
			return ctl.Flush()
		},
	}
	res := srv.Dispatch(ctx, cal, rep)
	srv.Metrics.Request(string(res.Outcome))
	if res.Outcome == proto.OutcomeDone {
		return
	}
	if started {
		// The status is sent already: only breaking the response tells the caller that it is incomplete.
		panic(http.ErrAbortHandler)
	}
	srv.refuse(rw, fromResult(res))
}

func (srv *Server) parse(rw http.ResponseWriter, req *http.Request) (Call, *refusal) {
	key := strings.TrimPrefix(req.Header.Get("Authorization"), "Bearer ")
	account, ok := srv.Secrets.Account(key)
	if !ok {
		return Call{}, &refusal{status: http.StatusUnauthorized, code: "unknown-key", message: "unknown bearer key"}
	}
	body, err := io.ReadAll(http.MaxBytesReader(rw, req.Body, int64(config.EntryMaxBody.Of(srv.Settings))))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return Call{}, &refusal{status: http.StatusRequestEntityTooLarge, code: "body-too-large", message: err.Error()}
	}
	if err != nil || !json.Valid(body) {
		return Call{}, &refusal{status: http.StatusBadRequest, code: "malformed-body", message: "body is not JSON"}
	}
	maxTokens := int(gjson.GetBytes(body, "max_tokens").Int())
	if maxTokens <= 0 {
		maxTokens = defaultMaxTokens
	}
	limit := config.EntryTimeLimit.Of(srv.Settings)
	return Call{
		Kind:       proto.UpstreamEngine,
		Account:    account,
		Serves:     gjson.GetBytes(body, "model").String(),
		Method:     req.Method,
		Path:       req.URL.Path,
		Body:       body,
		Stream:     gjson.GetBytes(body, "stream").Bool(),
		Cost:       proto.Cost{PromptTokens: cost.Tokens(len(body)), OutputTokens: maxTokens},
		Deadline:   srv.Clock.Now().Add(limit),
		Key:        req.Header.Get(HeaderKey),
		Idempotent: true,
	}, nil
}
