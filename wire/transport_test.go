package wire_test

import (
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"github.com/tarragonwheel/tarragonwheel/wire"
)

// TestMalformedResponseEndsTheConnection guards against a connection that is kept for other calls after a malformed
// response, which ends where nobody knows.
func TestMalformedResponseEndsTheConnection(t *testing.T) {
	iis := is.New(t)
	var calls atomic.Int64
	srv := httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, _ *http.Request) {
		if calls.Add(1)%2 == 0 {
			return
		}
		con, _, err := http.NewResponseController(rw).Hijack()
		if err == nil {
			_, _ = io.WriteString(con, "HTTP/1.1 000 X\r\nContent-Length: 0\r\n\r\n") // The connection stays open.
		}
	}))
	t.Cleanup(srv.Close)
	cli := &http.Client{Transport: wire.NewTransport(&http.Transport{})}
	for range 10 {
		_, err := cli.Get(srv.URL) //nolint:bodyclose // There is none.
		iis.True(errors.Is(err, wire.ErrMalformed))
		res, err := cli.Get(srv.URL)
		iis.NoErr(err)
		iis.NoErr(res.Body.Close())
		iis.Equal(res.StatusCode, http.StatusOK)
	}
}
