package fleet

import "time"

// ColdNotice tells other processes that a replica has said that it is cold.
type ColdNotice struct {
	Replica     uint32 // hash of the replica's ID
	StartedAtMs int64  // of its incarnation
	Left        time.Duration
}

// ColdNotice returns the notice that the replica stays cold for the given time.
func (rep *Replica) ColdNotice(left time.Duration) ColdNotice {
	rep.set.mu.Lock()
	defer rep.set.mu.Unlock()
	return ColdNotice{Replica: rep.hash, StartedAtMs: rep.reg.StartedAtMs, Left: left}
}

// ApplyColdNotice records a notice that another process has got from a replica. One of another incarnation is ignored.
func (flt *Fleet) ApplyColdNotice(ntc ColdNotice) {
	flt.mu.Lock()
	rep := flt.byHash[ntc.Replica]
	flt.mu.Unlock()
	if rep == nil {
		return
	}
	rep.set.mu.Lock()
	defer rep.set.mu.Unlock()
	if rep.reg.StartedAtMs == ntc.StartedAtMs {
		rep.markCold(rep.set.clock.Now(), ntc.Left, "peer")
	}
}
