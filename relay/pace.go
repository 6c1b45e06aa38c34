package relay

import (
	"time"

	"github.com/tarragonwheel/tarragonwheel/fleet"
	"github.com/tarragonwheel/tarragonwheel/pace"
	"github.com/tarragonwheel/tarragonwheel/pool"
)

const (
	// maxWarmUpWait is the longest time that a call waits until the slow start of a replica allows it. A client that is
	// refused instead loses at least the time of its next request.
	maxWarmUpWait = 50 * time.Millisecond
	// maxWarmUpWaits bounds the waits of a call, since others may take what it waits for.
	maxWarmUpWaits = 3
)

// awaitWarmUp waits until the slow start of a replica allows a call of this process, if that is soon. It returns false
// if it is not, or if the client disconnects meanwhile.
func (hdl *callHandler) awaitWarmUp() bool {
	sho, isShort := hdl.opts.Fleet.ReplicaSet(hdl.service).Shortage(hdl.allowedDataCentres())
	if !isShort {
		return false
	}
	next, known := sho.NextWarmUpCall()
	if !known || next > maxWarmUpWait || hdl.warmUpWaits >= maxWarmUpWaits {
		return false
	}
	hdl.warmUpWaits++
	hdl.opts.Metrics.CountEvent("warm-up-awaited")
	return hdl.opts.Clock.Sleep(hdl.ctx, next) == nil
}

// takeCall takes the call from what the slow start of the replica allows, right before it is sent. It closes the
// connection and returns the outcome of the attempt if nothing is left, and nil otherwise.
func (att *attempt) takeCall(con *pool.Conn) *outcome {
	hdl, vie := att.hdl, &att.placement.Primary
	calls, ok := vie.Replica.TakeCall()
	if !ok {
		_ = con.Close() // Nothing was sent on it.
		hdl.opts.Log.Info("relay: slow start of the replica allows no call now", "call", hdl.cal.ID,
			"replica", vie.ID, "since-placed", hdl.opts.Clock.Since(att.placedAt))
		return &outcome{notSent: true, reason: reasonReplicasWarmingUp}
	}
	att.sent = fleet.Sent{At: hdl.opts.Clock.Now(), Calls: calls}
	return nil
}

// recordPace records the first event or the response of the call at a replica in a slow start.
func (att *attempt) recordPace() {
	if att.sent.Calls > 0 {
		att.placement.Primary.Replica.RecordFirstEvent(att.sent, att.isOnTime())
	}
}

// isOnTime reports whether the first event of a stream comes about when it was predicted, or another response within
// the latency target of the route.
func (att *attempt) isOnTime() bool {
	took, rte := att.hdl.opts.Clock.Since(att.sent.At), att.hdl.rte
	if predicted := att.placement.FirstEvent; predicted > 0 && rte.IsStream() {
		return pace.IsOnTime(took, predicted)
	}
	return rte.LatencyTarget <= 0 || took <= rte.LatencyTarget
}

// logCrashAboveLimit logs that a cold replica has crashed that was sent more calls than it can handle, so that its
// crash says nothing about the call.
func (att *attempt) logCrashAboveLimit() {
	att.hdl.opts.Metrics.CountEvent("crash-above-limit")
	att.hdl.opts.Log.Info("relay: crash of a cold replica above its limit is not put down to the call",
		"call", att.hdl.cal.ID, "replica", att.placement.Primary.ID)
}
