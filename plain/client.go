// Package plain is the HTTP client of plain services, which are upstreams that are not LLM engines.
package plain

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"

	"github.com/tarragonwheel/tarragonwheel/wire"
)

const (
	maxIdleConns = 256
	dialTimeout  = 3 * time.Second
)

// hopByHopHeaders are the headers, in lower case, that concern a single connection and are not forwarded.
var hopByHopHeaders = map[string]bool{
	"connection": true, "keep-alive": true, "proxy-authenticate": true, "proxy-authorization": true, "te": true,
	"trailer": true, "transfer-encoding": true, "upgrade": true, "content-length": true, "host": true,
}

// Client calls one plain service. It is safe for concurrent use.
type Client struct {
	base     string
	pooled   *http.Client // reuses connections, so net/http may retry a request on a new one
	unpooled *http.Client // opens a connection for each call, so net/http never retries one
}

// New returns a Client of the service at addr, which is HOST:PORT.
func New(addr string) *Client {
	return &Client{
		base:     "http://" + addr,
		pooled:   newHTTPClient(&http.Transport{MaxIdleConns: maxIdleConns, MaxIdleConnsPerHost: maxIdleConns}),
		unpooled: newHTTPClient(&http.Transport{DisableKeepAlives: true}),
	}
}

// newHTTPClient returns a client that forwards bodies as they are and does not follow redirects.
func newHTTPClient(trn *http.Transport) *http.Client {
	trn.DisableCompression = true
	trn.DialContext = dial
	return &http.Client{
		Transport:     wire.NewTransport(trn),
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// Request is a call to the service.
type Request struct {
	Method string
	Path   string // path and query
	Header map[string]string
	Length int64 // length of the body in bytes, -1 if unknown
	Body   io.Reader
	// Gate, if set, marks a call that must not be retried. It runs after the connection has been established and before
	// the first byte is sent. If it returns an error, the connection is closed and nothing is sent.
	Gate func() error
}

type gatedDialKey struct{}

// gatedDial passes the gate of a call to the dial function, as a value of the call's context.
type gatedDial struct {
	gate   func() error
	passed atomic.Bool // the gate has let the call through
}

// dial connects to a service and runs the gate in ctx, if any. An error of the gate closes the connection.
func dial(ctx context.Context, network, addr string) (net.Conn, error) {
	con, err := (&net.Dialer{Timeout: dialTimeout}).DialContext(ctx, network, addr)
	if err != nil {
		return nil, trace.ConnectionProblem(err, "%v", err)
	}
	gtd, ok := ctx.Value(gatedDialKey{}).(*gatedDial)
	if !ok {
		return con, nil
	}
	if err := gtd.gate(); err != nil {
		_ = con.Close()
		return nil, err
	}
	gtd.passed.Store(true)
	return con, nil
}

// Do calls the service. The caller must close the response's body. The result contacted tells whether the request may
// have reached the service. Without a Gate this is unknown, and contacted is true unless the request is malformed. The
// error is trace.BadParameter for a malformed request, and otherwise trace.ConnectionProblem.
func (cli *Client) Do(ctx context.Context, rqs Request) (resp *http.Response, contacted bool, err error) {
	gtd := &gatedDial{gate: rqs.Gate}
	hcl := cli.pooled
	if rqs.Gate != nil {
		ctx = context.WithValue(ctx, gatedDialKey{}, gtd)
		hcl = cli.unpooled
	}
	req, err := http.NewRequestWithContext(ctx, rqs.Method, cli.base+rqs.Path, rqs.Body)
	if err != nil {
		return nil, false, fmt.Errorf("plain: build request: %w", trace.BadParameter("%v", err))
	}
	req.ContentLength = rqs.Length
	if rqs.Length == 0 {
		req.Body = http.NoBody
	}
	for name, val := range rqs.Header {
		if !hopByHopHeaders[strings.ToLower(name)] {
			req.Header.Set(name, val)
		}
	}
	resp, err = hcl.Do(req)
	if err != nil {
		return nil, rqs.Gate == nil || gtd.passed.Load(), fmt.Errorf("plain: call: %w",
			trace.ConnectionProblem(err, "%v", err))
	}
	return resp, true, nil
}

// ResponseHeaders returns the headers of a response that are forwarded to the caller: those that occur once, and those
// that are repeated. Repeated values are not joined, because a value may contain a comma, as in Set-Cookie.
func ResponseHeaders(resp *http.Response) (single map[string]string, repeated map[string][]string) {
	single, repeated = make(map[string]string, len(resp.Header)), make(map[string][]string)
	for name, vals := range resp.Header {
		switch {
		case hopByHopHeaders[strings.ToLower(name)]:
		case len(vals) == 1:
			single[name] = vals[0]
		default:
			repeated[name] = vals
		}
	}
	return single, repeated
}
