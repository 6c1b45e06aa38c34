package soak

import "time"

// Times of a restore of the store.
const (
	rewriteDelay     = 700 * time.Millisecond // until the operator and the replicas write again what was lost
	restorePhaseTime = 5 * time.Second
	maxCopyAge       = 6 * time.Second
)

// restoreStore takes the store down for the given time, brings it back from an older copy, and writes again what the
// operator and the replicas had written.
func (sok *Soak) restoreStore(dur time.Duration) {
	copied := time.Now().Add(-time.Duration(sok.rnd.Int64N(int64(maxCopyAge))))
	sok.store.SetDown(true)
	time.AfterFunc(dur, func() {
		sok.chk.recordRestore()
		sok.store.Restore(copied)
		sok.store.SetDown(false)
		time.AfterFunc(rewriteDelay, func() {
			sok.store.Rewrite()
			sok.store.PutNote("restored") // Offsets of before the restore are given to other records.
		})
	})
}

// runRestorePhase restores the store from a copy of before planned changes: a new configuration, a replica that drains,
// and one whose registration is removed without a drain. All fronts run on, so that none may go back.
func (sok *Soak) runRestorePhase() {
	time.Sleep(time.Second) // until a front that was stopped in the planned phase runs again
	copied := time.Now()
	end := copied.Add(restorePhaseTime)
	sok.publishConfig()
	sok.drainReplica()
	sok.removeReplica()
	time.Sleep(time.Duration(300+sok.rnd.IntN(3000)) * time.Millisecond)
	sok.store.Restore(copied)
	time.AfterFunc(rewriteDelay, sok.store.Rewrite)
	time.Sleep(time.Until(end))
}

// removeReplica removes the registration of a replica, which goes on serving for some time.
func (sok *Soak) removeReplica() {
	rep := sok.replaceReplica()
	sok.store.RemoveReplica(rep.id)
	sok.chk.mu.Lock()
	sok.chk.removedSince[rep.id] = time.Now()
	sok.chk.mu.Unlock()
	time.AfterFunc(2*drainTime, rep.server.Stop)
}

// recordRestore records that the store is restored now.
func (chk *checker) recordRestore() {
	now := time.Now()
	chk.mu.Lock()
	defer chk.mu.Unlock()
	chk.restoreGaps = append(chk.restoreGaps, interval{now, now.Add(rewriteDelay)})
}
