package metric

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/gravitational/trace"

	"github.com/tarragonwheel/tarragonwheel/group"
)

const headerLimit = 5 * time.Second

// Serve opens a listener for metrics and health in grp and returns its address. It answers /metrics, /healthz (the
// process runs) and /readyz (200 while ready returns true, else 503).
func (set *Set) Serve(grp *group.Group, addr string, ready func() bool) (string, error) {
	lis, err := (&net.ListenConfig{}).Listen(grp.Context(), "tcp", addr)
	if err != nil {
		return "", fmt.Errorf("metric: listen: %w", trace.ConnectionProblem(err, "%v", err))
	}
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", set.Handler())
	mux.HandleFunc("GET /healthz", func(rw http.ResponseWriter, _ *http.Request) { rw.WriteHeader(http.StatusOK) })
	mux.HandleFunc("GET /readyz", func(rw http.ResponseWriter, _ *http.Request) {
		if !ready() {
			http.Error(rw, "not ready", http.StatusServiceUnavailable)
		}
	})
	srv := &http.Server{Handler: mux, ReadHeaderTimeout: headerLimit}
	grp.Go("metrics", func(context.Context) error {
		if err := srv.Serve(lis); err != http.ErrServerClosed {
			return fmt.Errorf("serve: %w", err)
		}
		return nil
	})
	grp.Go("close metrics", func(ctx context.Context) error {
		<-ctx.Done()
		return srv.Close()
	})
	return lis.Addr().String(), nil
}
