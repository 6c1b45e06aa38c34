package agent

import (
	"context"
	"time"

	"github.com/tarragonwheel/tarragonwheel/link"
	"github.com/tarragonwheel/tarragonwheel/proto"
)

const (
	// reportPause bounds the reports of an agent that becomes full and free again with each request.
	reportPause = 100 * time.Millisecond
	drainPoll   = 20 * time.Millisecond
	// drainFlush lets the last results leave the connections' send queues before the process ends.
	drainFlush = 200 * time.Millisecond
)

// report describes the load and state now.
func (agt *Agent) report() proto.Report {
	usg := agt.ledger.Usage()
	stt := agt.queue.State()
	agt.mu.Lock()
	defer agt.mu.Unlock()
	rep := proto.Report{
		Queued:        stt.Waiting,
		Running:       usg.Running,
		QueuedPrefill: stt.Work,
		FreeTokens:    usg.Free(),
		TotalTokens:   usg.Tokens,
		PrefillRate:   agt.model.Rate(),
		Draining:      agt.draining,
		Healthy:       agt.healthy,
		WaitShort:     stt.WaitShort,
	}
	return agt.config.fill(rep)
}

// standing is the part of a report whose change entries learn at once.
type standing struct {
	full, draining, healthy bool
}

func standingOf(rep proto.Report) standing {
	return standing{full: rep.Queued > 0, draining: rep.Draining, healthy: rep.Healthy}
}

// reportLoop sends a report between heartbeats when the agent became full, free again, draining or unhealthy.
func (agt *Agent) reportLoop(ctx context.Context) error {
	var sent standing
	for {
		select {
		case <-agt.changed:
		case <-ctx.Done():
			return nil
		}
		rep := agt.report()
		if standingOf(rep) == sent {
			continue
		}
		sent = standingOf(rep)
		agt.send(rep)
		_ = agt.clock.Sleep(ctx, reportPause)
	}
}

// sendReports sends a report to all entries now.
func (agt *Agent) sendReports() { agt.send(agt.report()) }

func (agt *Agent) send(rep proto.Report) {
	for _, con := range agt.connections() {
		_ = con.Send(proto.KindReport, rep)
	}
}

func (agt *Agent) connections() []*link.Conn {
	agt.mu.Lock()
	defer agt.mu.Unlock()
	list := make([]*link.Conn, 0, len(agt.conns))
	for con := range agt.conns {
		list = append(list, con)
	}
	return list
}

// Drain refuses new and queued work, reports so, and returns when no attempt is in flight or process.grace has passed.
func (agt *Agent) Drain(ctx context.Context) {
	agt.mu.Lock()
	agt.draining = true
	agt.setRefusal()
	agt.mu.Unlock()
	agt.log.Info("agent: draining", "grace", agt.grace.String())
	lim, cancel := agt.clock.WithTimeout(ctx, agt.grace)
	defer cancel()
	for agt.inFlight() > 0 {
		if agt.clock.Sleep(lim, drainPoll) != nil {
			agt.log.Info("agent: grace period has passed", "in-flight", agt.inFlight())
			break
		}
	}
	_ = agt.clock.Sleep(ctx, drainFlush)
	agt.log.Info("agent: drained")
}

// stopping tells whether Drain has been called.
func (agt *Agent) stopping() bool {
	agt.mu.Lock()
	defer agt.mu.Unlock()
	return agt.draining
}

// inFlight counts attempts without a result and those whose memory the engine has not returned.
func (agt *Agent) inFlight() int {
	agt.mu.Lock()
	defer agt.mu.Unlock()
	return len(agt.attempts) + len(agt.lost)
}
