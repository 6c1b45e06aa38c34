package agent

import (
	"context"
	"errors"
	"maps"
	"slices"
	"syscall"
	"time"
)

const (
	// probeTimeout is the time after which a broken connection without a response from the engine is not attributed to
	// a crash. A crashing process may accept connections for a moment without responding.
	probeTimeout  = 3 * time.Second
	probeInterval = 20 * time.Millisecond
)

// crashProbe checks whether the engine has crashed after a connection broke. If it has, the requests that are left in
// attempts at the end of the probe are suspected.
type crashProbe struct {
	attempts map[string]*runningAttempt // running at the start of the probe and not completed since
	done     chan struct{}
	crashed  bool // valid once done is closed
	// cancelledOnly is set if no connection of an attempt broke. The engine may then have given up the attempts because
	// they were cancelled, so only a refused connection is a sign of a crash. Guarded by crashHandler.mu.
	cancelledOnly bool
}

// crashed reports whether the connection of an attempt broke because the engine crashed. It starts a probe unless one
// is in progress, and waits for its end.
func (crs *crashHandler) crashed(ctx context.Context, id string) bool {
	crs.mu.Lock()
	if crs.lastCrash[id] != nil {
		crs.mu.Unlock()
		return true
	}
	if crs.engineDown || crs.running[id] == nil {
		crs.mu.Unlock()
		return false
	}
	prb := crs.startProbe()
	prb.cancelledOnly = false
	crs.mu.Unlock()
	select {
	case <-prb.done:
	case <-ctx.Done():
		return false
	}
	if prb.attempts[id] == nil { // The attempt started after the probe did.
		return crs.crashed(ctx, id)
	}
	return prb.crashed
}

// probeCancelled starts a probe if the engine may still run one of the attempts, which it was asked to cancel without
// success. If no other attempt runs, no broken connection shows a crash.
func (crs *crashHandler) probeCancelled(ids []string) {
	crs.mu.Lock()
	defer crs.mu.Unlock()
	if !crs.enabled || crs.engineDown {
		return
	}
	if crs.probe == nil && slices.ContainsFunc(ids, func(id string) bool { return crs.running[id] != nil }) {
		crs.startProbe().cancelledOnly = true
	}
}

// startProbe starts a probe of all attempts, unless one is in progress, and returns it. The caller holds the lock.
func (crs *crashHandler) startProbe() *crashProbe {
	if crs.probe != nil {
		return crs.probe
	}
	prb := &crashProbe{attempts: maps.Clone(crs.running), done: make(chan struct{})}
	crs.probe = prb
	go crs.runProbe(prb) //nolint:gosec // The probe serves all attempts and outlives the one that started it.
	return prb
}

// runProbe asks the engine for its active requests. The engine has crashed if it refuses the connection, or if it
// responds and lists none of the probe's attempts. No response at all is the sign of a broken network or a paused
// engine instead.
func (crs *crashHandler) runProbe(prb *crashProbe) {
	defer close(prb.done)
	ctx, cancel := crs.agent.clock.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	for ctx.Err() == nil {
		list, err := crs.agent.engine.ActiveRequests(ctx)
		switch {
		case err == nil:
			crs.concludeProbe(prb, crs.noneListed(prb, list), false)
			return
		case errors.Is(err, syscall.ECONNREFUSED):
			crs.concludeProbe(prb, true, true)
			return
		}
		_ = crs.agent.clock.Sleep(ctx, probeInterval)
	}
	crs.concludeProbe(prb, false, false)
}

// noneListed reports whether the engine's list has none of the probe's attempts, which is a sign of a crash.
func (crs *crashHandler) noneListed(prb *crashProbe, list []string) bool {
	crs.mu.Lock()
	defer crs.mu.Unlock()
	return !prb.cancelledOnly && !slices.ContainsFunc(list, func(id string) bool { return prb.attempts[id] != nil })
}

// concludeProbe ends a probe. Attempts lost in a planned stop or while the upstream is drained are no sign of a crash.
func (crs *crashHandler) concludeProbe(prb *crashProbe, lost, down bool) {
	agt := crs.agent
	planned := agt.stopping() || agt.config.drained() ||
		agt.config.store.StopPlanned(agt.local.Name, agt.clock.Now())
	crs.mu.Lock()
	crs.engineDown = down
	prb.crashed = lost && !planned
	suspected := slices.Collect(maps.Values(prb.attempts))
	crs.mu.Unlock()
	if prb.crashed && down {
		agt.markEngineDown()
	}
	recorded := prb.crashed && crs.recordCrash(suspected)
	// The suspects count as held until the crash is recorded, so that no report shows neither.
	crs.mu.Lock()
	crs.probe = nil
	if prb.crashed {
		crs.lastCrash = prb.attempts
		for id := range prb.attempts {
			delete(crs.running, id)
		}
	}
	crs.mu.Unlock()
	if recorded {
		agt.broadcastReport() // Before the results of the crashed attempts, which are sent through the same queue.
	}
}
