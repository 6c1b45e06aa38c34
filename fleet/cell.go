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

// Views returns a view of each replica of the service that is not draining.
func (set *ReplicaSet) Views() []View {
	return set.viewsIf(func(string) bool { return true })
}

// CellViews returns a view of each replica that is not draining in the cell of a data centre. It also reports whether
// the service has replicas in other cells.
func (set *ReplicaSet) CellViews(dataCentre string) (list []View, hasMore bool) {
	set.mu.Lock()
	own := set.cellLocked(dataCentre)
	set.mu.Unlock()
	list = set.viewsIf(func(cell string) bool {
		hasMore = hasMore || cell != own
		return cell == own
	})
	return list, hasMore
}

// WiderViews returns a view of each replica in the cell of a data centre and of some in other cells, chosen at random.
// The processes of a cell know those only by summaries. If they all considered all of them, they would choose the same
// few in the time between two summaries.
func (set *ReplicaSet) WiderViews(dataCentre string) []View {
	set.mu.Lock()
	own, total := set.cellLocked(dataCentre), len(set.replicas)
	set.mu.Unlock()
	return set.viewsIf(func(cell string) bool { return cell == own || rand.IntN(total) < elsewhereSample })
}

// elsewhereSample is the number of replicas in other cells, on average, that WiderViews returns.
const elsewhereSample = 16

// viewsIf returns a view of each replica that is not draining and whose cell is accepted by the function.
func (set *ReplicaSet) viewsIf(accept func(cell string) bool) []View {
	set.mu.Lock()
	defer set.mu.Unlock()
	now := set.clock.Now()
	list := make([]View, 0, len(set.replicas))
	for position, rep := range set.replicas {
		if rep.reg.Draining {
			continue
		}
		cell := set.cellLocked(rep.reg.DataCentre)
		if !accept(cell) {
			continue
		}
		vie := rep.view(position, now)
		vie.Cell = cell
		list = append(list, vie)
	}
	return list
}
