package fleet

import "time"

// LeavingNotice tells other processes that a replica has said that it leaves.
type LeavingNotice struct {
	Replica     uint32 // hash of the replica's ID
	StartedAtMs int64  // of its incarnation
	At          time.Time
}

// LeavingNotice returns the notice of the replica that it leaves, which it has given to this process.
func (rep *Replica) LeavingNotice() LeavingNotice {
	rep.set.mu.Lock()
	defer rep.set.mu.Unlock()
	return LeavingNotice{Replica: rep.hash, StartedAtMs: rep.reg.StartedAtMs, At: rep.notices.leavingAt}
}

// LeavingNotices returns the notices that replicas have given to this process within the given time.
func (flt *Fleet) LeavingNotices(within time.Duration) []LeavingNotice {
	var list []LeavingNotice
	for _, set := range flt.allReplicaSets() {
		set.mu.Lock()
		now := set.clock.Now()
		for _, rep := range set.replicas {
			if at := rep.notices.leavingAt; !at.IsZero() && now.Sub(at) < within {
				list = append(list, LeavingNotice{Replica: rep.hash, StartedAtMs: rep.reg.StartedAtMs, At: at})
			}
		}
		set.mu.Unlock()
	}
	return list
}

// ApplyLeavingNotices records notices that other processes have got from replicas. Those of other incarnations of a
// replica are ignored.
func (flt *Fleet) ApplyLeavingNotices(list []LeavingNotice) {
	for _, one := range list {
		flt.mu.Lock()
		rep := flt.byHash[one.Replica]
		flt.mu.Unlock()
		if rep == nil || !rep.recordPeerNotice(one) {
			continue
		}
		flt.log.Info("fleet: replica leaves, as a peer reports", "replica", rep.Registration().ID,
			"age", flt.clock.Since(one.At))
	}
}

// recordPeerNotice records a notice that another process has got. It returns whether it is new.
func (rep *Replica) recordPeerNotice(one LeavingNotice) bool {
	rep.set.mu.Lock()
	defer rep.set.mu.Unlock()
	if rep.reg.StartedAtMs != one.StartedAtMs || !rep.notices.peerAt.IsZero() {
		return false
	}
	rep.notices.peerAt = one.At
	return rep.notices.leavingAt.IsZero()
}
