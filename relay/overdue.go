package relay

import (
	"context"
	"time"

	"github.com/tarragonwheel/tarragonwheel/fleet"
	"github.com/tarragonwheel/tarragonwheel/place"
	"github.com/tarragonwheel/tarragonwheel/timer"
)

// A split prompt is overdue when its first event is later than predicted by overdueShare of the predicted time, and by
// at least minOverdue. A single slow helper replica delays the whole prompt, and a replica without decoding streams
// shows in no other way that it is slow.
const (
	overdueShare = 0.5
	minOverdue   = 300 * time.Millisecond
)

// queryLatencyIfOverdue queries the latency ratios of the replicas of a split prompt if its first event is overdue.
func (att *attempt) queryLatencyIfOverdue() *timer.Subscription {
	plc := att.placement
	if len(plc.Helpers) == 0 {
		return &timer.Subscription{}
	}
	after := plc.FirstEvent + max(time.Duration(float64(plc.FirstEvent)*overdueShare), minOverdue)
	return att.hdl.opts.Clock.After(after, func() {
		if att.firstEventReceived.Load() || att.ctx.Err() != nil {
			return
		}
		att.hdl.opts.Metrics.CountEvent("split-prompt-overdue")
		rsr := att.hdl.opts.Reserver
		for _, vie := range prefillReplicas(plc) {
			if vie.Replica.ShouldQueryLatency() {
				go rsr.queryLatencyRatio(context.WithoutCancel(att.ctx), vie.Replica)
			}
		}
	})
}

// prefillReplicas returns the replicas that prefill a prompt, the primary replica first.
func prefillReplicas(plc *place.Placement) []fleet.View {
	list := []fleet.View{plc.Primary}
	for _, hlp := range plc.Helpers {
		list = append(list, hlp.View)
	}
	return list
}

// queryLatencyRatio queries the latency ratio of a replica and records it. Nothing changes if the replica does not
// respond.
func (rsr *Reserver) queryLatencyRatio(ctx context.Context, rep *fleet.Replica) {
	if !rep.TakesQueries() {
		return
	}
	callCtx, cancel := rsr.clock.WithTimeout(ctx, replicaAPITimeout)
	defer cancel()
	reg := rep.Registration()
	rpt, err := rsr.api.Report(callCtx, reg.Address)
	if err != nil {
		rsr.log.Info("relay: replica of an overdue prompt does not report", "replica", reg.ID, "error", err.Error())
		return
	}
	rsr.log.Info("relay: replica of an overdue prompt reports", "replica", reg.ID, "latency-ratio", rpt.LatencyRatio)
	rep.SetReportedLatencyRatio(rpt.LatencyRatio)
}
