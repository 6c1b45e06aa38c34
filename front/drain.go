package front

import (
	"context"
	"time"
)

// Times of a planned stop.
const (
	// outOfRotation is the time until the load balancer, which asks once a second, sends no new connections.
	outOfRotation = 2600 * time.Millisecond
	// stopMargin is left before the platform kills the process.
	stopMargin = 300 * time.Millisecond
)

// Drain ends the front without breaking off calls: it leaves the load balancer's rotation, serves what still comes,
// then refuses new calls and waits for those in flight until the grace time is over.
func (frt *Front) Drain(ctx context.Context) {
	grace := frt.Grace()
	frt.log.Info("front: draining", "grace", grace)
	lim, cancel := frt.clock.WithTimeout(ctx, grace-stopMargin)
	defer cancel()
	frt.leaving.Store(true)
	frt.relay.CloseConnections()
	_ = frt.clock.Sleep(lim, min(outOfRotation, grace/2)) // An end of ctx is seen below.
	frt.relay.RefuseNewCalls()
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = frt.clients.server.Shutdown(lim) // What is left at the end of the grace time is broken off.
	}()
	select {
	case <-done:
	case <-lim.Done():
	}
	frt.log.Info("front: drained", "complete", lim.Err() == nil)
}
