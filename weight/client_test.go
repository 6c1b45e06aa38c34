package weight_test

import (
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/gravitational/trace"
	"github.com/matryer/is"

	"github.com/tarragonwheel/tarragonwheel/fault"
	"github.com/tarragonwheel/tarragonwheel/weight"
)

// TestInvalidStatusIsNoPermit guards against weights that are loaded without a permit of the store.
func TestInvalidStatusIsNoPermit(t *testing.T) {
	for _, code := range []string{"000", "099", "101"} {
		iis := is.New(t)
		srv := httptest.NewServer(fault.RawResponse("HTTP/1.1 " + code + " X\r\nContent-Length: 0\r\n\r\n"))
		t.Cleanup(srv.Close)
		err := weight.New(strings.TrimPrefix(srv.URL, "http://")).Permit(t.Context(), "m", "1")
		iis.True(trace.IsConnectionProblem(err))
	}
}
