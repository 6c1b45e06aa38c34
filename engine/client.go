// Package engine is the adapter for model engines. All assumptions about their protocol are on docs/PLATFORM.md.
package engine

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/gravitational/trace"
)

// Headers of a completion request to an engine.
const (
	HeaderRequest  = "X-Request-Id"  // identifies the request in later calls
	HeaderPriority = "X-Priority"    // whole number; the engine prefers lower ones
	HeaderResume   = "X-Resume-From" // number of output tokens that the caller has already
)

const (
	controlLimit   = 5 * time.Second
	idleConns      = 256
	maxControlBody = 1 << 20
)

// Client talks to one engine.
type Client struct {
	base string
	http *http.Client
}

// New returns a Client for the engine at the given address.
func New(addr string) *Client {
	trn := &http.Transport{MaxIdleConns: idleConns, MaxIdleConnsPerHost: idleConns, DisableCompression: true}
	return &Client{base: "http://" + addr, http: &http.Client{Transport: trn}}
}

// Request is a completion request.
type Request struct {
	ID         string
	Path       string
	Priority   int64
	ResumeFrom int
	Length     int64 // of the body in bytes
	Body       io.Reader
	Scope      *Scope // nil for a whole prompt
}

// Complete starts a completion. The caller closes the response's body. A trace.ConnectionProblem error means that the
// engine could not be reached or broke the connection.
func (cli *Client) Complete(ctx context.Context, rqs Request) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, cli.base+rqs.Path, rqs.Body)
	if err != nil {
		return nil, fmt.Errorf("engine: build request: %w", err)
	}
	req.ContentLength = rqs.Length
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(HeaderRequest, rqs.ID)
	req.Header.Set(HeaderPriority, strconv.FormatInt(rqs.Priority, 10))
	if rqs.ResumeFrom > 0 {
		req.Header.Set(HeaderResume, strconv.Itoa(rqs.ResumeFrom))
	}
	rqs.Scope.set(req.Header)
	resp, err := cli.http.Do(req)
	if err != nil {
		return nil, fmt.Errorf("engine: complete: %w", trace.ConnectionProblem(err, "%v", err))
	}
	return resp, nil
}

// Cancel ends a request and frees its memory. A request that the engine does not know counts as cancelled.
func (cli *Client) Cancel(ctx context.Context, id string) error {
	resp, err := cli.control(ctx, http.MethodDelete, "/v1/requests/"+url.PathEscape(id))
	if trace.IsNotFound(err) {
		return nil
	}
	if err != nil {
		return fmt.Errorf("engine: cancel: %w", err)
	}
	return resp.Close()
}

// Active returns the IDs of the requests that hold memory on the engine.
func (cli *Client) Active(ctx context.Context) ([]string, error) {
	var list struct {
		Requests []string `json:"requests"`
	}
	if err := cli.read(ctx, "/v1/requests", &list); err != nil {
		return nil, fmt.Errorf("engine: list requests: %w", err)
	}
	return list.Requests, nil
}

// Load is what an engine says of itself. It lags behind.
type Load struct {
	Model       string  `json:"model"`
	TotalTokens int     `json:"total_tokens"` // KV memory
	UsedTokens  int     `json:"used_tokens"`
	Running     int     `json:"running"`
	Waiting     int     `json:"waiting"`
	PrefillRate float64 `json:"prefill_rate"` // tokens a second
	MaxRunning  int     `json:"max_running"`
	Version     string  `json:"version"` // of the loaded model
}

// Load returns the engine's load report.
func (cli *Client) Load(ctx context.Context) (Load, error) {
	var lod Load
	if err := cli.read(ctx, "/v1/load", &lod); err != nil {
		return Load{}, fmt.Errorf("engine: load report: %w", err)
	}
	return lod, nil
}

func (cli *Client) read(ctx context.Context, path string, into any) error {
	body, err := cli.control(ctx, http.MethodGet, path)
	if err != nil {
		return err
	}
	defer func() { _ = body.Close() }()
	if err := json.NewDecoder(io.LimitReader(body, maxControlBody)).Decode(into); err != nil {
		return trace.BadParameter("malformed answer: %v", err)
	}
	return nil
}

// control makes a short call and returns the body of a successful answer.
func (cli *Client) control(ctx context.Context, method, path string) (io.ReadCloser, error) {
	lim, cancel := context.WithTimeout(ctx, controlLimit)
	req, err := http.NewRequestWithContext(lim, method, cli.base+path, nil)
	if err != nil {
		cancel()
		return nil, fmt.Errorf("build request: %w", err)
	}
	resp, err := cli.http.Do(req) //nolint:bodyclose // The caller closes the returned body.
	if err != nil {
		cancel()
		return nil, trace.ConnectionProblem(err, "%v", err)
	}
	body := &cancelBody{ReadCloser: resp.Body, cancel: cancel}
	if resp.StatusCode >= http.StatusBadRequest {
		_ = body.Close()
		return nil, trace.ReadError(resp.StatusCode, nil)
	}
	return body, nil
}

type cancelBody struct {
	io.ReadCloser
	cancel context.CancelFunc
}

// Close implements io.Closer.
func (bdy *cancelBody) Close() error {
	defer bdy.cancel()
	return bdy.ReadCloser.Close()
}
