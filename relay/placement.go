package relay

import (
	"math/rand"
	"slices"
	"time"

	"github.com/tarragonwheel/tarragonwheel/fleet"
	"github.com/tarragonwheel/tarragonwheel/place"
)

// deferInterval is the time after which a better placement is sought for a deferred call.
const deferInterval = 60 * time.Millisecond

// deferPlacement waits until the next attempt to place the call, for which there is the given placement now. It returns
// false if the client disconnects meanwhile.
func (hdl *callHandler) deferPlacement(plc *place.Placement) bool {
	hdl.opts.Metrics.CountEvent("long-prompt-deferred")
	hdl.opts.Metrics.CountDeferral(hdl.labels())
	hdl.deferrals++
	defer hdl.relay.waiting.Enter(hdl.waiter(plc))()
	return hdl.opts.Clock.Sleep(hdl.ctx, deferInterval) == nil
}

// choosePlacement chooses the replicas of the next attempt. If the call cannot be placed, it returns the reason.
func (hdl *callHandler) choosePlacement() (place.Placement, string) {
	left := hdl.deadline.Sub(hdl.opts.Clock.Now())
	if left < minAttemptTime {
		return place.Placement{}, reasonTimeLimit
	}
	if hdl.crashesReplicas() {
		return place.Placement{}, reasonCrashesReplicas
	}
	allowed := hdl.allowedDataCentres()
	plc, ok := hdl.placeInCells(left, allowed)
	hdl.offer = plc
	if !ok {
		return hdl.placeAtLastResort(left, allowed)
	}
	return plc, ""
}

// placeInCells places the call in the cell of this process. If that cell cannot serve it well, all replicas in allowed
// data centres are considered.
func (hdl *callHandler) placeInCells(left time.Duration, allowed fleet.DataCentres) (place.Placement, bool) {
	reps := hdl.opts.Fleet.ReplicaSet(hdl.service)
	views, hasMore := reps.CellViews(hdl.opts.DataCentre, allowed)
	plc, ok := hdl.placeOn(reps, views, left)
	if !hasMore || (ok && !plc.ShouldLookElsewhere()) {
		return plc, ok
	}
	wide, wideOK := hdl.placeOn(reps, reps.WiderViews(hdl.opts.DataCentre, allowed), left)
	if !wideOK || (ok && plc.Penalty <= wide.Penalty) {
		return plc, ok
	}
	hdl.opts.Metrics.CountEvent("placed-in-all-cells")
	if age := wide.Primary.SummaryAge; age > 0 {
		hdl.opts.Metrics.ObserveSummaryAge(age.Seconds())
	}
	return wide, true
}

// placeOn places the call on one or several of the given replicas. The client waits for the given time at most.
func (hdl *callHandler) placeOn(
	reps *fleet.ReplicaSet, views []fleet.View, left time.Duration,
) (place.Placement, bool) {
	req := hdl.placementRequest(left)
	if hdl.triedOnceOnEach(views) {
		req.ExcludeReplicas = hdl.faultyHelpers.list() // All others are equal again.
	}
	srv := hdl.set.Service(hdl.service)
	if srv == nil || srv.Engine == nil {
		return place.OnService(req, views)
	}
	return hdl.opts.Policy(req, srv.Engine, views, reps.PrefillLoads())
}

// triedOnceOnEach tells whether the call was sent exactly once to each of the replicas.
func (hdl *callHandler) triedOnceOnEach(views []fleet.View) bool {
	attempts := make(map[string]int, len(hdl.triedReplicas))
	for _, id := range hdl.triedReplicas {
		attempts[id]++
	}
	return !slices.ContainsFunc(views, func(vie fleet.View) bool { return attempts[vie.ID] != 1 })
}

// placementRequest describes the call to the placement policy. The client waits for the given time at most.
func (hdl *callHandler) placementRequest(left time.Duration) place.Request {
	prm := hdl.cal.Prompt
	req := place.Request{
		Now: hdl.opts.Clock.Now(), PromptTokens: prm.Tokens, OutputTokens: hdl.expectedOutputTokens(),
		GapTarget: hdl.rte.GapTarget, TimeLeft: left,
		DataCentre: hdl.opts.DataCentre, Jitter: rand.Float64,
		ExcludeReplicas: slices.Concat(hdl.triedReplicas, hdl.faultyHelpers.list()),
		PriceFactor:     hdl.askPriceFactor(),
	}
	if hdl.opts.LoadUnknown != nil {
		req.LoadUnknown = hdl.opts.LoadUnknown()
	}
	if hdl.rte.LatencyTarget > 0 {
		req.LatencyTarget = hdl.rte.LatencyTarget - hdl.opts.Clock.Since(hdl.cal.Arrived)
	} else {
		req.LatencyTarget = left
	}
	if hdl.rte.ClientIdleTimeout > 0 {
		req.ClientIdleTimeout = hdl.rte.ClientIdleTimeout - hdl.opts.Clock.Since(hdl.waitingSince())
	}
	return req
}

// expectedOutputTokens predicts the length of the output. The client's estimate is often inaccurate, so it is doubled.
func (hdl *callHandler) expectedOutputTokens() int {
	prm := hdl.cal.Prompt
	if prm.OutputEstimate > 0 {
		return min(prm.MaxOutput, 2*prm.OutputEstimate)
	}
	return prm.MaxOutput
}

// newTask returns the task of the call at the primary replica of a placement.
func (hdl *callHandler) newTask(plc *place.Placement) fleet.Task {
	prm := hdl.cal.Prompt
	return fleet.Task{
		KVTokens: prm.Tokens + hdl.expectedOutputTokens(), PrefillTime: plc.PrefillTime, GapTarget: hdl.rte.GapTarget,
		Value: plc.Value,
		DueAt: hdl.cal.Arrived.Add(hdl.rte.LatencyTarget), TargetMissed: hdl.missedTarget(),
		ExpectedAt: hdl.opts.Clock.Now().Add(plc.FirstEvent), SplitPrompt: len(plc.Helpers) > 0,
	}
}

// logPlacement logs the replicas of a call and the predictions behind their choice.
func (hdl *callHandler) logPlacement(plc *place.Placement) {
	if !hdl.opts.Log.V(1).Enabled() {
		return
	}
	var helpers []string
	for _, hlp := range plc.Helpers {
		helpers = append(helpers, hlp.View.ID)
	}
	vie := &plc.Primary
	hdl.opts.Log.V(1).Info("relay: call placed", "call", hdl.cal.ID, "replica", vie.ID, "helpers", helpers,
		"prompt-tokens", hdl.cal.Prompt.Tokens, "prefill", plc.PrefillTime, "predicted-first-event", plc.FirstEvent,
		"decode-streams", vie.DecodeStreams, "prefill-backlog", vie.PrefillBacklog,
		"parts-backlog", vie.SplitBacklog, "kv-tokens", vie.KVTokens, "calls", vie.Calls(),
		"failure-rate", vie.FailureRate, "summary-age", vie.SummaryAge)
}

// waitingSince returns when the client began to wait for the next event.
func (hdl *callHandler) waitingSince() time.Time {
	if hdl.eventsSent > 0 {
		return hdl.lastEventAt
	}
	return hdl.cal.Arrived
}

// enginePriority returns the priority of a call at the engine, from the latency target of its route. The engine admits
// calls with lower numbers first.
func enginePriority(target time.Duration) int {
	switch {
	case target <= 0:
		return 5
	case target <= 500*time.Millisecond:
		return 2
	case target <= 2*time.Second:
		return 4
	}
	return 6
}
