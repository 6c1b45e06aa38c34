package place

import (
	"sync/atomic"

	"github.com/tarragonwheel/tarragonwheel/cost"
	"github.com/tarragonwheel/tarragonwheel/fleet"
)

// Policy places a call on a model engine. It returns false if no replica can take it.
type Policy func(req Request, eng *cost.Engine, views []fleet.View, loads fleet.PrefillLoads) (Placement, bool)

// Names of policies. All but the first are baselines for benchmarks.
const (
	PolicyPredicted         = "predicted"
	PolicyFewestOutstanding = "fewest-outstanding"
	PolicyRoundRobin        = "round-robin"
)

// PolicyFor returns the policy with a name; OnEngine if the name is unknown.
func PolicyFor(name string) Policy {
	switch name {
	case PolicyFewestOutstanding:
		return fewestOutstanding
	case PolicyRoundRobin:
		return roundRobin(new(atomic.Uint64))
	}
	return OnEngine
}

// fewestOutstanding places a call on the replica with the fewest tasks in flight.
func fewestOutstanding(req Request, eng *cost.Engine, views []fleet.View, _ fleet.PrefillLoads) (Placement, bool) {
	best := -1
	views = withoutExcluded(req, views)
	for idx := range views {
		if best < 0 || views[idx].Calls() < views[best].Calls() {
			best = idx
		}
	}
	if best < 0 {
		return Placement{}, false
	}
	return unsplitPlacement(req, eng, views[best]), true
}

// roundRobin returns a policy that takes the replicas in turn.
func roundRobin(turn *atomic.Uint64) Policy {
	return func(req Request, eng *cost.Engine, views []fleet.View, _ fleet.PrefillLoads) (Placement, bool) {
		views = withoutExcluded(req, views)
		if len(views) == 0 {
			return Placement{}, false
		}
		return unsplitPlacement(req, eng, views[turn.Add(1)%uint64(len(views))]), true
	}
}

// unsplitPlacement returns the placement of a whole prompt on one replica.
func unsplitPlacement(req Request, eng *cost.Engine, vie fleet.View) Placement {
	return Placement{Primary: vie, PrefillTime: eng.PrefillTime(req.PromptTokens), Value: Value(req.PromptTokens)}
}
