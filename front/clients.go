package front

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"github.com/tarragonwheel/tarragonwheel/group"
	"github.com/tarragonwheel/tarragonwheel/timer"
)

// Limits of the HTTP server for clients. They also hold before the operator's limits are known.
const (
	maxHeaderBytes = 64 << 10
	headerTimeout  = 10 * time.Second
	keepAliveIdle  = 10 * time.Second // without traffic before the first TCP keep-alive probe
)

// clientServer is the HTTP server for clients. It closes connections that have been idle for too long.
type clientServer struct {
	server    *http.Server
	listener  net.Listener
	clock     *timer.Service
	mu        sync.Mutex
	idleSince map[net.Conn]time.Time // holds only connections that are idle now
	expired   map[net.Conn]bool      // idle connections that are being closed
}

// startClientServer listens on addr and serves hdl in grp. It returns a trace.ConnectionProblem error if the listener
// cannot be opened.
func startClientServer(grp *group.Group, addr string, clk *timer.Service, hdl http.Handler) (*clientServer, error) {
	cfg := net.ListenConfig{KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle}}
	lis, err := cfg.Listen(grp.Context(), "tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("listen for clients: %w", trace.ConnectionProblem(err, "%s", addr))
	}
	srv := &clientServer{
		listener: lis, clock: clk, idleSince: make(map[net.Conn]time.Time), expired: make(map[net.Conn]bool),
	}
	srv.server = &http.Server{
		Handler: hdl, MaxHeaderBytes: maxHeaderBytes, ReadHeaderTimeout: headerTimeout, ConnState: srv.recordConnState,
	}
	grp.Go("clients", func(context.Context) error {
		if err := srv.server.Serve(lis); !errors.Is(err, http.ErrServerClosed) {
			return fmt.Errorf("serve clients: %w", err)
		}
		return nil
	})
	grp.OnStop(func() { _ = srv.server.Close() }) // The error does not matter: the process ends.
	context.AfterFunc(grp.Context(), func() { _ = srv.server.Close() })
	return srv, nil
}

func (srv *clientServer) address() string { return srv.listener.Addr().String() }

// recordConnState keeps idleSince up to date. The HTTP server calls it when a connection changes its state.
func (srv *clientServer) recordConnState(con net.Conn, state http.ConnState) {
	srv.mu.Lock()
	defer srv.mu.Unlock()
	if state == http.StateIdle {
		srv.idleSince[con] = srv.clock.Now()
		return
	}
	delete(srv.idleSince, con)
	if srv.expired[con] {
		delete(srv.expired, con)
		_ = con.SetReadDeadline(time.Time{}) // A request came first. A closed connection has no deadline.
	}
}

// closeExpired closes the connections that have been idle for longer than limit. A limit of 0 closes none. The limit
// may differ from call to call, which http.Server.IdleTimeout does not allow.
//
// It lets the server close them by a read deadline that has passed. The server may have read a request meanwhile, whose
// connection must stay open.
func (srv *clientServer) closeExpired(limit time.Duration) {
	if limit <= 0 {
		return
	}
	now := srv.clock.Now()
	srv.mu.Lock()
	defer srv.mu.Unlock()
	for con, since := range srv.idleSince {
		if now.Sub(since) > limit {
			srv.expired[con] = true
			_ = con.SetReadDeadline(now) // The error means that the connection is closed.
		}
	}
}
