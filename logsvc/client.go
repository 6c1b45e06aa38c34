// Package logsvc is the adapter for the platform's append-only log service. All assumptions about its protocol are on
// docs/PLATFORM.md.
package logsvc

import (
	"bytes"
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

const (
	callLimit  = 5 * time.Second
	maxAnswer  = 64 << 20
	idleConns  = 128 // an agent has a waiting read for each slot of package once that it follows
	streamPath = "/v1/streams/"
)

// Record is one record of a stream. Offsets start at 1 and rise by 1.
type Record struct {
	Offset int64  `json:"offset"`
	Data   []byte `json:"data"`
}

// Batch is the answer to a read.
type Batch struct {
	Records []Record `json:"records"`
	Oldest  int64    `json:"oldest"` // offset of the oldest record that is still kept
	Next    int64    `json:"next"`   // offset that the next append will get
}

// Client talks to the log service.
type Client struct {
	base string
	http *http.Client
}

// New returns a Client for the log service at the given address.
func New(addr string) *Client {
	trn := &http.Transport{MaxIdleConnsPerHost: idleConns}
	return &Client{base: "http://" + addr, http: &http.Client{Transport: trn}}
}

// Append adds a record to a stream and returns its offset. A trace.LimitExceeded error means that the record was not
// written. After any other error the record may have been written, or may yet be; only reading the stream tells.
func (cli *Client) Append(ctx context.Context, stream string, data []byte) (int64, error) {
	lim, cancel := context.WithTimeout(ctx, callLimit)
	defer cancel()
	addr := cli.base + streamPath + url.PathEscape(stream)
	req, err := http.NewRequestWithContext(lim, http.MethodPost, addr, bytes.NewReader(data))
	if err != nil {
		return 0, fmt.Errorf("logsvc: build append: %w", err)
	}
	var ans struct {
		Offset int64 `json:"offset"`
	}
	if err := cli.call(req, &ans); err != nil {
		return 0, fmt.Errorf("logsvc: append to %s: %w", stream, err)
	}
	return ans.Offset, nil
}

// Read returns records from the given offset on, at most limit of them. If there are none yet, it waits up to wait.
// If from is older than the oldest record kept, it starts at the oldest; the caller compares offsets to notice.
func (cli *Client) Read(ctx context.Context, stream string, from int64, limit int, wait time.Duration) (Batch, error) {
	lim, cancel := context.WithTimeout(ctx, callLimit+wait)
	defer cancel()
	query := url.Values{
		"from":  {strconv.FormatInt(from, 10)},
		"limit": {strconv.Itoa(limit)},
		"wait":  {wait.String()},
	}
	addr := cli.base + streamPath + url.PathEscape(stream) + "?" + query.Encode()
	req, err := http.NewRequestWithContext(lim, http.MethodGet, addr, nil)
	if err != nil {
		return Batch{}, fmt.Errorf("logsvc: build read: %w", err)
	}
	var bat Batch
	if err := cli.call(req, &bat); err != nil {
		return Batch{}, fmt.Errorf("logsvc: read %s: %w", stream, err)
	}
	return bat, nil
}

func (cli *Client) call(req *http.Request, into any) error {
	resp, err := cli.http.Do(req)
	if err != nil {
		return trace.ConnectionProblem(err, "%v", err)
	}
	defer func() { _ = resp.Body.Close() }()
	switch {
	case resp.StatusCode == http.StatusTooManyRequests:
		return trace.LimitExceeded("append rate exceeded")
	case resp.StatusCode >= http.StatusBadRequest:
		return trace.ConnectionProblem(nil, "status %s", resp.Status)
	}
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxAnswer)).Decode(into); err != nil {
		return trace.ConnectionProblem(err, "malformed answer: %v", err)
	}
	return nil
}
