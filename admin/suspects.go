package admin

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"net/http"

	"github.com/gravitational/trace"

	"github.com/tarragonwheel/tarragonwheel/blame"
	"github.com/tarragonwheel/tarragonwheel/proto"
	"github.com/tarragonwheel/tarragonwheel/state"
)

// Paths of the operator API for requests that crash engines.
const (
	PathSuspects = "/v1/suspects"
	PathAcquit   = "/v1/acquit"
)

// Suspects lists the requests that ran on crashed engines and have not finished since, those that are refused because
// they crashed two, and the acquittals that are kept.
type Suspects struct {
	Suspects []blame.Case   `json:"suspects"`
	Convicts []blame.Case   `json:"convicts"`
	Acquits  []blame.Acquit `json:"acquits"`
}

// AcquitRequest names the request to acquit.
type AcquitRequest struct {
	Fingerprint proto.Fingerprint `json:"fingerprint"`
}

// Acquittal tells what became of an acquittal: InForce or NotKnownYet. Repeating it is harmless.
type Acquittal struct {
	Outcome     string            `json:"outcome"`
	Fingerprint proto.Fingerprint `json:"fingerprint"`
	Operator    string            `json:"operator"`
	Before      blame.Verdict     `json:"before"` // the verdict when the operator asked
	Detail      string            `json:"detail,omitempty"`
}

// Suspects returns what the entry holds of requests that crash engines.
func (cli *Client) Suspects(ctx context.Context) (sus Suspects, err error) {
	return sus, cli.call(ctx, http.MethodGet, PathSuspects, nil, &sus)
}

// Acquit lifts suspicion and conviction of a request.
func (cli *Client) Acquit(ctx context.Context, fpr proto.Fingerprint) (acq Acquittal, err error) {
	return acq, cli.post(ctx, PathAcquit, AcquitRequest{fpr}, &acq)
}

// book includes verdicts that are not in the log yet, if the entry provides them.
func (srv *Server) book() blame.Book {
	if srv.src.Suspects != nil {
		return srv.src.Suspects.Book()
	}
	return srv.src.Store.Blame()
}

func (srv *Server) suspects(*http.Request, string, []byte) (any, error) {
	bok := srv.book()
	suspects, convicts := bok.List(srv.clock.Now())
	return Suspects{Suspects: suspects, Convicts: convicts, Acquits: bok.Acquits}, nil
}

func (srv *Server) acquit(req *http.Request, operator string, body []byte) (any, error) {
	var msg AcquitRequest
	if err := json.Unmarshal(body, &msg); err != nil || msg.Fingerprint == 0 {
		return nil, trace.BadParameter("admin: the body names no fingerprint of 16 hexadecimal digits")
	}
	if err := srv.catchUp(req.Context()); err != nil {
		srv.metrics.Refusal(ReasonLogUnavailable)
		return nil, trace.ConnectionProblem(err, "admin: nothing was written: %v", err)
	}
	now := srv.clock.Now()
	bok := srv.book()
	verdict, _ := bok.Verdict(msg.Fingerprint, now)
	if verdict == blame.Free {
		return nil, trace.NotFound("admin: %s is neither suspected nor convicted", msg.Fingerprint)
	}
	acq := blame.Acquit{
		Fingerprint: msg.Fingerprint, Operator: operator, At: now.UnixMilli(), Request: rand.Text(),
	}
	raw, err := state.Entry{ID: acq.Request, Acquit: &acq}.Encode()
	if err != nil {
		return nil, err
	}
	_, err = srv.client.Append(req.Context(), state.Stream, raw)
	if trace.IsLimitExceeded(err) {
		return nil, trace.ConnectionProblem(err, "admin: nothing was written, the log is busy; acquit again")
	}
	out := srv.awaitAcquittal(req.Context(), acq) // After any other error only the stream tells.
	out.Before = verdict
	srv.metrics.Event("acquit-" + out.Outcome)
	srv.log.Info("admin: acquit", "operator", operator, "fingerprint", acq.Fingerprint.String(), "before",
		string(verdict), "outcome", out.Outcome)
	return out, nil
}

// awaitAcquittal waits until the acquittal has been read back.
func (srv *Server) awaitAcquittal(parent context.Context, acq blame.Acquit) Acquittal {
	ctx, cancel := srv.clock.WithTimeout(parent, resolveLimit)
	defer cancel()
	out := Acquittal{Outcome: InForce, Fingerprint: acq.Fingerprint, Operator: acq.Operator}
	for {
		changed := srv.src.Store.Changed()
		if _, ok := srv.src.Store.Acquitted(acq.Request); ok {
			return out
		}
		select {
		case <-changed:
		case <-ctx.Done():
			out.Outcome = NotKnownYet
			out.Detail = "the record has not been read back; look at the suspects, and acquit again if need be"
			return out
		}
	}
}
