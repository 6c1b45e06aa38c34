package peers

import (
	"time"

	"github.com/tarragonwheel/tarragonwheel/fleet"
)

// coldReplica is a fleet.ColdNotice.
type coldReplica struct {
	_           struct{} `cbor:",toarray"`
	Replica     uint32
	StartedAtMs int64
	LeftMs      int64
}

// QueueCold queues the notice of a replica that it is cold. It is sent with the next changes of tasks. The registration
// of the replica says the same to those that miss the datagram.
func (exc *Exchange) QueueCold(ntc fleet.ColdNotice) {
	exc.mu.Lock()
	defer exc.mu.Unlock()
	if len(exc.cold) >= maxNoticesPerMessage {
		return
	}
	exc.cold = append(exc.cold, coldReplica{
		Replica: ntc.Replica, StartedAtMs: ntc.StartedAtMs, LeftMs: ntc.Left.Milliseconds(),
	})
	exc.scheduleChanges()
}

// applyCold records the notices that a peer has got from replicas.
func (exc *Exchange) applyCold(msg *message) {
	for _, one := range msg.Cold[:min(len(msg.Cold), maxNoticesPerMessage)] {
		exc.opts.Fleet.ApplyColdNotice(fleet.ColdNotice{
			Replica: one.Replica, StartedAtMs: one.StartedAtMs, Left: min(toDuration(one.LeftMs), time.Minute),
		})
	}
}
