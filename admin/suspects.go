package admin

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"net/http"

	"github.com/gravitational/trace"

	"github.com/tarragonwheel/tarragonwheel/crash"
	"github.com/tarragonwheel/tarragonwheel/proto"
	"github.com/tarragonwheel/tarragonwheel/state"
)

// Paths of the operator API for crash attribution: requests that crash engines.
const (
	PathSuspects = "/v1/suspects"
	PathUnblock  = "/v1/unblock"
)

// Suspects lists the suspected requests, which ran on an engine that crashed and have not finished since; the blocked
// ones, which are refused because two engines crashed while running them; and the unblockings that are kept.
type Suspects struct {
	Suspects []crash.Suspicion `json:"suspects"`
	Blocked  []crash.Suspicion `json:"blocked"`
	Unblocks []crash.Unblock   `json:"unblocks"`
}

// UnblockRequest names the request to unblock.
type UnblockRequest struct {
	Fingerprint proto.Fingerprint `json:"fingerprint"`
}

// UnblockOutcome is the result of an unblock request: its Outcome is OutcomeActive or OutcomeUnknown. The request is
// idempotent.
type UnblockOutcome struct {
	Outcome     string            `json:"outcome"`
	Fingerprint proto.Fingerprint `json:"fingerprint"`
	Operator    string            `json:"operator"`
	Before      crash.Status      `json:"before"` // status of the request when the operator asked
	Detail      string            `json:"detail,omitempty"`
}

// Suspects returns the entry's crash attribution: suspected and blocked requests, and unblockings.
func (cli *Client) Suspects(ctx context.Context) (sus Suspects, err error) {
	return sus, cli.call(ctx, http.MethodGet, PathSuspects, nil, &sus)
}

// Unblock lifts the suspicion or block of a request.
func (cli *Client) Unblock(ctx context.Context, fpr proto.Fingerprint) (unb UnblockOutcome, err error) {
	return unb, cli.post(ctx, PathUnblock, UnblockRequest{fpr}, &unb)
}

// attribution returns the crash attribution. It includes crashes that are not in the log yet, if the entry provides
// them.
func (srv *Server) attribution() crash.Attribution {
	if srv.src.Suspects != nil {
		return srv.src.Suspects.Attribution()
	}
	return srv.src.Store.CrashAttribution()
}

func (srv *Server) suspects(*http.Request, string, []byte) (any, error) {
	att := srv.attribution()
	suspects, blocked := att.List(srv.clock.Now())
	return Suspects{Suspects: suspects, Blocked: blocked, Unblocks: att.Unblocks}, nil
}

func (srv *Server) unblock(req *http.Request, operator string, body []byte) (any, error) {
	var msg UnblockRequest
	if err := json.Unmarshal(body, &msg); err != nil || msg.Fingerprint == 0 {
		return nil, trace.BadParameter("admin: the body names no fingerprint of 16 hexadecimal digits")
	}
	if err := srv.catchUp(req.Context()); err != nil {
		srv.metrics.CountRefusal(ReasonLogUnavailable)
		return nil, trace.ConnectionProblem(err, "admin: nothing was written: %v", err)
	}
	now := srv.clock.Now()
	att := srv.attribution()
	status, _ := att.Status(msg.Fingerprint, now)
	if status == crash.StatusFree {
		return nil, trace.NotFound("admin: %s is neither suspected nor blocked", msg.Fingerprint)
	}
	unb := crash.Unblock{
		Fingerprint: msg.Fingerprint, Operator: operator, At: now.UnixMilli(), Request: rand.Text(),
	}
	raw, err := state.Entry{ID: unb.Request, Unblock: &unb}.Encode()
	if err != nil {
		return nil, err
	}
	_, err = srv.client.Append(req.Context(), state.Stream, raw)
	if trace.IsLimitExceeded(err) {
		return nil, trace.ConnectionProblem(err, "admin: nothing was written, the log is busy; unblock again")
	}
	// After any other error the record may have been written, which only reading the log shows.
	out := srv.awaitUnblock(req.Context(), unb)
	out.Before = status
	srv.metrics.CountEvent("unblock-" + out.Outcome)
	srv.log.Info("admin: unblock", "operator", operator, "fingerprint", unb.Fingerprint.String(), "before",
		string(status), "outcome", out.Outcome)
	return out, nil
}

// awaitUnblock waits until the unblocking has been read back from the log, at most for readBackTimeout.
func (srv *Server) awaitUnblock(parent context.Context, unb crash.Unblock) UnblockOutcome {
	ctx, cancel := srv.clock.WithTimeout(parent, readBackTimeout)
	defer cancel()
	out := UnblockOutcome{Outcome: OutcomeActive, Fingerprint: unb.Fingerprint, Operator: unb.Operator}
	for {
		changed := srv.src.Store.Changed()
		if _, ok := srv.src.Store.FindUnblock(unb.Request); ok {
			return out
		}
		select {
		case <-changed:
		case <-ctx.Done():
			out.Outcome = OutcomeUnknown
			out.Detail = "the record has not been read back; look at the suspects, and unblock again if need be"
			return out
		}
	}
}
