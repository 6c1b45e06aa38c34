// Package vmlist is the client of the platform's list of live and leaving VMs. Changes appear in the list with a delay,
// and the list may be unavailable. docs/PLATFORM.md lists all assumptions about its protocol.
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
	"github.com/tarragonwheel/tarragonwheel/wire"
)

const (
	requestTimeout   = 5 * time.Second // without the time that a query may wait for changes
	maxResponseBytes = 64 << 20
	vmsPath          = "/v1/vms"
)

// State is the state of a VM in the list.
type State string

// States of a VM.
const (
	StateLive    State = "live"
	StateLeaving State = "leaving"
	StateRemoved State = "gone" // only in Changes: the VM was removed from the list
)

// VM is a VM of the deployment and the process that runs on it. The platform may give the name of a removed VM to a new
// one.
type VM struct {
	Name       string     `json:"name"`
	Role       proto.Role `json:"role"`
	Address    string     `json:"address"` // IP:port on which the process listens
	DataCentre string     `json:"data-centre"`
	Serves     string     `json:"serves,omitempty"` // name of the model or service; agents only
	State      State      `json:"state"`
}

// Changes is the response to a query: the newest state of each VM that has changed, or all VMs if Complete is set.
type Changes struct {
	Revision int64 `json:"revision"` // revision of the list after these changes
	Complete bool  `json:"complete"`
	VMs      []VM  `json:"vms"`
}

// Client queries the list. It is safe for concurrent use.
type Client struct {
	base string
	http *http.Client
}

// New returns a Client for the list at the given address.
func New(addr string) *Client {
	trn := &http.Transport{MaxIdleConnsPerHost: 1}
	return &Client{base: "http://" + addr, http: &http.Client{Transport: wire.NewTransport(trn)}}
}

// Since returns the changes after a revision, or the whole list for revision 0. If there are none yet, it waits for up
// to the duration wait (long poll). If the list no longer has the changes after the revision, it returns the whole
// list. If the query fails, the error is a trace.ConnectionProblem.
func (cli *Client) Since(ctx context.Context, revision int64, wait time.Duration) (Changes, error) {
	reqCtx, cancel := context.WithTimeout(ctx, requestTimeout+wait)
	defer cancel()
	query := url.Values{"since": {strconv.FormatInt(revision, 10)}, "wait": {wait.String()}}
	req, err := http.NewRequestWithContext(reqCtx, http.MethodGet, cli.base+vmsPath+"?"+query.Encode(), nil)
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
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxResponseBytes)).Decode(&chg); err != nil {
		return Changes{}, fmt.Errorf("vmlist: query: %w", trace.ConnectionProblem(err, "malformed response: %v", err))
	}
	return chg, nil
}
