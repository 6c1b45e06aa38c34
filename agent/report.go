package agent

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/tarragonwheel/tarragonwheel/link"
	"github.com/tarragonwheel/tarragonwheel/proto"
)

const (
	// reportPause bounds the reports of an agent that becomes full and free again with each request.
	reportPause = 100 * time.Millisecond
	drainPoll   = 20 * time.Millisecond
	// drainFlush bounds the time in which the last results leave the connections' send queues.
	drainFlush = 2 * time.Second
	// handBackLimit bounds the wait until the engine has confirmed the cancels of what was handed back.
	handBackLimit = 5 * time.Second
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
		QueuedPrefill: stt.QueuedPrefill,
		FreeTokens:    usg.Free(),
		TotalTokens:   usg.Tokens,
		PrefillRate:   agt.model.Rate(),
		Draining:      agt.draining || agt.rolling,
		Version:       agt.version,
		Healthy:       agt.healthy,
		WaitShort:     stt.WaitShort,
		FreeHold:      usg.FreeForPart(),
		HoldMax:       usg.PartLimit,
		PromptRatio:   agt.model.PromptRatio(),
		LongPrefill:   stt.LongPrefill,
		ShortLimit:    agt.shortLimit,
		OutputTime:    agt.model.Decode(1),
	}
	return agt.config.fill(rep)
}

// standing is the part of a report whose change entries learn at once.
type standing struct {
	full, draining, healthy, long bool
}

func standingOf(rep proto.Report) standing {
	return standing{
		full: rep.Queued > 0, draining: rep.Draining, healthy: rep.Healthy, long: rep.LongPrefill > 0,
	}
}

// reportLoop sends a report between heartbeats when the agent became full, free again, draining or
// unhealthy, or began or ended its work on long prompts.
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

// Drain refuses new and queued work, reports so, and returns when no attempt is in flight. After process.grace it hands
// the attempts on an engine back: the entry resumes their streams on another engine, which computes the prompt again.
func (agt *Agent) Drain(ctx context.Context) {
	agt.mu.Lock()
	agt.draining = true
	agt.setRefusal()
	agt.mu.Unlock()
	agt.log.Info("agent: draining", "grace", agt.grace.String())
	lim, cancel := agt.clock.WithTimeout(ctx, agt.grace)
	defer cancel()
	if !agt.awaitWork(lim) {
		agt.log.Info("agent: grace period has passed", "in-flight", agt.inFlight())
		agt.cutNow()
		end, done := agt.clock.WithTimeout(ctx, handBackLimit)
		defer done()
		agt.awaitWork(end)
	}
	agt.shutDown(ctx)
	agt.log.Info("agent: drained")
}

// awaitWork tells whether nothing was left in flight before ctx ended.
func (agt *Agent) awaitWork(ctx context.Context) bool {
	for agt.inFlight() > 0 {
		if agt.clock.Sleep(ctx, drainPoll) != nil {
			return false
		}
	}
	return true
}

// errGrace is the cause with which attempts end that go on after the grace period.
var errGrace = errors.New("agent: grace period has passed")

// untilCut ends an attempt on an engine with the grace period. Calls to plain services go on, since another agent
// cannot take over what has been started.
func (agt *Agent) untilCut(ctx context.Context, msg proto.Open) (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	if msg.Kind != proto.UpstreamEngine {
		return ctx, func() { cancel(nil) }
	}
	stop := context.AfterFunc(agt.cut, func() { cancel(errGrace) })
	return ctx, func() {
		stop()
		cancel(nil)
	}
}

// shutDown ends the connections after the entries have received the last results.
func (agt *Agent) shutDown(ctx context.Context) {
	lim, cancel := agt.clock.WithTimeout(ctx, drainFlush)
	defer cancel()
	var wait sync.WaitGroup
	for _, con := range agt.connections() {
		wait.Go(func() {
			if err := con.Shutdown(lim); err != nil {
				agt.log.Info("agent: results may not have been sent", "entry", con.Peer().Name, "error", err.Error())
			}
		})
	}
	wait.Wait()
}

// stopping tells whether Drain has been called.
func (agt *Agent) stopping() bool {
	agt.mu.Lock()
	defer agt.mu.Unlock()
	return agt.draining
}

// inFlight counts attempts without a result, those whose memory the engine has not returned, and what is missing in the
// records of non-idempotent calls. A recorded call goes on when its caller has gone, and then is no attempt any more.
func (agt *Agent) inFlight() int {
	unrecorded := 0
	if agt.once != nil {
		unrecorded = agt.once.Unfinished()
	}
	agt.mu.Lock()
	defer agt.mu.Unlock()
	return len(agt.attempts) + len(agt.lost) + unrecorded
}
