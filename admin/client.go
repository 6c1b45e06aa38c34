package admin

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/gravitational/trace"

	"github.com/tarragonwheel/tarragonwheel/intent"
)

const (
	callLimit   = 30 * time.Second
	maxResponse = 64 << 20
)

// Client calls the operator API of an entry.
type Client struct {
	base string
	key  string
	http *http.Client
}

// NewClient returns a Client of the entry at addr that identifies the operator by key.
func NewClient(addr, key string) *Client {
	return &Client{base: "http://" + addr, key: key, http: &http.Client{Timeout: callLimit}}
}

// Plan returns the plan for a declaration. Nothing changes.
func (cli *Client) Plan(ctx context.Context, dec Declaration) (pla intent.Plan, err error) {
	return pla, cli.post(ctx, PathPlan, dec, &pla)
}

// Undo returns the plan that undoes an earlier plan. Nothing changes.
func (cli *Client) Undo(ctx context.Context, plan string) (pla intent.Plan, err error) {
	return pla, cli.post(ctx, PathUndo, UndoRequest{plan}, &pla)
}

// Confirm asks for a plan to be put in force. It may be repeated.
func (cli *Client) Confirm(ctx context.Context, pla intent.Plan) (out Outcome, err error) {
	return out, cli.post(ctx, PathConfirm, pla, &out)
}

// Outcome asks what became of the confirm of a plan.
func (cli *Client) Outcome(ctx context.Context, pla intent.Plan) (out Outcome, err error) {
	return out, cli.post(ctx, PathOutcome, pla, &out)
}

// Status returns the state of the configuration.
func (cli *Client) Status(ctx context.Context) (sta Status, err error) {
	return sta, cli.call(ctx, http.MethodGet, PathStatus, nil, &sta)
}

// History returns the confirms that are kept.
func (cli *Client) History(ctx context.Context) (his History, err error) {
	return his, cli.call(ctx, http.MethodGet, PathHistory, nil, &his)
}

// Explain returns the objects of a name with their origin.
func (cli *Client) Explain(ctx context.Context, name string) (exp Explanation, err error) {
	return exp, cli.call(ctx, http.MethodGet, PathExplain+"?name="+url.QueryEscape(name), nil, &exp)
}

func (cli *Client) post(ctx context.Context, path string, msg, into any) error {
	raw, err := json.Marshal(msg)
	if err != nil {
		return fmt.Errorf("admin: encode request: %w", err)
	}
	return cli.call(ctx, http.MethodPost, path, raw, into)
}

func (cli *Client) call(ctx context.Context, method, path string, body []byte, into any) error {
	req, err := http.NewRequestWithContext(ctx, method, cli.base+path, bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("admin: build request: %w", err)
	}
	req.Header.Set("Authorization", "Bearer "+cli.key)
	resp, err := cli.http.Do(req)
	if err != nil {
		return fmt.Errorf("admin: call entry: %w", trace.ConnectionProblem(err, "%v", err))
	}
	defer func() { _ = resp.Body.Close() }()
	dec := json.NewDecoder(io.LimitReader(resp.Body, maxResponse))
	if resp.StatusCode != http.StatusOK {
		var flt Fault
		if err := dec.Decode(&flt); err != nil {
			return trace.ConnectionProblem(nil, "admin: status %s", resp.Status)
		}
		return fmt.Errorf("admin: refused: %w", trace.BadParameter("%s: %s", flt.Reason, flt.Detail))
	}
	if err := dec.Decode(into); err != nil {
		return fmt.Errorf("admin: read response: %w", trace.ConnectionProblem(err, "%v", err))
	}
	return nil
}
