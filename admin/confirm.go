package admin

import (
	"context"
	"crypto/rand"
	"net/http"
	"time"

	"github.com/gravitational/trace"

	"github.com/tarragonwheel/tarragonwheel/intent"
	"github.com/tarragonwheel/tarragonwheel/state"
)

// readBackTimeout bounds how long a request waits until a record is read from the log. An accepted configuration has to
// be active within five seconds.
const readBackTimeout = 5 * time.Second

// confirm appends a record of the confirm to the log and waits until it is read back, since the log decides which of
// several conflicting plans takes effect. A plan that is decided already is not written again.
func (srv *Server) confirm(req *http.Request, operator string, body []byte) (any, error) {
	pla, err := intent.ParsePlan(body)
	if err != nil {
		return nil, err
	}
	if err := srv.catchUp(req.Context()); err != nil {
		return srv.logUnavailable(pla, err), nil
	}
	con := pla.Confirm(operator, srv.clock.Now().UnixMilli())
	if out := srv.decision(con); out.Outcome != OutcomeUnknown {
		out.Repeated = len(out.Conflicts) == 0 || out.Version > 0
		srv.recordConfirm(operator, out)
		return out, nil
	}
	raw, err := state.Entry{ID: rand.Text(), Confirm: &con}.Encode()
	if err != nil {
		return nil, err
	}
	_, err = srv.client.Append(req.Context(), state.Stream, raw)
	if trace.IsLimitExceeded(err) {
		out := Outcome{
			Outcome: OutcomeNotActive, Plan: pla.ID, Reason: ReasonAppendRateExceeded,
			Detail: "nothing was written; confirm again",
		}
		srv.recordConfirm(operator, out)
		return out, nil
	}
	// After any other error the record may have been written, which only reading the log shows.
	out := srv.awaitDecision(req.Context(), con)
	srv.recordConfirm(operator, out)
	return out, nil
}

// outcome returns the result of an earlier confirm of a plan. It writes nothing.
func (srv *Server) outcome(req *http.Request, _ string, body []byte) (any, error) {
	pla, err := intent.ParsePlan(body)
	if err != nil {
		return nil, err
	}
	con := pla.Confirm("", 0)
	out := srv.decision(con)
	if out.Outcome == OutcomeUnknown && srv.catchUp(req.Context()) == nil {
		out = srv.decision(con)
	}
	return out, nil
}

// recordConfirm counts and logs the outcome of a confirm.
func (srv *Server) recordConfirm(operator string, out Outcome) {
	srv.metrics.CountEvent("confirm-" + out.Outcome)
	if out.Repeated {
		srv.metrics.CountRefusal("confirm-repeated")
	}
	srv.log.Info("admin: confirm", "operator", operator, "plan", out.Plan, "outcome", out.Outcome,
		"reason", out.Reason, "repeated", out.Repeated)
}

// logUnavailable returns the outcome of a confirm while the log cannot be read.
func (srv *Server) logUnavailable(pla intent.Plan, err error) Outcome {
	srv.metrics.CountRefusal(ReasonLogUnavailable)
	srv.log.Info("admin: confirm refused", "plan", pla.ID, "reason", ReasonLogUnavailable, "error", err.Error())
	con := pla.Confirm("", 0)
	if out := srv.decision(con); out.Outcome != OutcomeUnknown {
		return out
	}
	return Outcome{
		Outcome: OutcomeUnknown, Plan: pla.ID, Reason: ReasonLogUnavailable,
		Detail: "the log cannot be read and this request wrote nothing; only an earlier confirm of the plan may count",
	}
}

// catchUp waits until the store has applied all records that are in the log now. It fails if the log cannot be read, or
// after readBackTimeout.
func (srv *Server) catchUp(parent context.Context) error {
	if srv.client == nil {
		return trace.ConnectionProblem(nil, "admin: the settings name no log")
	}
	bat, err := srv.client.Read(parent, state.Stream, srv.src.Store.Version()+1, 1, 0)
	if err != nil {
		return err
	}
	ctx, cancel := srv.clock.WithTimeout(parent, readBackTimeout)
	defer cancel()
	for {
		changed := srv.src.Store.Changed()
		if srv.src.Store.Version() >= bat.Next-1 {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return trace.ConnectionProblem(nil, "admin: version %d is not reached yet", bat.Next-1)
		}
	}
}

// decision returns the outcome of a plan by the current state, OutcomeUnknown if the plan is undecided. If objects have
// changed since the plan was made, it cannot take effect any more: versions only rise. Its outcome is then decided even
// if its record has not been read yet.
func (srv *Server) decision(con state.Confirm) Outcome {
	res, recorded, conflicts := srv.src.Store.PlanStatus(con)
	if recorded {
		out := Outcome{
			Outcome: OutcomeActive, Plan: con.Plan, Version: res.Offset, Operator: res.Operator,
			Reason: res.Reason, Conflicts: res.Conflicts,
		}
		if res.Reason != "" {
			out.Outcome = OutcomeNotActive
		}
		return out
	}
	for _, cfl := range conflicts {
		if cfl.Plan == con.Plan { // The objects were changed by this plan, which the history no longer has.
			return Outcome{Outcome: OutcomeActive, Plan: con.Plan, Version: cfl.Version, Operator: cfl.Operator}
		}
	}
	if len(conflicts) > 0 {
		return Outcome{Outcome: OutcomeNotActive, Plan: con.Plan, Reason: ReasonObjectsChanged, Conflicts: conflicts}
	}
	return Outcome{Outcome: OutcomeUnknown, Plan: con.Plan, Detail: "no record of this plan has been read"}
}

// awaitDecision waits until the plan is decided, at most for readBackTimeout.
func (srv *Server) awaitDecision(parent context.Context, con state.Confirm) Outcome {
	ctx, cancel := srv.clock.WithTimeout(parent, readBackTimeout)
	defer cancel()
	for {
		changed := srv.src.Store.Changed()
		if out := srv.decision(con); out.Outcome != OutcomeUnknown {
			return out
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return srv.decision(con)
		}
	}
}
