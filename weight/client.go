// Package weight is the adapter for the platform's weight store, which limits the rate of loads. All assumptions about
// its protocol are on docs/PLATFORM.md.
package weight

import (
	"context"
	"fmt"
	"net/http"
	"net/url"
	"time"

	"github.com/gravitational/trace"
)

const callLimit = 5 * time.Second

// Client talks to the weight store.
type Client struct {
	base string
	http *http.Client
}

// New returns a Client for the weight store at the given address.
func New(addr string) *Client {
	return &Client{base: "http://" + addr, http: &http.Client{}}
}

// Permit asks for the permission to load a version now. The error is trace.LimitExceeded if the store is busy,
// trace.NotFound if it has no such version, and trace.ConnectionProblem if it cannot be reached.
func (cli *Client) Permit(ctx context.Context, model, version string) error {
	lim, cancel := context.WithTimeout(ctx, callLimit)
	defer cancel()
	addr := cli.base + "/v1/models/" + url.PathEscape(model) + "/versions/" + url.PathEscape(version) + "/permits"
	req, err := http.NewRequestWithContext(lim, http.MethodPost, addr, nil)
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
