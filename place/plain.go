package place

import (
	"math"

	"github.com/tarragonwheel/tarragonwheel/fleet"
)

// queueLoss is lost for each call that must be over before a new one gets a slot.
const queueLoss = 0.3

// OnService places a call on a plain service: on the replica with the most free slots that answers well. It
// returns false if there is none.
func OnService(job Request, views []fleet.View) (Placement, bool) {
	views = usable(job, views)
	least := math.Inf(1)
	best := -1
	for idx := range views {
		if loss := plainLoss(job, &views[idx]); loss < least {
			best, least = idx, loss
		}
	}
	if best < 0 {
		return Placement{}, false
	}
	return Placement{Primary: views[best], Value: 1}, true
}

func plainLoss(job Request, vie *fleet.View) float64 {
	slots := max(vie.Slots, 1)
	loss := failLoss*vie.FailureRate + slotLoss*float64(len(vie.Tasks))/float64(slots) + job.jitter()
	if over := len(vie.Tasks) + 1 - slots; over > 0 {
		loss += queueLoss * float64(over)
	}
	if vie.DataCentre != job.DataCentre {
		loss += farLoss
	}
	return loss
}
