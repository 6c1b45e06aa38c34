package front

import (
	"context"
	"time"
)

// Times of a planned stop.
const (
	// readinessDelay is the time from reporting not ready until the load balancer, which checks readiness once a
	// second, sends no new connections.
	readinessDelay = 2600 * time.Millisecond
	// stopMargin is how long before the end of the grace time the drain ends. When that time is over, the platform
	// kills the process.
	stopMargin = 300 * time.Millisecond
	// lastAnswersTime is the part of stopMargin in which calls still in flight get their answers.
	lastAnswersTime = 200 * time.Millisecond
)

// Drain stops serving without aborting calls. It reports the front as not ready, so that the load balancer takes it
// out of rotation, and serves the calls that still arrive meanwhile. Then it refuses new calls and waits for those in
// flight. Shortly before the grace time is over, those that are left get an answer that says that they may have run.
func (frt *Front) Drain(ctx context.Context) {
	grace := frt.Grace()
	frt.log.Info("front: draining", "grace", grace)
	drainCtx, cancel := frt.clock.WithTimeout(ctx, grace-stopMargin)
	defer cancel()
	frt.draining.Store(true)
	frt.relay.CloseConnections()
	_ = frt.clock.Sleep(drainCtx, min(readinessDelay, grace/2)) // The select below handles the end of ctx.
	frt.relay.RefuseNewCalls()
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = frt.clientServer.server.Shutdown(drainCtx) // Calls still in flight when drainCtx ends are ended below.
	}()
	select {
	case <-done:
	case <-drainCtx.Done():
		frt.endCalls(ctx)
	}
	if frt.peers != nil {
		frt.peers.SendStopped()
	}
	frt.log.Info("front: drained", "complete", drainCtx.Err() == nil)
}

// endCalls ends the calls in flight and waits until their clients have been answered.
func (frt *Front) endCalls(ctx context.Context) {
	frt.relay.EndCalls()
	answerCtx, cancel := frt.clock.WithTimeout(ctx, lastAnswersTime)
	defer cancel()
	if err := frt.clientServer.server.Shutdown(answerCtx); err != nil {
		frt.log.Info("front: calls are cut off", "error", err.Error())
	}
}
