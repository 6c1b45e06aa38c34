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
	requestTimeout   = 30 * time.Second
	maxResponseBytes = 64 << 20
)

// Client calls the operator API of an entry.
type Client struct {
	base string
	key  string
	http *http.Client
}

// NewClient returns a Client of the operator API at addr that authenticates with an operator's key. Its methods return
// trace.BadParameter with the reason code for a request that the entry refuses, and trace.ConnectionProblem if the
// entry cannot be reached or its response cannot be read.
func NewClient(addr, key string) *Client {
	return &Client{base: "http://" + addr, key: key, http: &http.Client{Timeout: requestTimeout}}
}

// Plan returns the plan for a declaration. It changes nothing.
func (cli *Client) Plan(ctx context.Context, dec Declaration) (pla intent.Plan, err error) {
	return pla, cli.post(ctx, PathPlan, dec, &pla)
}

// Undo returns the plan that undoes an earlier plan, given by its ID. It changes nothing.
func (cli *Client) Undo(ctx context.Context, plan string) (pla intent.Plan, err error) {
	return pla, cli.post(ctx, PathUndo, UndoRequest{plan}, &pla)
}

// Confirm asks the entry to make a plan take effect. It is idempotent.
func (cli *Client) Confirm(ctx context.Context, pla intent.Plan) (out Outcome, err error) {
	return out, cli.post(ctx, PathConfirm, pla, &out)
}

// Outcome returns the result of an earlier confirm of a plan. It changes nothing.
func (cli *Client) Outcome(ctx context.Context, pla intent.Plan) (out Outcome, err error) {
	return out, cli.post(ctx, PathOutcome, pla, &out)
}

// Status returns the state of the configuration.
func (cli *Client) Status(ctx context.Context) (sta Status, err error) {
	return sta, cli.call(ctx, http.MethodGet, PathStatus, nil, &sta)
}

// History returns the confirms that the entry keeps.
func (cli *Client) History(ctx context.Context) (his History, err error) {
	return his, cli.call(ctx, http.MethodGet, PathHistory, nil, &his)
}

// Explain returns the configuration objects of a name, each with the operator and plan that last changed it.
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
	dec := json.NewDecoder(io.LimitReader(resp.Body, maxResponseBytes))
	if resp.StatusCode != http.StatusOK {
		var ref ErrorResponse
		if err := dec.Decode(&ref); err != nil {
			return trace.ConnectionProblem(nil, "admin: status %s", resp.Status)
		}
		return fmt.Errorf("admin: refused: %w", trace.BadParameter("%s: %s", ref.Reason, ref.Detail))
	}
	if err := dec.Decode(into); err != nil {
		return fmt.Errorf("admin: read response: %w", trace.ConnectionProblem(err, "%v", err))
	}
	return nil
}
