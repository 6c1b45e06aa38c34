// Package plain is the adapter for plain HTTP services.
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
)

const (
	idleConns = 256
	dialLimit = 3 * time.Second
)

// hopHeaders concern a single connection and are not passed through.
var hopHeaders = map[string]bool{
	"connection": true, "keep-alive": true, "proxy-authenticate": true, "proxy-authorization": true, "te": true,
	"trailer": true, "transfer-encoding": true, "upgrade": true, "content-length": true, "host": true,
}

// Client talks to one plain service.
type Client struct {
	base   string
	shared *http.Client // keeps connections; net/http may replay a request on them
	single *http.Client // one connection for each call, so that net/http never replays one
}

// New returns a Client for the service at the given address.
func New(addr string) *Client {
	return &Client{
		base:   "http://" + addr,
		shared: client(&http.Transport{MaxIdleConns: idleConns, MaxIdleConnsPerHost: idleConns}),
		single: client(&http.Transport{DisableKeepAlives: true}),
	}
}

func client(trn *http.Transport) *http.Client {
	trn.DisableCompression = true
	trn.DialContext = dial
	return &http.Client{
		Transport:     trn,
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// Request is a call of the service.
type Request struct {
	Method string
	Path   string // with the query
	Header map[string]string
	Length int64 // of the body in bytes, -1 if not known
	Body   io.Reader
	// Gate, if set, marks a call that must not be repeated. It runs when the connection stands and before the first
	// byte is sent. An error from it closes the connection with nothing sent.
	Gate func() error
}

type attemptKey struct{}

// attempt travels with the context to the dial function.
type attempt struct {
	gate   func() error
	opened atomic.Bool
}

func dial(ctx context.Context, network, addr string) (net.Conn, error) {
	con, err := (&net.Dialer{Timeout: dialLimit}).DialContext(ctx, network, addr)
	if err != nil {
		return nil, trace.ConnectionProblem(err, "%v", err)
	}
	att, ok := ctx.Value(attemptKey{}).(*attempt)
	if !ok {
		return con, nil
	}
	if err := att.gate(); err != nil {
		_ = con.Close()
		return nil, err
	}
	att.opened.Store(true)
	return con, nil
}

// Do calls the service. The caller closes the response's body. With a Gate, contacted tells whether the request may
// have reached the service; without one it is always true.
func (cli *Client) Do(ctx context.Context, rqs Request) (resp *http.Response, contacted bool, err error) {
	att := &attempt{gate: rqs.Gate}
	hcl := cli.shared
	if rqs.Gate != nil {
		ctx = context.WithValue(ctx, attemptKey{}, att)
		hcl = cli.single
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
		if !hopHeaders[strings.ToLower(name)] {
			req.Header.Set(name, val)
		}
	}
	resp, err = hcl.Do(req)
	if err != nil {
		return nil, rqs.Gate == nil || att.opened.Load(), fmt.Errorf("plain: call: %w",
			trace.ConnectionProblem(err, "%v", err))
	}
	return resp, true, nil
}

// Header returns the headers of a response that concern the caller, and apart those that occur more than once. Their
// values are not joined: a comma may be part of a value, as in Set-Cookie.
func Header(resp *http.Response) (single map[string]string, repeated map[string][]string) {
	single, repeated = make(map[string]string, len(resp.Header)), make(map[string][]string)
	for name, vals := range resp.Header {
		switch {
		case hopHeaders[strings.ToLower(name)]:
		case len(vals) == 1:
			single[name] = vals[0]
		default:
			repeated[name] = vals
		}
	}
	return single, repeated
}
