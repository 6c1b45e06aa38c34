package relay

import (
	"context"
	"time"

	"github.com/tarragonwheel/tarragonwheel/fleet"
	"github.com/tarragonwheel/tarragonwheel/place"
	"github.com/tarragonwheel/tarragonwheel/timer"
)

// A split prompt is overdue when its first event is late by overdueShare of the prediction, and by overdueLeast at
// least. One slow helper holds it up, and a helper without streams of its own shows its slowness in no other way.
const (
	overdueShare = 0.5
	overdueLeast = 300 * time.Millisecond
)

// watchOverdue asks the replicas of a split prompt how fast they are if its first event is overdue.
func (exc *exchange) watchOverdue() *timer.Subscription {
	pln := exc.plan
	if len(pln.Helpers) == 0 {
		return &timer.Subscription{}
	}
	after := pln.FirstEvent + max(time.Duration(float64(pln.FirstEvent)*overdueShare), overdueLeast)
	return exc.ses.opts.Clock.After(after, func() {
		if exc.began.Load() || exc.ctx.Err() != nil {
			return
		}
		exc.ses.opts.Metrics.Event("split-prompt-overdue")
		mem := exc.ses.opts.Reserver
		for _, vie := range views(pln) {
			if vie.Replica.ShouldQueryLatency() {
				go mem.askPace(context.WithoutCancel(exc.ctx), vie.Replica)
			}
		}
	})
}

// views returns the replicas that read a prompt.
func views(pln *place.Placement) []fleet.View {
	list := []fleet.View{pln.Primary}
	for _, hlp := range pln.Helpers {
		list = append(list, hlp.View)
	}
	return list
}

// askPace asks a replica how fast it is. A replica that does not answer keeps its predictions.
func (mem *Reserver) askPace(ctx context.Context, rep *fleet.Replica) {
	lim, cancel := mem.clock.WithTimeout(ctx, orderTimeout)
	defer cancel()
	reg := rep.Registration()
	pace, err := mem.orders.LatencyRatio(lim, reg.Address)
	if err != nil {
		mem.log.Info("relay: replica of an overdue prompt does not report", "replica", reg.ID, "error", err.Error())
		return
	}
	mem.log.Info("relay: replica of an overdue prompt reports", "replica", reg.ID, "pace", pace)
	rep.SetReportedLatencyRatio(pace)
}
