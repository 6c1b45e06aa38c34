package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/go-logr/logr"

	"github.com/tarragonwheel/tarragonwheel/config"
	"github.com/tarragonwheel/tarragonwheel/group"
	"github.com/tarragonwheel/tarragonwheel/metric"
)

const metricsHeaderLimit = 5 * time.Second

// serveMetrics serves /metrics on the address of the setting process.metrics, if there is one.
func serveMetrics(grp *group.Group, set *config.Settings, met *metric.Set, log logr.Logger) error {
	addr := config.ProcessMetrics.Of(set)
	if addr == "" {
		return nil
	}
	lis, err := (&net.ListenConfig{}).Listen(grp.Context(), "tcp", addr)
	if err != nil {
		return fmt.Errorf("metrics: listen: %w", err)
	}
	log.Info("metrics: served", "address", lis.Addr().String())
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", met.Handler())
	srv := &http.Server{Handler: mux, ReadHeaderTimeout: metricsHeaderLimit}
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
	return nil
}
