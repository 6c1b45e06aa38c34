package place

import (
	"sync/atomic"

	"github.com/tarragonwheel/tarragonwheel/cost"
	"github.com/tarragonwheel/tarragonwheel/fleet"
)

// Policy places a call on a model engine. It returns false if no replica can take it.
type Policy func(job Request, eng *cost.Engine, views []fleet.View, longLoad float64) (Placement, bool)

// Names of policies. All but the first are baselines for measurements.
const (
	PolicyPredicted         = "predicted"
	PolicyFewestOutstanding = "fewest-outstanding"
	PolicyRoundRobin        = "round-robin"
)

// PolicyFor returns the policy with a name; OnEngine if the name is unknown.
func PolicyFor(name string) Policy {
	switch name {
	case PolicyFewestOutstanding:
		return fewest
	case PolicyRoundRobin:
		return inTurn(new(atomic.Uint64))
	}
	return OnEngine
}

// fewest takes the replica with the fewest calls.
func fewest(job Request, eng *cost.Engine, views []fleet.View, _ float64) (Placement, bool) {
	best := -1
	views = usable(job, views)
	for idx := range views {
		if best < 0 || len(views[idx].Tasks) < len(views[best].Tasks) {
			best = idx
		}
	}
	if best < 0 {
		return Placement{}, false
	}
	return simple(job, eng, views[best]), true
}

// inTurn takes the replicas one after the other.
func inTurn(turn *atomic.Uint64) Policy {
	return func(job Request, eng *cost.Engine, views []fleet.View, _ float64) (Placement, bool) {
		views = usable(job, views)
		if len(views) == 0 {
			return Placement{}, false
		}
		return simple(job, eng, views[turn.Add(1)%uint64(len(views))]), true
	}
}

// simple is the plan that one replica reads the whole prompt.
func simple(job Request, eng *cost.Engine, vie fleet.View) Placement {
	return Placement{Primary: vie, PrefillTime: eng.PrefillTime(job.PromptTokens), Value: Value(job.PromptTokens)}
}
