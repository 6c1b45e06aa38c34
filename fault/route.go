package fault

import (
	"context"
	"fmt"
	"net"
	"sync"

	"github.com/tarragonwheel/tarragonwheel/timer"
)

// Route forwards connections from one address to another.
type Route struct {
	name     string
	target   string
	listener net.Listener
	clock    *timer.Service

	mu      sync.Mutex
	faults  Faults
	changed chan struct{} // closed and replaced on each change of faults
	pairs   map[*pair]struct{}
	bytes   int64
}

// Name returns the route's name.
func (rte *Route) Name() string { return rte.name }

// Address returns the address on which the route listens.
func (rte *Route) Address() string { return rte.listener.Addr().String() }

// Faults returns the current faults.
func (rte *Route) Faults() Faults {
	rte.mu.Lock()
	defer rte.mu.Unlock()
	return rte.faults
}

// Bytes returns the number of bytes delivered so far in both directions.
func (rte *Route) Bytes() int64 {
	rte.mu.Lock()
	defer rte.mu.Unlock()
	return rte.bytes
}

// Connections returns the number of open connections.
func (rte *Route) Connections() int {
	rte.mu.Lock()
	defer rte.mu.Unlock()
	return len(rte.pairs)
}

// Set replaces the faults, also for open connections. Bytes already received keep their delay. It returns a
// trace.BadParameter error if a value is out of range.
func (rte *Route) Set(flt Faults) error {
	if err := flt.Check(); err != nil {
		return err
	}
	rte.mu.Lock()
	rte.faults = flt
	close(rte.changed)
	rte.changed = make(chan struct{})
	rte.mu.Unlock()
	if flt.Cut {
		rte.resetAll()
	}
	return nil
}

// Heal removes all faults.
func (rte *Route) Heal() { _ = rte.Set(None()) } // None is always valid.

// watch returns the current faults and a channel that is closed when they change.
func (rte *Route) watch() (Faults, <-chan struct{}) {
	rte.mu.Lock()
	defer rte.mu.Unlock()
	return rte.faults, rte.changed
}

func (rte *Route) resetAll() {
	rte.mu.Lock()
	pairs := make([]*pair, 0, len(rte.pairs))
	for par := range rte.pairs {
		pairs = append(pairs, par)
	}
	rte.mu.Unlock()
	for _, par := range pairs {
		par.reset()
	}
}

func (rte *Route) acceptAll(ctx context.Context) error {
	for {
		sock, err := rte.listener.Accept()
		if err != nil {
			return fmt.Errorf("accept: %w", err) // The group ignores the error after its stop.
		}
		go rte.serve(ctx, sock)
	}
}

func (rte *Route) serve(ctx context.Context, caller net.Conn) {
	par := newPair(ctx, rte, caller)
	defer par.reset()
	if !rte.register(par) {
		return
	}
	defer rte.unregister(par)
	if !rte.waitUnfrozen(par.ctx) {
		return
	}
	target, err := (&net.Dialer{}).DialContext(par.ctx, "tcp", rte.target)
	if err != nil || !par.setTarget(target) {
		return
	}
	par.run()
}

// register adds a connection. It returns false if the route is cut.
func (rte *Route) register(par *pair) bool {
	rte.mu.Lock()
	defer rte.mu.Unlock()
	if rte.faults.Cut {
		return false
	}
	rte.pairs[par] = struct{}{}
	return true
}

func (rte *Route) unregister(par *pair) {
	rte.mu.Lock()
	defer rte.mu.Unlock()
	delete(rte.pairs, par)
}

// waitUnfrozen waits while the route is frozen. It returns false if ctx ends first.
func (rte *Route) waitUnfrozen(ctx context.Context) bool {
	for {
		flt, changed := rte.watch()
		if !flt.Freeze {
			return true
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return false
		}
	}
}

func (rte *Route) addBytes(num int) {
	rte.mu.Lock()
	defer rte.mu.Unlock()
	rte.bytes += int64(num)
}
