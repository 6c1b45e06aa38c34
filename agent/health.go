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
	controlLimit  = 2 * time.Second
	// failureLimit is the number of failed polls in a row after which the engine counts as unhealthy. One lost answer
	// is no reason to turn all callers away.
	failureLimit = 2
	cancelFirst  = 20 * time.Millisecond // pause after the first round of cancels, doubled up to cancelMost
	cancelMost   = 2 * time.Second
	cancelsAtOne = 16 // cancels sent at the same time
)

func wake(sig chan struct{}) {
	select {
	case sig <- struct{}{}:
	default:
	}
}

// pollLoop follows the engine's load, from which memory, slots and health are taken.
func (agt *Agent) pollLoop(ctx context.Context) error {
	for ctx.Err() == nil {
		agt.poll(ctx)
		sub := agt.clock.After(pollInterval, func() { wake(agt.pollNow) })
		select {
		case <-agt.pollNow:
		case <-ctx.Done():
		}
		sub.Stop()
	}
	return nil
}

func (agt *Agent) poll(ctx context.Context) {
	lim, cancel := agt.clock.WithTimeout(ctx, controlLimit)
	defer cancel()
	lod, err := agt.engine.Load(lim)
	if err == nil {
		agt.ledger.Resize(lod.TotalTokens, lod.MaxRunning)
		agt.model.ReportedRate(lod.PrefillRate)
		agt.queue.DispatchAfterResize()
		agt.crashes.up()
	}
	agt.mu.Lock()
	if err == nil {
		agt.version = lod.Version
	}
	known := agt.listed
	agt.mu.Unlock()
	if err == nil && !known {
		agt.sweep(ctx)
	}
	agt.judge(err == nil)
}

// judge updates the health after a poll. A failed call only brings the next poll forward: one request that crashes the
// engine fails all others with it, and the engine may be back at once.
func (agt *Agent) judge(answered bool) {
	agt.mu.Lock()
	defer agt.mu.Unlock()
	agt.failures++
	if answered {
		agt.failures = 0
	}
	healthy := agt.listed && (answered || agt.healthy && agt.failures < failureLimit)
	if healthy != agt.healthy {
		agt.log.Info("agent: engine health changed", "healthy", healthy)
		agt.metrics.Event(map[bool]string{true: "engine-healthy", false: "engine-unhealthy"}[healthy])
	}
	agt.healthy = healthy
	agt.setRefusal()
}

// setRefusal opens or closes the queue. The agent is locked.
func (agt *Agent) setRefusal() {
	switch {
	case agt.draining, agt.rolling:
		agt.queue.Refuse(ReasonDraining)
	case !agt.healthy:
		agt.queue.Refuse(ReasonUnavailable)
	default:
		agt.queue.Refuse("")
	}
}

// sweepLoop looks for requests on the engine that this agent does not know, such as those of an earlier incarnation.
func (agt *Agent) sweepLoop(ctx context.Context) error {
	for agt.clock.Sleep(ctx, sweepInterval) == nil {
		agt.sweep(ctx)
	}
	return nil
}

func (agt *Agent) sweep(ctx context.Context) {
	lim, cancel := agt.clock.WithTimeout(ctx, controlLimit)
	defer cancel()
	ids, err := agt.engine.ActiveRequests(lim)
	if err != nil {
		return
	}
	// Attempts are registered before they reach the engine, so whatever is listed and not registered now is an orphan
	// or has just ended; cancelling the latter has no effect.
	agt.mu.Lock()
	for _, id := range ids {
		_, serving := agt.attempts[id]
		_, lost := agt.lost[id]
		if !serving && !lost {
			agt.lost[id] = nil
			agt.metrics.Event("orphan-cancelled")
		}
	}
	agt.listed = true
	agt.mu.Unlock()
	wake(agt.reclaim)
}

// abandon hands an attempt that ended without the engine's completion to the reclaim loop, which owns its release.
func (agt *Agent) abandon(id string, tick *admit.Ticket) {
	agt.mu.Lock()
	agt.lost[id] = tick
	agt.mu.Unlock()
	wake(agt.reclaim)
}

// reclaimLoop repeats the cancel of lost attempts until the engine no longer lists them.
func (agt *Agent) reclaimLoop(ctx context.Context) error {
	pause := cancelFirst
	for ctx.Err() == nil {
		ids := agt.lostIDs()
		if len(ids) == 0 {
			pause = cancelFirst
			select {
			case <-agt.reclaim:
			case <-ctx.Done():
			}
			continue
		}
		if agt.reclaimRound(ctx, ids) > 0 {
			pause = cancelFirst
			continue
		}
		_ = agt.clock.Sleep(ctx, pause)
		pause = min(2*pause, cancelMost)
	}
	return nil
}

func (agt *Agent) lostIDs() []string {
	agt.mu.Lock()
	defer agt.mu.Unlock()
	ids := make([]string, 0, len(agt.lost))
	for id := range agt.lost {
		ids = append(ids, id)
	}
	return ids
}

// reclaimRound cancels, lists, and releases what the engine no longer lists. It returns the number of releases.
func (agt *Agent) reclaimRound(ctx context.Context, ids []string) int {
	agt.cancelAll(ctx, ids)
	lim, cancel := agt.clock.WithTimeout(ctx, controlLimit)
	defer cancel()
	active, err := agt.engine.ActiveRequests(lim)
	if err != nil {
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
		tick := agt.lost[id]
		delete(agt.lost, id)
		agt.mu.Unlock()
		agt.crashes.gone(id)
		if tick != nil {
			tick.Release()
		}
		freed++
	}
	return freed
}

func (agt *Agent) cancelAll(ctx context.Context, ids []string) {
	var wait sync.WaitGroup
	room := make(chan struct{}, cancelsAtOne)
	for _, id := range ids {
		room <- struct{}{}
		wait.Go(func() {
			defer func() { <-room }()
			lim, cancel := agt.clock.WithTimeout(ctx, controlLimit)
			defer cancel()
			if err := agt.engine.Cancel(lim, id); err != nil {
				agt.metrics.Event("cancel-failed")
				agt.log.V(1).Info("agent: cancel failed", "attempt", id, "error", err.Error())
			}
		})
	}
	wait.Wait()
}
