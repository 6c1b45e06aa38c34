package agent

import (
	"context"
	"sync"
	"time"

	"github.com/tarragonwheel/tarragonwheel/admit"
)

const (
	pollInterval  = 500 * time.Millisecond
	sweepInterval = 5 * time.Second
	// controlTimeout is the timeout of load, list and cancel calls to the engine.
	controlTimeout = 2 * time.Second
	// maxFailedPolls is the number of failed polls in a row after which the engine counts as unhealthy. It is above 1
	// so that one lost response does not make the agent refuse all callers.
	maxFailedPolls       = 2
	minCancelBackoff     = 20 * time.Millisecond // pause after the first round of cancels, then doubled
	maxCancelBackoff     = 2 * time.Second
	maxConcurrentCancels = 16
)

// signal notifies the loop that waits for sig, which has a buffer of one. It never blocks.
func signal(sig chan struct{}) {
	select {
	case sig <- struct{}{}:
	default:
	}
}

// pollLoop polls the engine's load report for its KV memory size, its largest number of running requests and its
// health.
func (agt *Agent) pollLoop(ctx context.Context) error {
	for ctx.Err() == nil {
		agt.poll(ctx)
		sub := agt.clock.After(pollInterval, func() { signal(agt.pollNow) })
		select {
		case <-agt.pollNow:
		case <-ctx.Done():
		}
		sub.Stop()
	}
	return nil
}

// poll reads the load report once and updates the ledger, the cost model and the health. The first response starts
// a sweep.
func (agt *Agent) poll(ctx context.Context) {
	lim, cancel := agt.clock.WithTimeout(ctx, controlTimeout)
	defer cancel()
	lod, err := agt.engine.Load(lim)
	if err == nil {
		agt.ledger.Resize(lod.TotalTokens, lod.MaxRunning)
		agt.model.SetReportedRate(lod.PrefillRate)
		agt.queue.DispatchAfterResize()
		agt.crashes.recordEngineUp()
	}
	agt.mu.Lock()
	if err == nil {
		agt.version = lod.Version
	}
	swept := agt.swept
	agt.mu.Unlock()
	if err == nil && !swept {
		agt.sweep(ctx)
	}
	agt.updateHealth(err == nil)
}

// updateHealth updates the health after a poll. Failed calls don't change it, they only bring the next poll forward:
// one request that crashes the engine fails all others with it, and the engine may be back at once.
func (agt *Agent) updateHealth(responded bool) {
	agt.mu.Lock()
	defer agt.mu.Unlock()
	agt.failedPolls++
	if responded {
		agt.failedPolls = 0
	}
	healthy := agt.swept && (responded || agt.healthy && agt.failedPolls < maxFailedPolls)
	if healthy != agt.healthy {
		agt.log.Info("agent: engine health changed", "healthy", healthy)
		agt.metrics.CountEvent(map[bool]string{true: "engine-healthy", false: "engine-unhealthy"}[healthy])
	}
	agt.healthy = healthy
	agt.updateRefusal()
}

// updateRefusal opens or closes the queue according to the agent's state. The caller holds the lock.
func (agt *Agent) updateRefusal() {
	switch {
	case agt.draining, agt.loading:
		agt.queue.Refuse(ReasonDraining)
	case !agt.healthy:
		agt.queue.Refuse(ReasonUnavailable)
	default:
		agt.queue.Refuse("")
	}
}

// sweepLoop cancels orphans: requests on the engine that this agent has not registered, such as those of an earlier
// incarnation.
func (agt *Agent) sweepLoop(ctx context.Context) error {
	for agt.clock.Sleep(ctx, sweepInterval) == nil {
		agt.sweep(ctx)
	}
	return nil
}

// sweep looks for orphans once.
func (agt *Agent) sweep(ctx context.Context) {
	lim, cancel := agt.clock.WithTimeout(ctx, controlTimeout)
	defer cancel()
	ids, err := agt.engine.ActiveRequests(lim)
	if err != nil {
		return
	}
	// Attempts are registered before they reach the engine, so a request that is listed and not registered now is an
	// orphan or has just ended; cancelling the latter has no effect.
	agt.mu.Lock()
	for _, id := range ids {
		_, serving := agt.attempts[id]
		_, cancelling := agt.cancelling[id]
		if !serving && !cancelling {
			agt.cancelling[id] = nil
			agt.metrics.CountEvent("orphan-cancelled")
		}
	}
	agt.swept = true
	agt.mu.Unlock()
	signal(agt.reclaimNow)
}

// cancelUntilConfirmed passes an attempt that the engine did not complete to the reclaim loop, which cancels it and
// then releases its reservation.
func (agt *Agent) cancelUntilConfirmed(id string, tick *admit.Ticket) {
	agt.mu.Lock()
	agt.cancelling[id] = tick
	agt.mu.Unlock()
	signal(agt.reclaimNow)
}

// reclaimLoop cancels attempts, with backoff, until the engine no longer lists them.
func (agt *Agent) reclaimLoop(ctx context.Context) error {
	backoff := minCancelBackoff
	for ctx.Err() == nil {
		ids := agt.cancellingIDs()
		if len(ids) == 0 {
			backoff = minCancelBackoff
			select {
			case <-agt.reclaimNow:
			case <-ctx.Done():
			}
			continue
		}
		if agt.reclaimRound(ctx, ids) > 0 {
			backoff = minCancelBackoff
			continue
		}
		_ = agt.clock.Sleep(ctx, backoff)
		backoff = min(2*backoff, maxCancelBackoff)
	}
	return nil
}

func (agt *Agent) cancellingIDs() []string {
	agt.mu.Lock()
	defer agt.mu.Unlock()
	ids := make([]string, 0, len(agt.cancelling))
	for id := range agt.cancelling {
		ids = append(ids, id)
	}
	return ids
}

// reclaimRound cancels the attempts, lists the engine's active requests, and releases the reservations of attempts that
// the engine no longer lists. It returns the number of releases.
func (agt *Agent) reclaimRound(ctx context.Context, ids []string) int {
	agt.cancelAll(ctx, ids)
	lim, cancel := agt.clock.WithTimeout(ctx, controlTimeout)
	defer cancel()
	active, err := agt.engine.ActiveRequests(lim)
	if err != nil {
		agt.crashes.probeCancelled(ids)
		return 0
	}
	listed := make(map[string]bool, len(active))
	for _, id := range active {
		listed[id] = true
	}
	freed := 0
	for _, id := range ids {
		if listed[id] {
			continue
		}
		agt.mu.Lock()
		tick := agt.cancelling[id]
		delete(agt.cancelling, id)
		agt.mu.Unlock()
		agt.crashes.recordUnlisted(id)
		if tick != nil {
			tick.Release()
		}
		freed++
	}
	return freed
}

func (agt *Agent) cancelAll(ctx context.Context, ids []string) {
	var wait sync.WaitGroup
	sem := make(chan struct{}, maxConcurrentCancels)
	for _, id := range ids {
		sem <- struct{}{}
		wait.Go(func() {
			defer func() { <-sem }()
			lim, cancel := agt.clock.WithTimeout(ctx, controlTimeout)
			defer cancel()
			if err := agt.engine.Cancel(lim, id); err != nil {
				agt.metrics.CountEvent("cancel-failed")
				agt.log.V(1).Info("agent: cancel failed", "attempt", id, "error", err.Error())
			}
		})
	}
	wait.Wait()
}
