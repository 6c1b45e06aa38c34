package entry_test

import (
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// engineRestartTime is far shorter than the restart of a real engine, so that engines are back within a test.
const engineRestartTime = 300 * time.Millisecond

// engineHost serves an engine at a fixed address, on which nothing listens while the engine restarts after a crash. The
// address is in the loopback range and random, so that no other process takes its port meanwhile.
type engineHost struct {
	addr    string
	handler http.Handler
	down    atomic.Bool

	mu      sync.Mutex
	srv     *http.Server
	stopped bool
}

func (hst *engineHost) listen(tb testing.TB) {
	hst.mu.Lock()
	defer hst.mu.Unlock()
	if hst.stopped {
		return
	}
	lis := must[net.Listener](tb)(net.Listen("tcp", hst.addr))
	hst.addr = lis.Addr().String()
	srv := &http.Server{Handler: http.HandlerFunc(func(rw http.ResponseWriter, req *http.Request) {
		if hst.down.Load() {
			panic(http.ErrAbortHandler)
		}
		hst.handler.ServeHTTP(rw, req)
	})}
	hst.srv = srv
	go func() { _ = srv.Serve(lis) }()
}

func (hst *engineHost) close() {
	hst.mu.Lock()
	defer hst.mu.Unlock()
	_ = hst.srv.Close()
}

func (hst *engineHost) restart(tb testing.TB) {
	hst.close()
	time.Sleep(engineRestartTime)
	hst.down.Store(false)
	hst.listen(tb)
}

func (hst *engineHost) stop() {
	hst.mu.Lock()
	hst.stopped = true
	hst.mu.Unlock()
	hst.close()
}
