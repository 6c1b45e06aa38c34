// Package httpd runs the HTTP listeners of a process inside its run group.
package httpd

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/gravitational/trace"

	"github.com/tarragonwheel/tarragonwheel/group"
)

// readHeaderTimeout is the longest time that a client may take to send its headers.
const readHeaderTimeout = 5 * time.Second

// Server is an HTTP listener. It closes when its group stops.
type Server struct {
	server  *http.Server
	address string
}

// Serve listens on addr and serves hdl in grp. It returns once the listener is open, with a trace.ConnectionProblem
// error if it cannot be opened. The name identifies the listener in the errors of the group.
func Serve(grp *group.Group, name, addr string, hdl http.Handler) (*Server, error) {
	lis, err := (&net.ListenConfig{}).Listen(grp.Context(), "tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("httpd: listen for %s: %w", name, trace.ConnectionProblem(err, "%v", err))
	}
	srv := &Server{
		server:  &http.Server{Handler: hdl, ReadHeaderTimeout: readHeaderTimeout},
		address: lis.Addr().String(),
	}
	grp.Go(name, func(context.Context) error {
		if err := srv.server.Serve(lis); !errors.Is(err, http.ErrServerClosed) {
			return fmt.Errorf("serve: %w", err)
		}
		return nil
	})
	grp.Go("close "+name, func(ctx context.Context) error {
		<-ctx.Done()
		return srv.server.Close()
	})
	return srv, nil
}

// Address returns the address on which the server listens.
func (srv *Server) Address() string { return srv.address }

// Shutdown closes the listener and waits until no request is in flight. It returns an error if ctx ends before.
func (srv *Server) Shutdown(ctx context.Context) error {
	if err := srv.server.Shutdown(ctx); err != nil {
		return fmt.Errorf("httpd: shut down: %w", err)
	}
	return nil
}
