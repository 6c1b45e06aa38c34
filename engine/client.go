// Package engine is the HTTP client of the LLM engines. All assumptions about their protocol are listed in
// docs/PLATFORM.md.
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

	"github.com/tarragonwheel/tarragonwheel/wire"
)

// Headers of a completion request to an engine.
const (
	HeaderRequest  = "X-Request-Id"  // ID that later calls, such as Cancel, refer to
	HeaderPriority = "X-Priority"    // integer; the engine schedules lower values first
	HeaderResume   = "X-Resume-From" // number of output tokens that the caller already has
)

const (
	controlTimeout      = 5 * time.Second
	maxIdleConns        = 256
	maxControlBodyBytes = 1 << 20
)

// Client calls one engine. It is safe for concurrent use.
type Client struct {
	base string
	http *http.Client
}

// New returns a Client of the engine at addr, which is HOST:PORT.
func New(addr string) *Client {
	trn := &http.Transport{MaxIdleConns: maxIdleConns, MaxIdleConnsPerHost: maxIdleConns, DisableCompression: true}
	return &Client{base: "http://" + addr, http: &http.Client{Transport: wire.NewTransport(trn)}}
}

// Request is a completion request.
type Request struct {
	ID           string
	Path         string // of the HTTP request
	Priority     int64  // lower values are scheduled first
	ResumeFrom   int    // number of output tokens that the caller already has; 0 for a new completion
	Length       int64  // length of the body in bytes
	Body         io.Reader
	SegmentRange *SegmentRange // part of the prompt to prefill; nil for the whole prompt
}

// Complete starts a completion and returns the engine's response, whatever its status. The caller must close its body.
// A trace.ConnectionProblem error means that the engine could not be reached or closed the connection.
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
	rqs.SegmentRange.setHeaders(req.Header)
	resp, err := cli.http.Do(req)
	if err != nil {
		return nil, fmt.Errorf("engine: complete: %w", trace.ConnectionProblem(err, "%v", err))
	}
	return resp, nil
}

// Cancel ends a request and frees its KV memory. It returns nil if the engine does not know the request.
func (cli *Client) Cancel(ctx context.Context, id string) error {
	resp, err := cli.sendControl(ctx, http.MethodDelete, "/v1/requests/"+url.PathEscape(id))
	if trace.IsNotFound(err) {
		return nil
	}
	if err != nil {
		return fmt.Errorf("engine: cancel: %w", err)
	}
	return resp.Close()
}

// ActiveRequests returns the IDs of the requests that occupy KV memory of the engine.
func (cli *Client) ActiveRequests(ctx context.Context) ([]string, error) {
	var list struct {
		Requests []string `json:"requests"`
	}
	if err := cli.getJSON(ctx, "/v1/requests", &list); err != nil {
		return nil, fmt.Errorf("engine: list requests: %w", err)
	}
	return list.Requests, nil
}

// Load is an engine's report of its own load. It may be out of date.
type Load struct {
	Model       string  `json:"model"`
	TotalTokens int     `json:"total_tokens"` // size of the KV cache
	UsedTokens  int     `json:"used_tokens"`
	Running     int     `json:"running"`      // requests
	Waiting     int     `json:"waiting"`      // requests
	PrefillRate float64 `json:"prefill_rate"` // tokens per second
	MaxRunning  int     `json:"max_running"`  // largest number of running requests
	Version     string  `json:"version"`      // version of the loaded model
}

// Load returns the engine's current load report.
func (cli *Client) Load(ctx context.Context) (Load, error) {
	var lod Load
	if err := cli.getJSON(ctx, "/v1/load", &lod); err != nil {
		return Load{}, fmt.Errorf("engine: load report: %w", err)
	}
	return lod, nil
}

// getJSON decodes the response to a GET request into a value.
func (cli *Client) getJSON(ctx context.Context, path string, into any) error {
	body, err := cli.sendControl(ctx, http.MethodGet, path)
	if err != nil {
		return err
	}
	defer func() { _ = body.Close() }()
	if err := json.NewDecoder(io.LimitReader(body, maxControlBodyBytes)).Decode(into); err != nil {
		return trace.BadParameter("malformed response: %v", err)
	}
	return nil
}

// sendControl makes a short call without a body, bounded by controlTimeout, and returns the body of the response. A
// status of 400 or above is returned as an error of the matching trace type.
func (cli *Client) sendControl(ctx context.Context, method, path string) (io.ReadCloser, error) {
	tctx, cancel := context.WithTimeout(ctx, controlTimeout)
	req, err := http.NewRequestWithContext(tctx, method, cli.base+path, nil)
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

// cancelBody ends the timeout of a control call when the response body is closed.
type cancelBody struct {
	io.ReadCloser
	cancel context.CancelFunc
}

// Close implements io.Closer.
func (bdy *cancelBody) Close() error {
	defer bdy.cancel()
	return bdy.ReadCloser.Close()
}
