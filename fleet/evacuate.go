package fleet

// SetEvacuated replaces the data centres whose replicas get no requests. Calls in flight there run on.
func (flt *Fleet) SetEvacuated(names []string) {
	evacuated := make(map[string]bool, len(names))
	for _, name := range names {
		evacuated[name] = true
	}
	flt.mu.Lock()
	defer flt.mu.Unlock()
	flt.evacuated = evacuated
	for _, set := range flt.replicaSets {
		set.setEvacuated(evacuated)
	}
}

// setEvacuated replaces the evacuated data centres by a set that is not changed any more.
func (set *ReplicaSet) setEvacuated(evacuated map[string]bool) {
	set.mu.Lock()
	defer set.mu.Unlock()
	set.evacuated = evacuated
}

// Evacuated tells whether the replica is in an evacuated data centre.
func (rep *Replica) Evacuated() bool {
	rep.set.mu.Lock()
	defer rep.set.mu.Unlock()
	return rep.evacuatedLocked()
}

// evacuatedLocked tells whether the replica is in an evacuated data centre. The caller holds the lock.
func (rep *Replica) evacuatedLocked() bool { return rep.set.evacuated[rep.reg.DataCentre] }

// TakesQueries tells whether the replica may be asked for its report: in an evacuated data centre only while a call of
// this process runs there.
func (rep *Replica) TakesQueries() bool {
	rep.set.mu.Lock()
	defer rep.set.mu.Unlock()
	return !rep.evacuatedLocked() || len(rep.localTasks) > 0
}
