// Package weight is the client of the platform's weight store, which limits the rate at which processes load model
// weights. docs/PLATFORM.md lists all assumptions about its protocol.
package weight

import (
	"context"
	"fmt"
	"net/http"
	"net/url"
	"time"

	"github.com/gravitational/trace"

	"github.com/tarragonwheel/tarragonwheel/wire"
)

const requestTimeout = 5 * time.Second

// Client calls the weight store. It is safe for concurrent use.
type Client struct {
	base string
	http *http.Client
}

// New returns a Client for the weight store at the given address.
func New(addr string) *Client {
	return &Client{base: "http://" + addr, http: &http.Client{Transport: wire.NewTransport(&http.Transport{})}}
}

// Permit asks for a permit to load the weights of a version of a model now. The error is trace.LimitExceeded if the
// store is busy, trace.NotFound if it has no such version, and trace.ConnectionProblem if it cannot be reached or
// returns another error status.
func (cli *Client) Permit(ctx context.Context, model, version string) error {
	reqCtx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	addr := cli.base + "/v1/models/" + url.PathEscape(model) + "/versions/" + url.PathEscape(version) + "/permits"
	req, err := http.NewRequestWithContext(reqCtx, http.MethodPost, addr, nil)
	if err != nil {
		return fmt.Errorf("weight: build request: %w", err)
	}
	resp, err := cli.http.Do(req)
	if err != nil {
		return fmt.Errorf("weight: permit: %w", trace.ConnectionProblem(err, "%v", err))
	}
	defer func() { _ = resp.Body.Close() }()
	switch {
	case resp.StatusCode < http.StatusBadRequest:
		return nil
	case resp.StatusCode == http.StatusTooManyRequests:
		return fmt.Errorf("weight: permit: %w", trace.LimitExceeded("the weight store is busy"))
	case resp.StatusCode == http.StatusNotFound:
		return fmt.Errorf("weight: permit: %w", trace.NotFound("no version %s of %s", version, model))
	default:
		return fmt.Errorf("weight: permit: %w", trace.ConnectionProblem(nil, "status %s", resp.Status))
	}
}
