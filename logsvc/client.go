// Package logsvc is the client of the platform's append-only log service. docs/PLATFORM.md lists all assumptions about
// its protocol.
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

	"github.com/tarragonwheel/tarragonwheel/wire"
)

const (
	requestTimeout   = 5 * time.Second // without the time that a read may wait for records
	maxResponseBytes = 64 << 20
	maxIdleConns     = 128 // an agent has a long poll in flight for each slot of package once that it follows
	streamPath       = "/v1/streams/"
)

// Record is one record of a stream. Offsets start at 1 and rise by 1.
type Record struct {
	Offset int64  `json:"offset"`
	Data   []byte `json:"data"`
}

// Batch is the response to a read.
type Batch struct {
	Records []Record `json:"records"`
	Oldest  int64    `json:"oldest"` // offset of the oldest record that is still kept
	Next    int64    `json:"next"`   // offset of the next record to be appended
}

// Client calls the log service. It is safe for concurrent use.
type Client struct {
	base string
	http *http.Client
}

// New returns a Client for the log service at the given address.
func New(addr string) *Client {
	trn := &http.Transport{MaxIdleConnsPerHost: maxIdleConns}
	return &Client{base: "http://" + addr, http: &http.Client{Transport: wire.NewTransport(trn)}}
}

// Append appends a record to a stream and returns its offset. A trace.LimitExceeded error means that the record was not
// written. After any other error the record may have been written, or may be written later, which only reading the
// stream shows.
func (cli *Client) Append(ctx context.Context, stream string, data []byte) (int64, error) {
	reqCtx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	addr := cli.base + streamPath + url.PathEscape(stream)
	req, err := http.NewRequestWithContext(reqCtx, http.MethodPost, addr, bytes.NewReader(data))
	if err != nil {
		return 0, fmt.Errorf("logsvc: build append: %w", err)
	}
	var res struct {
		Offset int64 `json:"offset"`
	}
	if err := cli.do(req, &res); err != nil {
		return 0, fmt.Errorf("logsvc: append to %s: %w", stream, err)
	}
	return res.Offset, nil
}

// Read returns at most limit records from the offset from on. If there are none yet, it waits for up to the duration
// wait (long poll). If the record at from is no longer kept, it returns records from the oldest one that is kept; the
// caller detects this by comparing offsets.
func (cli *Client) Read(ctx context.Context, stream string, from int64, limit int, wait time.Duration) (Batch, error) {
	reqCtx, cancel := context.WithTimeout(ctx, requestTimeout+wait)
	defer cancel()
	query := url.Values{
		"from":  {strconv.FormatInt(from, 10)},
		"limit": {strconv.Itoa(limit)},
		"wait":  {wait.String()},
	}
	addr := cli.base + streamPath + url.PathEscape(stream) + "?" + query.Encode()
	req, err := http.NewRequestWithContext(reqCtx, http.MethodGet, addr, nil)
	if err != nil {
		return Batch{}, fmt.Errorf("logsvc: build read: %w", err)
	}
	var bat Batch
	if err := cli.do(req, &bat); err != nil {
		return Batch{}, fmt.Errorf("logsvc: read %s: %w", stream, err)
	}
	return bat, nil
}

func (cli *Client) do(req *http.Request, into any) error {
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
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxResponseBytes)).Decode(into); err != nil {
		return trace.ConnectionProblem(err, "malformed response: %v", err)
	}
	return nil
}
