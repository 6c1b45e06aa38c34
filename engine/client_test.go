package engine_test

import (
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/gravitational/trace"
	"github.com/matryer/is"

	"github.com/tarragonwheel/tarragonwheel/engine"
	"github.com/tarragonwheel/tarragonwheel/fault"
)

// startRaw starts an engine that sends the same bytes for each request, and returns a client of it.
func startRaw(t *testing.T, text string) *engine.Client {
	t.Helper()
	srv := httptest.NewServer(fault.RawResponse(text))
	t.Cleanup(srv.Close)
	return engine.New(strings.TrimPrefix(srv.URL, "http://"))
}

// TestInvalidStatusIsNoResponse guards against a completion that reaches a caller without a valid status, and a cancel
// that counts as confirmed, so that memory counts as free that the engine still uses.
func TestInvalidStatusIsNoResponse(t *testing.T) {
	for _, code := range []string{"000", "099", "101"} {
		iis := is.New(t)
		cli := startRaw(t, "HTTP/1.1 "+code+" X\r\nContent-Length: 2\r\n\r\n{}")
		rqs := engine.Request{ID: "1", Path: "/v1/completions", Body: strings.NewReader("")}
		resp, err := cli.Complete(t.Context(), rqs)
		if err == nil {
			_ = resp.Body.Close()
		}
		iis.True(trace.IsConnectionProblem(err))
		iis.True(trace.IsConnectionProblem(cli.Cancel(t.Context(), "1")))
		_, err = cli.Load(t.Context())
		iis.True(trace.IsConnectionProblem(err))
	}
}
