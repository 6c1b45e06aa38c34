package httpd_test

import (
	"context"
	"net/http"
	"testing"

	"github.com/gravitational/trace"
	"github.com/matryer/is"

	"github.com/tarragonwheel/tarragonwheel/group"
	"github.com/tarragonwheel/tarragonwheel/httpd"
)

// TestServerEndsWithItsGroup guards against a listener that stays open after its group has stopped, and against an
// address in use that is not reported by Serve itself.
func TestServerEndsWithItsGroup(t *testing.T) {
	is := is.New(t)
	grp := group.New(context.Background(), "test")
	srv, err := httpd.Serve(grp, "test", "127.0.0.1:0", http.NotFoundHandler())
	is.NoErr(err)
	_, err = httpd.Serve(grp, "second", srv.Address(), http.NotFoundHandler())
	is.True(trace.IsConnectionProblem(err))
	is.NoErr(grp.Stop())
	again := group.New(context.Background(), "again")
	_, err = httpd.Serve(again, "test", srv.Address(), http.NotFoundHandler())
	is.NoErr(err)
	is.NoErr(again.Stop())
}
