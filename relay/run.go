package relay

import (
	"context"
	"time"
)

// slowLatencyRatio is the reported latency ratio from which missing events are put down to a slow replica.
const slowLatencyRatio = 2.0

// Report is what a replica says of itself.
type Report struct {
	LatencyRatio float64 // observed over expected time; above 1 the replica is slow
	Running      int     // calls in progress
	Queued       int     // calls that wait for a slot
}

// runState is what is known of the run of a silent stream.
type runState string

const (
	runDelayed runState = "delayed" // the load or the speed of the replica excuses the silence
	runUnknown runState = "unknown" // the replica may be silent for a while, or cut off
	runLost    runState = "lost"    // the replica reports that it runs no call at all, so no event can follow
)

// queryRun asks the replica of a silent stream how it is.
func (att *attempt) queryRun(silent time.Duration) runState {
	hdl, rep := att.hdl, att.placement.Primary.Replica
	hdl.opts.Metrics.CountEvent("stream-examined")
	if !rep.TakesQueries() {
		return runUnknown
	}
	ctx, cancel := hdl.opts.Clock.WithTimeout(context.WithoutCancel(att.ctx), replicaAPITimeout)
	defer cancel()
	rpt, err := hdl.opts.Reserver.api.Report(ctx, rep.Registration().Address)
	longPrefill := rep.HadLongPrefill(silent + newStallTimes(hdl.rte.ClientIdleTimeout).examine)
	state := runUnknown
	switch {
	case err != nil:
	case rpt.Running+rpt.Queued == 0:
		state = runLost
	default:
		rep.SetReportedLatencyRatio(rpt.LatencyRatio)
		if rpt.LatencyRatio >= slowLatencyRatio || rpt.Queued > 0 || longPrefill {
			state = runDelayed
		}
	}
	hdl.opts.Log.Info("relay: stream without events", "call", hdl.cal.ID, "replica", att.placement.Primary.ID,
		"silent", silent, "reported", err == nil, "running", rpt.Running,
		"queued", rpt.Queued, "latency-ratio", rpt.LatencyRatio, "long-prefill", longPrefill, "run", state)
	return state
}
