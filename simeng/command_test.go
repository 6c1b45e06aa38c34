package simeng_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/tarragonwheel/tarragonwheel/group"
	"github.com/tarragonwheel/tarragonwheel/simeng"
	"github.com/tarragonwheel/tarragonwheel/timer"
)

// TestCommandsWhileOptionsChange guards against a data race between a command and new options; only the race detector
// sees it.
func TestCommandsWhileOptionsChange(t *testing.T) {
	iis := is.New(t)
	grp := group.New(context.Background(), "engine")
	t.Cleanup(func() { _ = grp.Stop() })
	eng := simeng.New(grp, simeng.DefaultModel("m"), timer.New())
	srv := httptest.NewServer(eng.Handler())
	t.Cleanup(srv.Close)
	stop := make(chan struct{})
	done := make(chan struct{})
	go func() {
		defer close(done)
		for {
			select {
			case <-stop:
				return
			default:
				eng.SetCommands(simeng.CommandOptions{Version: "v1"})
			}
		}
	}()
	for range 20 {
		req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, srv.URL+"/v1/commands",
			strings.NewReader(`{"kind":"load","version":"v2"}`))
		iis.NoErr(err)
		res, err := http.DefaultClient.Do(req)
		iis.NoErr(err)
		iis.NoErr(res.Body.Close())
		iis.Equal(res.StatusCode, http.StatusOK)
	}
	close(stop)
	<-done
}
