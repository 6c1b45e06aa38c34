// Package fault is a fault-injecting TCP proxy for tests, scenarios and the fault soak.
//
// A Proxy has routes. Each route listens on an address and forwards to a target, and has Faults that can be changed at
// any time. TCP never loses bytes, so packet loss is simulated by a delay of one retransmission timeout.
package fault

import (
	"context"
	"fmt"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"github.com/tarragonwheel/tarragonwheel/group"
	"github.com/tarragonwheel/tarragonwheel/timer"
)

// Mode determines what happens to the bytes of one direction.
type Mode string

// Modes of a direction.
const (
	ModePass Mode = "pass"
	ModeHold Mode = "hold" // buffered until the direction passes again, as TCP retransmits after a short partition
	ModeDrop Mode = "drop" // discarded; a connection that has lost bytes is reset when the direction passes again
)

// RetransmissionTimeout is the delay that a lost packet causes. It is the usual minimum of TCP implementations.
const RetransmissionTimeout = 200 * time.Millisecond

// Faults are the faults injected into a route. The zero value with both modes set to ModePass has no effect.
type Faults struct {
	Delay  time.Duration // one way, in both directions
	Jitter time.Duration // maximum of an additional random delay; bytes stay in order
	Loss   float64       // probability from 0 to 1 that a segment is delayed by RetransmissionTimeout
	Cut    bool          // connections are reset, and new ones are reset as soon as they open
	Up     Mode          // direction from the connecting side to the target
	Down   Mode          // direction from the target to the connecting side
	Freeze bool          // nothing moves in either direction, and new connections are not forwarded
}

// None returns Faults without any effect.
func None() Faults { return Faults{Up: ModePass, Down: ModePass} }

// Check returns a trace.BadParameter error if a value is out of range.
func (flt Faults) Check() error {
	if flt.Delay < 0 || flt.Jitter < 0 {
		return trace.BadParameter("fault: delay and jitter must not be negative")
	}
	if flt.Loss < 0 || flt.Loss > 1 {
		return trace.BadParameter("fault: loss must be from 0 to 1")
	}
	modes := []Mode{ModePass, ModeHold, ModeDrop}
	if !slices.Contains(modes, flt.Up) || !slices.Contains(modes, flt.Down) {
		return trace.BadParameter("fault: up and down must be one of pass, hold, drop")
	}
	return nil
}

// Proxy is a set of routes. They close when its group stops.
type Proxy struct {
	grp    *group.Group
	clock  *timer.Service
	mu     sync.Mutex
	routes map[string]*Route
}

// New returns a Proxy without routes.
func New(grp *group.Group, clk *timer.Service) *Proxy {
	return &Proxy{grp: grp, clock: clk, routes: make(map[string]*Route)}
}

// Add starts a route that listens on listen (IP:port, port 0 for any) and forwards to target.
func (prx *Proxy) Add(name, listen, target string) (*Route, error) {
	prx.mu.Lock()
	defer prx.mu.Unlock()
	if _, taken := prx.routes[name]; taken {
		return nil, trace.AlreadyExists("fault: route %s exists", name)
	}
	lis, err := (&net.ListenConfig{}).Listen(prx.grp.Context(), "tcp", listen)
	if err != nil {
		return nil, fmt.Errorf("fault: listen: %w", trace.ConnectionProblem(err, "%v", err))
	}
	rte := &Route{
		name: name, target: target, listener: lis, clock: prx.clock,
		faults: None(), changed: make(chan struct{}), pairs: make(map[*pair]struct{}),
	}
	prx.routes[name] = rte
	prx.grp.Go("route "+name, rte.acceptAll)
	prx.grp.Go("close "+name, func(ctx context.Context) error {
		<-ctx.Done()
		return lis.Close()
	})
	return rte, nil
}

// Route returns the named route, or a trace.NotFound error.
func (prx *Proxy) Route(name string) (*Route, error) {
	prx.mu.Lock()
	defer prx.mu.Unlock()
	rte, ok := prx.routes[name]
	if !ok {
		return nil, trace.NotFound("fault: no route %s", name)
	}
	return rte, nil
}

// Routes returns all routes in order of name.
func (prx *Proxy) Routes() []*Route {
	prx.mu.Lock()
	defer prx.mu.Unlock()
	list := make([]*Route, 0, len(prx.routes))
	for _, rte := range prx.routes {
		list = append(list, rte)
	}
	slices.SortFunc(list, func(one, two *Route) int {
		if one.name < two.name {
			return -1
		}
		return 1
	})
	return list
}
