package metric

import (
	"fmt"
	"net/http"

	"github.com/tarragonwheel/tarragonwheel/group"
	"github.com/tarragonwheel/tarragonwheel/httpd"
)

// Serve opens a listener for metrics and health checks in grp and returns its address. It serves /metrics, /healthz
// (always 200, liveness) and /readyz (200 while ready returns true, else 503).
func (set *Set) Serve(grp *group.Group, addr string, ready func() bool) (string, error) {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", set.Handler())
	mux.HandleFunc("GET /healthz", func(rw http.ResponseWriter, _ *http.Request) { rw.WriteHeader(http.StatusOK) })
	mux.HandleFunc("GET /readyz", func(rw http.ResponseWriter, _ *http.Request) {
		if !ready() {
			http.Error(rw, "not ready", http.StatusServiceUnavailable)
		}
	})
	srv, err := httpd.Serve(grp, "metrics", addr, mux)
	if err != nil {
		return "", fmt.Errorf("metric: %w", err)
	}
	return srv.Address(), nil
}
