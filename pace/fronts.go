// Package pace decides how fast a replica that is cold, newly started or recovered gets calls: how many calls a second
// each front may send there, and how many may be in flight until the replica takes as many as any other.
//
// The package has no state of its own beside the values that it returns, no clock and no lock. Callers pass the time
// and guard concurrent use.
package pace

import (
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

// WarmUp is what the operator states of replicas of a service that have just started.
type WarmUp struct {
	Time      time.Duration // for which a replica is cold after it has started during traffic
	PerSecond float64       // calls that a cold replica can handle in a second; 0 if that is not limited
}

// Applies reports whether replicas of the service are started slowly.
func (wrm WarmUp) Applies() bool { return wrm.PerSecond > 0 }

// calls returns the whole calls a second that all fronts together may send. A rate below one call a second counts as
// one, since the replica would never get a call otherwise.
func (wrm WarmUp) calls() int { return max(int(wrm.PerSecond), 1) }

// Fronts is a set of fronts that share the rate limit of each cold replica, as one of them knows it. It is immutable.
type Fronts struct {
	own    uint64
	others []uint64
}

// NewFronts returns the set of the own front and of others, by their addresses. If it has fewer than the given minimum,
// fronts that do not exist take the rest of the shares.
func NewFronts(own string, others []string, minimum int) *Fronts {
	frs := &Fronts{own: xxhash.Sum64String(own), others: make([]uint64, 0, max(len(others), minimum-1))}
	for _, addr := range others {
		frs.others = append(frs.others, xxhash.Sum64String(addr))
	}
	// The name of the own front is part of theirs. Fronts that do not know each other would get the same shares else.
	for num := len(others) + 1; num < minimum; num++ {
		frs.others = append(frs.others, xxhash.Sum64String(own+"\x00"+strconv.Itoa(num)))
	}
	return frs
}

// Size returns the number of fronts, including the own one.
func (frs *Fronts) Size() int { return len(frs.others) + 1 }

// Quota returns how many calls a second the own front may send to a replica, of the given number that all together may
// send. The fronts are ranked by rendezvous hashing, and the calls are dealt out in the order of the ranks. The quotas
// of all fronts with the same set add up to exactly the number. A front that has more fronts in its set never has a
// higher quota, so the sum is not exceeded if each set has all fronts that send calls, and others as well.
func (frs *Fronts) Quota(replica uint64, calls int) int {
	own, rank := score(frs.own, replica), 0
	for _, front := range frs.others {
		if other := score(front, replica); other > own || (other == own && front > frs.own) {
			rank++
		}
	}
	if rank >= calls {
		return 0
	}
	return (calls-1-rank)/frs.Size() + 1
}

// score returns the rendezvous hash of a front and a replica. It is the finalizer of the SplitMix64 generator.
func score(front, replica uint64) uint64 {
	mix := front ^ (replica+1)*0x9e3779b97f4a7c15
	mix = (mix ^ mix>>30) * 0xbf58476d1ce4e5b9
	mix = (mix ^ mix>>27) * 0x94d049bb133111eb
	return mix ^ mix>>31
}
