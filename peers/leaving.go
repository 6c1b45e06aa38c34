package peers

import (
	"time"

	"github.com/tarragonwheel/tarragonwheel/fleet"
)

// Bounds of the notices in a message.
const (
	// leavingNoticeTime is the time for which a notice is part of each full update, since datagrams may be lost.
	leavingNoticeTime    = 3 * fullUpdateInterval
	maxNoticesPerMessage = 40 // so that a datagram fits into one packet
)

// leavingNotice is a fleet.LeavingNotice.
type leavingNotice struct {
	_           struct{} `cbor:",toarray"`
	Replica     uint32
	StartedAtMs int64
	AgeMs       uint32
}

// toLeavingNotices encodes the newest notices, as many as fit into a message.
func toLeavingNotices(list []fleet.LeavingNotice, now time.Time) []leavingNotice {
	list = list[max(len(list)-maxNoticesPerMessage, 0):]
	out := make([]leavingNotice, 0, len(list))
	for _, ntc := range list {
		out = append(out, leavingNotice{
			Replica: ntc.Replica, StartedAtMs: ntc.StartedAtMs, AgeMs: ageMs(now, ntc.At),
		})
	}
	return out
}

// QueueLeaving queues the notice of a replica that it leaves. It is sent with the next changes of tasks, and with full
// updates for some time.
func (exc *Exchange) QueueLeaving(ntc fleet.LeavingNotice) {
	exc.mu.Lock()
	defer exc.mu.Unlock()
	exc.leaving = append(exc.leaving, ntc)
	exc.scheduleChanges()
}

// applyLeaving records the notices that a peer has got from replicas.
func (exc *Exchange) applyLeaving(msg *message) {
	if len(msg.Leaving) == 0 {
		return
	}
	now := exc.opts.Clock.Now()
	list := make([]fleet.LeavingNotice, 0, len(msg.Leaving))
	for _, ntc := range msg.Leaving {
		list = append(list, fleet.LeavingNotice{
			Replica: ntc.Replica, StartedAtMs: ntc.StartedAtMs,
			At: now.Add(-time.Duration(ntc.AgeMs) * time.Millisecond),
		})
	}
	exc.opts.Fleet.ApplyLeavingNotices(list)
}
