package plain_test

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/tarragonwheel/tarragonwheel/plain"
	"github.com/tarragonwheel/tarragonwheel/simsvc"
	"github.com/tarragonwheel/tarragonwheel/timer"
)

func start(t *testing.T) (*simsvc.Service, *plain.Client) {
	t.Helper()
	svc := simsvc.New(timer.New())
	srv := httptest.NewServer(svc.Handler())
	t.Cleanup(srv.Close)
	return svc, plain.New(strings.TrimPrefix(srv.URL, "http://"))
}

func request(gate func() error) plain.Request {
	return plain.Request{
		Method: "POST", Path: "/holds?x=1", Header: map[string]string{simsvc.HeaderKey: "k"}, Gate: gate,
	}
}

// allow is a gate that lets each call through.
func allow() error { return nil }

// Guards against net/http retrying a call with an idempotency key because a reused connection was closed before the
// response.
func TestCrashedCallIsNotRetried(t *testing.T) {
	is := is.New(t)
	svc, cli := start(t)
	resp, _, err := cli.Do(context.Background(), request(allow))
	is.NoErr(err)
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	svc.Inject(simsvc.FaultCrashAfter)
	_, contacted, err := cli.Do(context.Background(), request(allow)) //nolint:bodyclose // The call fails.
	is.True(err != nil)
	is.True(contacted)
	is.Equal(len(svc.Executions()), 2)
}

// Guards against sending a call to the service after its gate has returned an error.
func TestClosedGateSendsNothing(t *testing.T) {
	is := is.New(t)
	svc, cli := start(t)
	gate := func() error { return errors.New("too late") }
	_, contacted, err := cli.Do(context.Background(), request(gate)) //nolint:bodyclose // The call fails.
	is.True(err != nil)
	is.True(!contacted)
	is.Equal(len(svc.Executions()), 0)
}

// Guards against changing the query, status or headers of a forwarded call.
func TestCallIsForwardedUnchanged(t *testing.T) {
	is := is.New(t)
	svc, cli := start(t)
	resp, _, err := cli.Do(context.Background(), request(nil))
	is.NoErr(err)
	defer func() { _ = resp.Body.Close() }()
	is.Equal(resp.StatusCode, 201)
	single, _ := plain.ResponseHeaders(resp)
	is.Equal(single["X-Execution"], "1")
	is.Equal(svc.Executions()[0].Path, "/holds?x=1")
}

// Guards against joining repeated Set-Cookie headers with a comma, which callers parse as one cookie.
func TestRepeatedHeadersAreKeptApart(t *testing.T) {
	is := is.New(t)
	cookies := []string{"a=1; Expires=Wed, 09 Jun 2027 10:18:14 GMT", "b=2"}
	single, repeated := plain.ResponseHeaders(&http.Response{Header: http.Header{
		"Set-Cookie": cookies, "X-Execution": {"1"}, "Connection": {"close"},
	}})
	is.Equal(repeated, map[string][]string{"Set-Cookie": cookies})
	is.Equal(single, map[string]string{"X-Execution": "1"})
}
