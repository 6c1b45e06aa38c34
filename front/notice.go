package front

import (
	"math"
	"time"

	"github.com/tarragonwheel/tarragonwheel/call"
	"github.com/tarragonwheel/tarragonwheel/fleet"
)

// recordReplicaNotice records what a replica says of its state in a response to a call of its own interface.
func (frt *Front) recordReplicaNotice(address string, ntc call.Notice) {
	frt.relay.RecordNotice(address, ntc)
}

// sendReplicaLeaving tells the peers that a replica has said that it leaves.
func (frt *Front) sendReplicaLeaving(ntc fleet.LeavingNotice) {
	if frt.peers != nil {
		frt.peers.QueueLeaving(ntc)
	}
}

// sendReplicaCold tells the peers that a replica has said that it is cold.
func (frt *Front) sendReplicaCold(ntc fleet.ColdNotice) {
	if frt.peers != nil {
		frt.peers.QueueCold(ntc)
	}
}

// registrationsAge returns how old the known registrations of replicas may be. While the store does not answer, or
// registrations may still come back after an outage, they may be of any age.
func (frt *Front) registrationsAge() time.Duration {
	select {
	case <-frt.following:
	default:
		return math.MaxInt64
	}
	age, known := frt.replicaFollower.Age()
	if !known || frt.fleet.InGrace() {
		return math.MaxInt64
	}
	return age
}
