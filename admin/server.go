package admin

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"

	"github.com/go-logr/logr"
	"github.com/gravitational/trace"

	"github.com/tarragonwheel/tarragonwheel/config"
	"github.com/tarragonwheel/tarragonwheel/group"
	"github.com/tarragonwheel/tarragonwheel/httpd"
	"github.com/tarragonwheel/tarragonwheel/intent"
	"github.com/tarragonwheel/tarragonwheel/logsvc"
	"github.com/tarragonwheel/tarragonwheel/metric"
	"github.com/tarragonwheel/tarragonwheel/state"
	"github.com/tarragonwheel/tarragonwheel/timer"
)

const maxRequestBytes = 4 << 20

// Server serves the operator API.
type Server struct {
	src     Source
	secrets *config.Secrets
	client  *logsvc.Client // nil if the settings name no log service
	clock   *timer.Service
	log     logr.Logger
	metrics *metric.Set
	address string
}

// New returns a Server and starts it in grp, unless the settings give no address to listen on.
func New(
	grp *group.Group, set *config.Settings, sec *config.Secrets, clk *timer.Service, log logr.Logger,
	met *metric.Set, src Source,
) (*Server, error) {
	srv := &Server{src: src, secrets: sec, clock: clk, log: log, metrics: met}
	if addr := config.PlatformLog.Of(set); addr != "" {
		srv.client = logsvc.New(addr)
	}
	addr := config.AdminListen.Of(set)
	if addr == "" {
		return srv, nil
	}
	hsv, err := httpd.Serve(grp, "operators", addr, srv.handler())
	if err != nil {
		return nil, fmt.Errorf("admin: %w", err)
	}
	srv.address = hsv.Address()
	return srv, nil
}

// Address returns the address on which the operator API listens, or "" if the settings give none.
func (srv *Server) Address() string { return srv.address }

// handlerFunc handles a request of an authenticated operator. It returns the response, which is encoded as JSON.
type handlerFunc func(req *http.Request, operator string, body []byte) (any, error)

func (srv *Server) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+PathPlan, srv.handle(srv.plan))
	mux.HandleFunc("POST "+PathUndo, srv.handle(srv.undo))
	mux.HandleFunc("POST "+PathConfirm, srv.handle(srv.confirm))
	mux.HandleFunc("POST "+PathOutcome, srv.handle(srv.outcome))
	mux.HandleFunc("GET "+PathStatus, srv.handle(srv.status))
	mux.HandleFunc("GET "+PathHistory, srv.handle(srv.history))
	mux.HandleFunc("GET "+PathExplain, srv.handle(srv.explain))
	mux.HandleFunc("GET "+PathSuspects, srv.handle(srv.suspects))
	mux.HandleFunc("POST "+PathUnblock, srv.handle(srv.unblock))
	return mux
}

func (srv *Server) handle(run handlerFunc) http.HandlerFunc {
	return func(rw http.ResponseWriter, req *http.Request) {
		key, _ := strings.CutPrefix(req.Header.Get("Authorization"), "Bearer ")
		operator, ok := srv.secrets.Operator(key)
		if !ok {
			srv.refuse(rw, req, http.StatusUnauthorized, ErrorResponse{ReasonUnknownKey, "unknown operator key"})
			return
		}
		var body json.RawMessage
		if req.Method == http.MethodPost {
			err := json.NewDecoder(http.MaxBytesReader(rw, req.Body, maxRequestBytes)).Decode(&body)
			if err != nil {
				rsp := ErrorResponse{ReasonMalformed, "body is not JSON, or too large"}
				srv.refuse(rw, req, http.StatusBadRequest, rsp)
				return
			}
		}
		ans, err := run(req, operator, body)
		if err != nil {
			status, reason := classify(err)
			srv.refuse(rw, req, status, ErrorResponse{reason, err.Error()})
			return
		}
		rw.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(rw).Encode(ans)
	}
}

func classify(err error) (status int, reason string) {
	switch {
	case trace.IsBadParameter(err):
		return http.StatusBadRequest, ReasonMalformed
	case trace.IsNotFound(err):
		return http.StatusNotFound, ReasonNotFound
	case trace.IsCompareFailed(err):
		return http.StatusConflict, ReasonObjectsChanged
	default:
		return http.StatusServiceUnavailable, ReasonNotReady
	}
}

func (srv *Server) refuse(rw http.ResponseWriter, req *http.Request, status int, rsp ErrorResponse) {
	srv.metrics.CountRefusal(rsp.Reason)
	srv.log.Info("admin: request refused", "path", req.URL.Path, "reason", rsp.Reason, "detail", rsp.Detail)
	rw.Header().Set("Content-Type", "application/json")
	rw.WriteHeader(status)
	_ = json.NewEncoder(rw).Encode(rsp)
}

func (srv *Server) plan(_ *http.Request, _ string, body []byte) (any, error) {
	var dec Declaration
	if err := json.Unmarshal(body, &dec); err != nil {
		return nil, trace.BadParameter("admin: malformed declaration: %v", err)
	}
	ops, err := intent.Parse(dec.File, dec.Text)
	if err != nil {
		return nil, err
	}
	return srv.newPlan(ops)
}

func (srv *Server) undo(_ *http.Request, _ string, body []byte) (any, error) {
	var und UndoRequest
	if err := json.Unmarshal(body, &und); err != nil {
		return nil, trace.BadParameter("admin: malformed request: %v", err)
	}
	ops, err := intent.Undo(srv.src.Store, und.Plan)
	if err != nil {
		return nil, err
	}
	return srv.newPlan(ops)
}

func (srv *Server) newPlan(ops []state.Operation) (any, error) {
	if !srv.src.Store.Ready() {
		return nil, trace.ConnectionProblem(nil, "admin: this entry has no configuration yet")
	}
	return intent.New(srv.src.Store, ops, srv.src.Upstreams())
}

func (srv *Server) status(*http.Request, string, []byte) (any, error) {
	objects, version := srv.src.Store.List()
	sta := Status{Version: version, Ready: srv.src.Store.Ready(), Objects: objects}
	if srv.src.RollOuts != nil {
		sta.RollOuts = srv.src.RollOuts()
	}
	if gap, lost := srv.src.Store.Gap(); lost {
		sta.Gap = &gap
	}
	sta.Processes = append(sta.Processes, ProcessStatus{Name: srv.src.Name, Role: "entry", Version: version})
	for _, prc := range srv.src.Exchange.Processes() {
		if prc.Name == srv.src.Name {
			continue
		}
		sta.Processes = append(sta.Processes, ProcessStatus{
			Name: prc.Name, Role: string(prc.Role), Version: prc.Version,
			Lag: srv.src.Exchange.Lag(prc.Version), SinceUpdate: srv.clock.Since(prc.ReceivedAt),
			Draining: prc.Draining,
		})
	}
	return sta, nil
}

func (srv *Server) history(*http.Request, string, []byte) (any, error) {
	return History{Confirms: srv.src.Store.History()}, nil
}

func (srv *Server) explain(req *http.Request, _ string, _ []byte) (any, error) {
	name := req.FormValue("name")
	var exp Explanation
	list, _ := srv.src.Store.List()
	for _, nam := range list {
		if nam.Key.Name == name {
			exp.Objects = append(exp.Objects, nam)
		}
	}
	if len(exp.Objects) == 0 {
		return nil, trace.NotFound("admin: nothing is configured under the name %q", name)
	}
	return exp, nil
}
