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

// Limits of client connections before the operator's are known.
const (
	maxHeaderBytes = 64 << 10
	headerTimeout  = 10 * time.Second
	clientSilence  = 10 * time.Second // after which a silent connection is probed
)

// clients is the listener for clients.
type clients struct {
	server   *http.Server
	listener net.Listener
	clock    *timer.Service
	mu       sync.Mutex
	idle     map[net.Conn]time.Time // since when each idle connection is idle
}

func listenClients(grp *group.Group, addr string, clk *timer.Service, hdl http.Handler) (*clients, error) {
	cfg := net.ListenConfig{KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: clientSilence}}
	lis, err := cfg.Listen(grp.Context(), "tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("listen for clients: %w", trace.ConnectionProblem(err, "%s", addr))
	}
	cls := &clients{listener: lis, clock: clk, idle: make(map[net.Conn]time.Time)}
	cls.server = &http.Server{
		Handler: hdl, MaxHeaderBytes: maxHeaderBytes, ReadHeaderTimeout: headerTimeout, ConnState: cls.note,
	}
	grp.Go("clients", func(context.Context) error {
		if err := cls.server.Serve(lis); !errors.Is(err, http.ErrServerClosed) {
			return fmt.Errorf("serve clients: %w", err)
		}
		return nil
	})
	grp.OnStop(func() { _ = cls.server.Close() }) // The process ends.
	context.AfterFunc(grp.Context(), func() { _ = cls.server.Close() })
	return cls, nil
}

func (cls *clients) address() string { return cls.listener.Addr().String() }

func (cls *clients) note(con net.Conn, state http.ConnState) {
	cls.mu.Lock()
	defer cls.mu.Unlock()
	if state == http.StateIdle {
		cls.idle[con] = cls.clock.Now()
		return
	}
	delete(cls.idle, con)
}

// sweep closes the connections that have been idle for longer than the limit, which may change at any time. A limit of
// 0 closes none.
func (cls *clients) sweep(limit time.Duration) {
	if limit <= 0 {
		return
	}
	now := cls.clock.Now()
	cls.mu.Lock()
	var over []net.Conn
	for con, since := range cls.idle {
		if now.Sub(since) > limit {
			over = append(over, con)
		}
	}
	cls.mu.Unlock()
	for _, con := range over {
		_ = con.Close() // No request is in flight on it.
	}
}
