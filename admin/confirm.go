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

// resolveLimit is the longest time that a confirm waits for its record to be read back. Five seconds is the time
// within which an accepted configuration has to be in force.
const resolveLimit = 5 * time.Second

func (srv *Server) confirm(req *http.Request, operator string, body []byte) (any, error) {
	pla, err := intent.ParsePlan(body)
	if err != nil {
		return nil, err
	}
	if err := srv.catchUp(req.Context()); err != nil {
		return srv.unavailable(pla, err), nil
	}
	con := pla.Confirm(operator, srv.clock.Now().UnixMilli())
	if out := srv.decided(con); out.Outcome != NotKnownYet {
		out.Repeated = len(out.Conflicts) == 0 || out.Version > 0
		srv.count(operator, out)
		return out, nil
	}
	raw, err := state.Entry{ID: rand.Text(), Confirm: &con}.Encode()
	if err != nil {
		return nil, err
	}
	_, err = srv.client.Append(req.Context(), state.Stream, raw)
	if trace.IsLimitExceeded(err) {
		out := Outcome{
			Outcome: NotInForce, Plan: pla.ID, Reason: ReasonLogBusy, Detail: "nothing was written; confirm again",
		}
		srv.count(operator, out)
		return out, nil
	}
	// After any other error the record may have been written: only the stream tells.
	out := srv.resolve(req.Context(), con)
	srv.count(operator, out)
	return out, nil
}

// outcome answers for an earlier confirm of a plan, and changes nothing.
func (srv *Server) outcome(req *http.Request, _ string, body []byte) (any, error) {
	pla, err := intent.ParsePlan(body)
	if err != nil {
		return nil, err
	}
	con := pla.Confirm("", 0)
	out := srv.decided(con)
	if out.Outcome == NotKnownYet && srv.catchUp(req.Context()) == nil {
		out = srv.decided(con)
	}
	return out, nil
}

func (srv *Server) count(operator string, out Outcome) {
	srv.metrics.Event("confirm-" + out.Outcome)
	if out.Repeated {
		srv.metrics.Refusal("confirm-repeated")
	}
	srv.log.Info("admin: confirm", "operator", operator, "plan", out.Plan, "outcome", out.Outcome,
		"reason", out.Reason, "repeated", out.Repeated)
}

func (srv *Server) unavailable(pla intent.Plan, err error) Outcome {
	srv.metrics.Refusal(ReasonLogUnavailable)
	srv.log.Info("admin: confirm refused", "plan", pla.ID, "reason", ReasonLogUnavailable, "error", err.Error())
	con := pla.Confirm("", 0)
	if out := srv.decided(con); out.Outcome != NotKnownYet {
		return out
	}
	return Outcome{
		Outcome: NotKnownYet, Plan: pla.ID, Reason: ReasonLogUnavailable,
		Detail: "the log cannot be read and this request wrote nothing; only an earlier confirm of the plan may count",
	}
}

// catchUp waits until the store has what the log holds now. It fails if the log cannot be read.
func (srv *Server) catchUp(parent context.Context) error {
	if srv.client == nil {
		return trace.ConnectionProblem(nil, "admin: the settings name no log")
	}
	bat, err := srv.client.Read(parent, state.Stream, srv.src.Store.Version()+1, 1, 0)
	if err != nil {
		return err
	}
	ctx, cancel := srv.clock.WithTimeout(parent, resolveLimit)
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

// decided returns what the state says of a plan. A plan whose basis has moved is decided even if its record is still
// on its way, because versions never return.
func (srv *Server) decided(con state.Confirm) Outcome {
	past, known, conflicts := srv.src.Store.Decide(con)
	if known {
		out := Outcome{
			Outcome: InForce, Plan: con.Plan, Version: past.Offset, Operator: past.Operator,
			Reason: past.Reason, Conflicts: past.Conflicts,
		}
		if past.Reason != "" {
			out.Outcome = NotInForce
		}
		return out
	}
	for _, cfl := range conflicts {
		if cfl.Plan == con.Plan { // The plan took effect, and the history no longer has it.
			return Outcome{Outcome: InForce, Plan: con.Plan, Version: cfl.Version, Operator: cfl.Operator}
		}
	}
	if len(conflicts) > 0 {
		return Outcome{Outcome: NotInForce, Plan: con.Plan, Reason: ReasonStale, Conflicts: conflicts}
	}
	return Outcome{Outcome: NotKnownYet, Plan: con.Plan, Detail: "no record of this plan has been read"}
}

func (srv *Server) resolve(parent context.Context, con state.Confirm) Outcome {
	ctx, cancel := srv.clock.WithTimeout(parent, resolveLimit)
	defer cancel()
	for {
		changed := srv.src.Store.Changed()
		if out := srv.decided(con); out.Outcome != NotKnownYet {
			return out
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return srv.decided(con)
		}
	}
}
