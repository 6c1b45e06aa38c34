// Package vmlist is the adapter for the platform's list of live and leaving VMs. The list lags behind, and it may be
// unavailable. All assumptions about its protocol are on docs/PLATFORM.md.
package vmlist

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

	"github.com/tarragonwheel/tarragonwheel/proto"
)

const (
	callLimit = 5 * time.Second
	maxAnswer = 64 << 20
	path      = "/v1/vms"
)

// State is the state of a VM in the list.
type State string

// States of a VM.
const (
	StateLive    State = "live"
	StateLeaving State = "leaving"
	StateGone    State = "gone" // only in changes: the VM is no longer in the list
)

// VM is one machine of the deployment with the process that runs on it. A name may be given to a new machine later.
type VM struct {
	Name       string     `json:"name"`
	Role       proto.Role `json:"role"`
	Address    string     `json:"address"` // IP:port on which the process listens
	DataCentre string     `json:"data-centre"`
	Serves     string     `json:"serves,omitempty"` // agents only
	State      State      `json:"state"`
}

// Changes is the answer to a query: the newest state of each VM that has changed, or all VMs if Complete is set.
type Changes struct {
	Revision int64 `json:"revision"`
	Complete bool  `json:"complete"`
	VMs      []VM  `json:"vms"`
}

// Client talks to the list.
type Client struct {
	base string
	http *http.Client
}

// New returns a Client for the list at the given address.
func New(addr string) *Client {
	return &Client{base: "http://" + addr, http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}}}
}

// Since returns the changes after a revision, which is 0 for a client that knows nothing. If there are none yet, it
// waits up to wait. The answer is complete if the list no longer knows what followed the revision. Any error is a
// trace.ConnectionProblem.
func (cli *Client) Since(ctx context.Context, revision int64, wait time.Duration) (Changes, error) {
	lim, cancel := context.WithTimeout(ctx, callLimit+wait)
	defer cancel()
	query := url.Values{"since": {strconv.FormatInt(revision, 10)}, "wait": {wait.String()}}
	req, err := http.NewRequestWithContext(lim, http.MethodGet, cli.base+path+"?"+query.Encode(), nil)
	if err != nil {
		return Changes{}, fmt.Errorf("vmlist: build query: %w", err)
	}
	resp, err := cli.http.Do(req)
	if err != nil {
		return Changes{}, fmt.Errorf("vmlist: query: %w", trace.ConnectionProblem(err, "%v", err))
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return Changes{}, fmt.Errorf("vmlist: query: %w", trace.ConnectionProblem(nil, "status %s", resp.Status))
	}
	var chg Changes
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxAnswer)).Decode(&chg); err != nil {
		return Changes{}, fmt.Errorf("vmlist: query: %w", trace.ConnectionProblem(err, "malformed answer: %v", err))
	}
	return chg, nil
}
