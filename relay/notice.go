package relay

import (
	"math"
	"math/rand"
	"net/http"
	"slices"
	"time"

	"github.com/tarragonwheel/tarragonwheel/call"
	"github.com/tarragonwheel/tarragonwheel/fleet"
	"github.com/tarragonwheel/tarragonwheel/place"
)

// recordNotice records what the response of a replica to a call says of its state.
func (att *attempt) recordNotice() {
	rpl := &att.reply
	if rpl.Notice.IsZero() {
		return
	}
	vie := &att.placement.Primary
	att.hdl.relay.recordNotice(vie.Replica, rpl.Notice)
	if rpl.Status == http.StatusMisdirectedRequest { // Another replica has answered.
		att.hdl.relay.RecordNotice(vie.Address, rpl.Notice)
	}
}

// RecordNotice records what the replica at an address says of its state.
func (rly *Relay) RecordNotice(address string, ntc call.Notice) {
	for _, rep := range rly.opts.Fleet.AtAddress(address) {
		rly.recordNotice(rep, ntc)
	}
}

func (rly *Relay) recordNotice(rep *fleet.Replica, ntc call.Notice) {
	if ntc.Leaving {
		rly.recordLeaving(rep)
	}
	if ntc.Pause > 0 && rep.RecordPause(ntc.Pause) {
		reg := rep.Registration()
		rly.opts.Metrics.CountEvent("replica-paused")
		rly.opts.Log.Info("relay: replica asks for a pause", "replica", reg.ID, "service", reg.Service,
			"pause", ntc.Pause)
	}
	if ntc.ColdLeft > 0 && rep.RecordCold(ntc.ColdLeft) && rly.opts.OnReplicaCold != nil {
		rly.opts.OnReplicaCold(rep.ColdNotice(ntc.ColdLeft))
	}
}

// recordLeaving records that a replica leaves, closes the idle connections to it and informs the peers.
func (rly *Relay) recordLeaving(rep *fleet.Replica) {
	isNew, isNewToPeers := rep.RecordLeaving()
	if !isNew {
		return
	}
	reg := rep.Registration()
	rly.opts.Pool.CloseIdle(reg.ID)
	rly.opts.Metrics.CountEvent("replica-leaving")
	rly.opts.Log.Info("relay: replica says that it leaves", "replica", reg.ID, "service", reg.Service,
		"registered-as-draining", reg.Draining, "new-to-peers", isNewToPeers)
	if isNewToPeers && rly.opts.OnReplicaLeaving != nil {
		rly.opts.OnReplicaLeaving(rep.LeavingNotice())
	}
}

// placeAtLastResort places the call on replicas that have said that they leave, if all other replicas of the service
// leave, pause, are evacuated or are in a slow start that allows no call now. If the call cannot be placed, it returns
// the reason.
func (hdl *callHandler) placeAtLastResort(left time.Duration, allowed fleet.DataCentres) (place.Placement, string) {
	reps := hdl.opts.Fleet.ReplicaSet(hdl.service)
	sho, isShort := reps.Shortage(allowed)
	if !isShort {
		return place.Placement{}, hdl.noReplicaReason(reps, allowed)
	}
	views := slices.DeleteFunc(reps.LastResortViews(hdl.evidence(), allowed), func(vie fleet.View) bool {
		return slices.Contains(hdl.triedReplicas, vie.ID)
	})
	plc, ok := hdl.placeOn(reps, views, left)
	hdl.opts.Log.Info("relay: no replica takes calls", "call", hdl.cal.ID, "service", hdl.service,
		"evacuated", sho.Evacuated, "leaving", sho.Leaving, "paused", len(sho.Pauses),
		"warming-up", len(sho.WarmingUp), "notice-age", sho.NoticeAge,
		"at-last-resort", len(views), "placed", ok, "replica", plc.Primary.ID)
	switch {
	case ok:
		hdl.opts.Metrics.CountEvent("placed-at-last-resort")
		return plc, ""
	case len(sho.WarmingUp) > 0:
		return place.Placement{}, reasonReplicasWarmingUp
	case len(sho.Pauses) > 0:
		return place.Placement{}, reasonReplicasPause
	case sho.Leaving > 0:
		return place.Placement{}, reasonReplicasLeave
	}
	return place.Placement{}, reasonEvacuated
}

// evidence returns what decides whether a replica that has said that it leaves may get the call.
func (hdl *callHandler) evidence() fleet.Evidence {
	evi := fleet.Evidence{
		ArrivedAt: hdl.cal.Arrived, DrainTime: hdl.opts.DrainTime, RegistrationsAge: math.MaxInt64,
	}
	if hdl.opts.RegistrationsAge != nil {
		evi.RegistrationsAge = hdl.opts.RegistrationsAge()
	}
	return evi
}

// replicaRetryAfter returns the Retry-After time of a call that no replica has taken. If all replicas have asked for a
// pause, it is the time until one of them takes calls again. If they are busy, it follows from the backlog.
func (hdl *callHandler) replicaRetryAfter(reason string) time.Duration {
	if reason == reasonNoReplicaInRegion { // Replicas take seconds to start.
		return withJitter(minOutageRetryAfter, outageRetryAfterJitter)
	}
	sho, isShort := hdl.opts.Fleet.ReplicaSet(hdl.service).Shortage(hdl.allowedDataCentres())
	if !isShort && hdl.offer.BusyFor > 0 {
		return hdl.overloadRetryAfter()
	}
	if !isShort {
		return randomRetryAfter()
	}
	returnsIn, known := sho.CapacityReturnsIn(hdl.longestRetryAfter(), rand.Float64())
	if !known {
		return withJitter(minOutageRetryAfter, outageRetryAfterJitter)
	}
	return withJitter(returnsIn, retryAfterJitter)
}

// retryAfterShare is the divisor of the time that a client has left which gives the longest Retry-After time that it
// waits.
const retryAfterShare = 3

// longestRetryAfter returns the longest Retry-After time that the client waits.
func (hdl *callHandler) longestRetryAfter() time.Duration {
	limit := hdl.cal.TimeLeft
	if limit <= 0 {
		limit = defaultTimeLimit
	}
	return (limit - hdl.opts.Clock.Since(hdl.cal.Arrived)) / retryAfterShare
}
