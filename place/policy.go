package place

import (
	"sync/atomic"

	"github.com/tarragonwheel/tarragonwheel/cost"
	"github.com/tarragonwheel/tarragonwheel/fleet"
)

// Policy places a call to a model engine. It returns false if no replica can take it.
type Policy func(job Job, eng *cost.Engine, views []fleet.View, longLoad float64) (Plan, bool)

// Names of policies. All but the first are baselines for measurements.
const (
	Predicted         = "predicted"
	FewestOutstanding = "fewest-outstanding"
	RoundRobin        = "round-robin"
)

// PolicyFor returns the policy with a name; Engine if the name is unknown.
func PolicyFor(name string) Policy {
	switch name {
	case FewestOutstanding:
		return fewest
	case RoundRobin:
		return inTurn(new(atomic.Uint64))
	}
	return Engine
}

// fewest takes the replica with the fewest calls.
func fewest(job Job, eng *cost.Engine, views []fleet.View, _ float64) (Plan, bool) {
	best := -1
	views = usable(job, views)
	for idx := range views {
		if best < 0 || len(views[idx].Tasks) < len(views[best].Tasks) {
			best = idx
		}
	}
	if best < 0 {
		return Plan{}, false
	}
	return simple(job, eng, views[best]), true
}

// inTurn takes the replicas one after the other.
func inTurn(turn *atomic.Uint64) Policy {
	return func(job Job, eng *cost.Engine, views []fleet.View, _ float64) (Plan, bool) {
		views = usable(job, views)
		if len(views) == 0 {
			return Plan{}, false
		}
		return simple(job, eng, views[turn.Add(1)%uint64(len(views))]), true
	}
}

// simple is the plan that one replica reads the whole prompt.
func simple(job Job, eng *cost.Engine, vie fleet.View) Plan {
	return Plan{First: vie, Read: eng.Reading(job.Tokens), Value: Value(job.Tokens)}
}
