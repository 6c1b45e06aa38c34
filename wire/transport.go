package wire

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptrace"
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
		return NewConn(con), nil
	}
	return &Transport{base: base}
}

// RoundTrip implements http.RoundTripper. The error wraps ErrMalformed if the response is no HTTP/1.1.
func (trn *Transport) RoundTrip(req *http.Request) (*http.Response, error) {
	var con *Conn // the one of the latest attempt
	trace := &httptrace.ClientTrace{GotConn: func(inf httptrace.GotConnInfo) {
		if con, _ = inf.Conn.(*Conn); con != nil { // It is of another type under TLS.
			con.RecordHead(nil)
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
		return nil, err
	}
	return res, nil
}
