package fleet

import "math/rand/v2"

// A cell is the part of a service's replicas that a process places calls on first. Only processes that share a cell
// inform one another of every task there, so that the exchange of load does not grow with the whole fleet. A data
// centre with enough replicas of the service is a cell, named after it. The replicas in all other data centres form the
// common cell.

// commonCell is the name of the cell of replicas in data centres that are too small for a cell of their own.
const commonCell = ""

// minCellReplicas is the number of replicas of a service from which a data centre is a cell. A long prompt, which is
// split over up to 16 of them, then leaves some to others.
const minCellReplicas = 24

// PrefillLoads holds the prefill time of long prompts that arrives at each cell, in seconds per second.
type PrefillLoads map[string]float64

// cellLocked returns the cell of a data centre. The caller holds the lock.
func (set *ReplicaSet) cellLocked(dataCentre string) string {
	if set.perDataCentre[dataCentre] >= minCellReplicas {
		return dataCentre
	}
	return commonCell
}

// PrefillLoads returns the prefill time of long prompts that arrives at each cell of the service.
func (set *ReplicaSet) PrefillLoads() PrefillLoads {
	set.mu.Lock()
	defer set.mu.Unlock()
	loads := make(PrefillLoads)
	now := set.clock.Now()
	for dataCentre, dem := range set.demand {
		loads[set.cellLocked(dataCentre)] += dem.rate(now)
	}
	return loads
}

// IsCell reports whether a data centre is a cell of at least one service.
func (flt *Fleet) IsCell(dataCentre string) bool {
	for _, set := range flt.allReplicaSets() {
		set.mu.Lock()
		cell := set.cellLocked(dataCentre)
		set.mu.Unlock()
		if cell != commonCell {
			return true
		}
	}
	return false
}

// Views returns a view of each replica of the service that takes calls.
func (set *ReplicaSet) Views() []View {
	now := set.clock.Now()
	return set.viewsIf(func(_ string, rep *Replica) bool { return rep.takesCalls(now) })
}

// CellViews returns a view of each replica that takes calls in the cell of a data centre and in one of the allowed data
// centres. It also reports whether the service has replicas in other cells that are in allowed ones.
func (set *ReplicaSet) CellViews(dataCentre string, allowed DataCentres) (list []View, hasMore bool) {
	set.mu.Lock()
	own := set.cellLocked(dataCentre)
	set.mu.Unlock()
	now := set.clock.Now()
	list = set.viewsIf(func(cell string, rep *Replica) bool {
		if !allowed.has(rep.reg.DataCentre) {
			return false
		}
		hasMore = hasMore || cell != own
		return cell == own && rep.takesCalls(now)
	})
	return list, hasMore
}

// WiderViews returns a view of each replica that takes calls in the cell of a data centre and of some in other cells,
// chosen at random, all of them in allowed data centres.
// The processes of a cell know those only by summaries. If they all considered all of them, they would choose the same
// few in the time between two summaries. Replicas elsewhere whose load is not known are left out, unless there are no
// others.
func (set *ReplicaSet) WiderViews(dataCentre string, allowed DataCentres) []View {
	set.mu.Lock()
	own := set.cellLocked(dataCentre)
	chosen := set.sampleElsewhereLocked(own, allowed)
	set.mu.Unlock()
	now := set.clock.Now()
	return set.viewsIf(func(cell string, rep *Replica) bool {
		return (cell == own || chosen[rep]) && allowed.has(rep.reg.DataCentre) && rep.takesCalls(now)
	})
}

// sampleElsewhereLocked returns some replicas in allowed data centres outside a cell, chosen at random. The caller
// holds the lock.
func (set *ReplicaSet) sampleElsewhereLocked(own string, allowed DataCentres) map[*Replica]bool {
	now := set.clock.Now()
	var known, unknown []*Replica
	for _, rep := range set.replicas {
		switch cell := set.cellLocked(rep.reg.DataCentre); {
		case !allowed.has(rep.reg.DataCentre):
		case cell == own || rep.reg.Draining || !rep.takesCalls(now):
		case cell == commonCell || rep.summary.fresh(now):
			known = append(known, rep)
		default:
			unknown = append(unknown, rep)
		}
	}
	if len(known) == 0 {
		known = unknown
	}
	rand.Shuffle(len(known), func(one, two int) { known[one], known[two] = known[two], known[one] })
	chosen := make(map[*Replica]bool, elsewhereSample)
	for _, rep := range known[:min(len(known), elsewhereSample)] {
		chosen[rep] = true
	}
	return chosen
}

// elsewhereSample is the number of replicas in other cells that WiderViews returns at most.
const elsewhereSample = 16

// viewsIf returns a view of each replica that is not draining and that the function accepts.
func (set *ReplicaSet) viewsIf(accept func(cell string, rep *Replica) bool) []View {
	set.mu.Lock()
	defer set.mu.Unlock()
	now := set.clock.Now()
	list := make([]View, 0, len(set.replicas))
	for position, rep := range set.replicas {
		if rep.reg.Draining {
			continue
		}
		cell := set.cellLocked(rep.reg.DataCentre)
		if !accept(cell, rep) {
			continue
		}
		vie := rep.view(position, now)
		vie.Cell = cell
		list = append(list, vie)
	}
	return list
}
