package wire

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
)

// Transport is an http.RoundTripper that returns an error for a response that is no HTTP/1.1. It is safe for concurrent
// use.
type Transport struct {
	base *http.Transport
}

// NewTransport returns a Transport with the options of another one, which it does not change.
func NewTransport(base *http.Transport) *Transport {
	base = base.Clone()
	dial := base.DialContext
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	base.DialContext = func(ctx context.Context, network, addr string) (net.Conn, error) {
		con, err := dial(ctx, network, addr)
		if err != nil {
			return nil, fmt.Errorf("wire: connect: %w", err)
		}
		return &requestConn{Conn: NewConn(con)}, nil
	}
	return &Transport{base: base}
}

// RoundTrip implements http.RoundTripper. The error wraps ErrMalformed if the response is no HTTP/1.1.
func (trn *Transport) RoundTrip(req *http.Request) (*http.Response, error) {
	var con *requestConn // the one of the latest attempt
	trace := &httptrace.ClientTrace{GotConn: func(inf httptrace.GotConnInfo) {
		if con, _ = inf.Conn.(*requestConn); con != nil { // It is of another type under TLS.
			con.beginRequest()
		}
	}}
	res, err := trn.base.RoundTrip(req.WithContext(httptrace.WithClientTrace(req.Context(), trace)))
	if err != nil {
		return nil, fmt.Errorf("wire: call: %w", err)
	}
	if con == nil {
		return res, nil
	}
	isFinal, rest := false, con.Head()
	for !isFinal && err == nil {
		isFinal, rest, err = CheckHead(rest)
	}
	if err != nil {
		_ = con.Close() // It may be idle already, and must carry no other call.
		_ = res.Body.Close()
		return nil, fmt.Errorf("wire: read response of %s: %w", req.URL.Host, err)
	}
	return res, nil
}

// requestConn is a connection of an http.Transport, which drops a response if the rest of its request cannot be
// written. A server may respond early and close the connection, so that the response is complete. Once a part of a
// request has been sent, requestConn therefore reports failures of the connection to the reader only.
type requestConn struct {
	*Conn
	isSending atomic.Bool // a part of the request has been sent
}

// beginRequest prepares the connection for a request and the head of its response.
func (con *requestConn) beginRequest() {
	con.isSending.Store(false)
	con.RecordHead(nil)
}

// Write implements net.Conn. It drops what the other side does not take any more.
func (con *requestConn) Write(buf []byte) (int, error) {
	num, err := con.Conn.Write(buf)
	if num > 0 {
		con.isSending.Store(true)
	}
	if err != nil && con.isSending.Load() && !errors.Is(err, net.ErrClosed) {
		return len(buf), nil
	}
	return num, err //nolint:wrapcheck // The error of the connection, as io.Writer requires.
}
