package place

import (
	"math"

	"github.com/tarragonwheel/tarragonwheel/fleet"
)

// queuePenalty is the penalty for each call that must end before a new one gets a slot, in units of call value.
const queuePenalty = 0.3

// OnService places a call on a plain service. It prefers replicas with few failures and many free slots. It returns
// false if there is no replica, and modifies the slice of views.
func OnService(req Request, views []fleet.View) (Placement, bool) {
	views = withoutExcluded(req, views)
	least := math.Inf(1)
	best := -1
	for idx := range views {
		if penalty := servicePenalty(req, &views[idx]); penalty < least {
			best, least = idx, penalty
		}
	}
	if best < 0 {
		return Placement{}, false
	}
	return Placement{Primary: views[best], Value: 1, Penalty: least}, true
}

// servicePenalty returns the penalty for placing a call on a replica of a plain service.
func servicePenalty(req Request, vie *fleet.View) float64 {
	slots := max(vie.Slots, 1)
	penalty := failurePenalty*vie.FailureRate + slotPenalty*float64(vie.Calls())/float64(slots) + req.jitterPenalty()
	if excess := vie.Calls() + 1 - slots; excess > 0 {
		penalty += queuePenalty * float64(excess)
	}
	if vie.DataCentre != req.DataCentre {
		penalty += remotePenalty
	}
	return penalty
}
