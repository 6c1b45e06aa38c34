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
	// minReportInterval limits the reports on change: an agent may become full and free again with each request.
	minReportInterval = 100 * time.Millisecond
	drainPollInterval = 20 * time.Millisecond
	// flushTimeout bounds the wait until the last results have left the send queues of the connections.
	flushTimeout = 2 * time.Second
	// cancelConfirmTimeout bounds the wait until the engine no longer lists the attempts that were cancelled at the end
	// of the grace period.
	cancelConfirmTimeout = 5 * time.Second
)

// report returns the agent's current load and state.
func (agt *Agent) report() proto.Report {
	// In this order, so that a crash is not known here before its held requests show, and each held request shows until
	// the crash that it caused is among the crashes of fillReport.
	known := agt.crashes.knownCrashes()
	held := agt.crashes.heldSuspects()
	usg := agt.ledger.Usage()
	stt := agt.queue.State()
	agt.mu.Lock()
	defer agt.mu.Unlock()
	rep := proto.Report{
		Queued:            stt.Waiting,
		Running:           usg.Running,
		QueuedPrefill:     stt.QueuedPrefill,
		FreeTokens:        usg.Free(),
		TotalTokens:       usg.Tokens,
		PrefillRate:       agt.model.Rate(),
		Draining:          agt.draining || agt.loading,
		Version:           agt.version,
		Healthy:           agt.healthy,
		ShortWait:         stt.ShortWait,
		FreeSegmentTokens: usg.FreeForPart(),
		MaxSegmentTokens:  usg.PartLimit,
		PromptRatio:       agt.model.PromptRatio(),
		LongPrefill:       stt.LongPrefill,
		ShortLimit:        agt.shortLimit,
		OutputTime:        agt.model.DecodeTime(1),
		KnownCrashes:      known,
		HeldSuspects:      held,
	}
	return agt.config.fillReport(rep)
}

// urgentState is the part of the state whose changes are reported at once, not only with the next heartbeat.
type urgentState struct {
	queueing    bool // requests wait in the queue
	draining    bool
	healthy     bool
	longPrefill bool   // the prefill of long prompts is not finished
	held        int    // suspects that the engine runs or may still run
	crash       string // newest known
}

func urgentStateOf(rep proto.Report) urgentState {
	return urgentState{
		queueing: rep.Queued > 0, draining: rep.Draining, healthy: rep.Healthy, longPrefill: rep.LongPrefill > 0,
		held: len(rep.HeldSuspects), crash: newest(rep.KnownCrashes),
	}
}

// reportLoop sends a report between heartbeats whenever the urgent state changes: requests start or stop queueing, the
// agent drains, its health changes, it starts or ends its last long prompt, or its known crashes or held suspects
// change.
func (agt *Agent) reportLoop(ctx context.Context) error {
	var sent urgentState
	for {
		select {
		case <-agt.reportNow:
		case <-ctx.Done():
			return nil
		}
		rep := agt.report()
		if urgentStateOf(rep) == sent {
			continue
		}
		sent = urgentStateOf(rep)
		agt.broadcast(rep)
		_ = agt.clock.Sleep(ctx, minReportInterval)
	}
}

// broadcastReport sends the current report to all entries.
func (agt *Agent) broadcastReport() { agt.broadcast(agt.report()) }

func (agt *Agent) broadcast(rep proto.Report) {
	rep = agt.config.addEntries(rep)
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

// Drain refuses new and queued requests, reports that the agent drains, and returns when no attempt is in flight. After
// process.grace it cancels the attempts on the engine: the entry resumes their streams on another engine, which repeats
// the prefill.
func (agt *Agent) Drain(ctx context.Context) {
	agt.mu.Lock()
	agt.draining = true
	agt.updateRefusal()
	agt.mu.Unlock()
	agt.log.Info("agent: draining", "grace", agt.gracePeriod.String())
	lim, cancel := agt.clock.WithTimeout(ctx, agt.gracePeriod)
	defer cancel()
	if !agt.awaitIdle(lim) {
		agt.log.Info("agent: grace period has passed", "in-flight", agt.inFlight())
		agt.endGrace()
		end, done := agt.clock.WithTimeout(ctx, cancelConfirmTimeout)
		defer done()
		agt.awaitIdle(end)
	}
	agt.closeConnections(ctx)
	agt.log.Info("agent: drained")
}

// awaitIdle waits until nothing is in flight. It returns false if ctx ended first.
func (agt *Agent) awaitIdle(ctx context.Context) bool {
	for agt.inFlight() > 0 {
		if agt.clock.Sleep(ctx, drainPollInterval) != nil {
			return false
		}
	}
	return true
}

// errGraceEnded is the cancel cause of attempts that still run at the end of the grace period.
var errGraceEnded = errors.New("agent: grace period has passed")

// withGraceLimit returns a context that ends with the grace period for attempts on an engine. Calls to plain services
// continue, since no other agent can take over a call that has started.
func (agt *Agent) withGraceLimit(ctx context.Context, msg proto.Open) (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	if msg.Kind != proto.UpstreamEngine {
		return ctx, func() { cancel(nil) }
	}
	stop := context.AfterFunc(agt.graceEnded, func() { cancel(errGraceEnded) })
	return ctx, func() {
		stop()
		cancel(nil)
	}
}

// closeConnections closes the connections after the entries have received the last results.
func (agt *Agent) closeConnections(ctx context.Context) {
	lim, cancel := agt.clock.WithTimeout(ctx, flushTimeout)
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

// stopping reports whether Drain has been called.
func (agt *Agent) stopping() bool {
	agt.mu.Lock()
	defer agt.mu.Unlock()
	return agt.draining
}

// inFlight returns the number of attempts without a result, plus those that are being cancelled on the engine, plus the
// non-idempotent calls and records that are not finished. A recorded call whose caller has disconnected continues, but
// is no attempt any more.
func (agt *Agent) inFlight() int {
	unrecorded := 0
	if agt.once != nil {
		unrecorded = agt.once.Unfinished()
	}
	agt.mu.Lock()
	defer agt.mu.Unlock()
	return len(agt.attempts) + len(agt.cancelling) + unrecorded
}
