package route

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Values of the setting entry.policy.
const (
	PolicyPredicted         = "predicted"
	PolicyRoundRobin        = "round-robin"
	PolicyFewestOutstanding = "fewest"
	PolicyBestOfTwo         = "best-of-two"
)

// choose returns one of the usable agents by the configured policy. The list must not be empty.
func (tab *Table) choose(usable []*agentView, qry Query, now time.Time) *agentView {
	switch tab.opts.Policy {
	case PolicyRoundRobin:
		return usable[tab.roundRobinNext.Add(1)%uint64(len(usable))]
	case PolicyFewestOutstanding:
		return lowestBy(sample(usable, len(usable)), (*agentView).outstandingCalls)
	case PolicyBestOfTwo:
		return lowestBy(sample(usable, 2), (*agentView).outstandingCalls)
	default:
		free, busy := partition(usable, func(vie *agentView) bool { return !vie.hasLongPrefill() })
		list := tab.candidates(free, busy, qry)
		return lowestBy(list, func(vie *agentView) time.Duration {
			return vie.predictFirstToken(now, qry, tab.opts) + vie.interferencePenalty(qry, len(free)) +
				vie.latenessPenalty(now, qry)
		})
	}
}

// candidates returns the agents to compare: a random sample of those without a long prompt to prefill (free), one of
// those with a long prompt (busy), and the agent that probably has the longest prefix of the prompt cached. A sample of
// all agents together would often include no free one.
func (tab *Table) candidates(free, busy []*agentView, qry Query) []*agentView {
	list := slices.Concat(sample(free, candidateCount), sample(busy, candidateCount))
	if len(list) == len(free)+len(busy) || len(qry.PrefixHash) == 0 {
		return list
	}
	best, most := (*agentView)(nil), 0
	for _, vie := range slices.Concat(free, busy) {
		vie.lock.Lock()
		num := vie.prefixes.cached(qry.PrefixHash)
		vie.lock.Unlock()
		if num > most {
			best, most = vie, num
		}
	}
	if best != nil {
		list = append(list, best)
	}
	return list
}

// partition divides a list by a condition and keeps the order.
func partition(list []*agentView, cond func(vie *agentView) bool) (yes, no []*agentView) {
	for _, vie := range list {
		if cond(vie) {
			yes = append(yes, vie)
		} else {
			no = append(no, vie)
		}
	}
	return yes, no
}

// lowestBy returns the agent with the lowest value, the first of several. The list must not be empty.
func lowestBy[T int | time.Duration](list []*agentView, value func(vie *agentView) T) *agentView {
	best := list[0]
	least := value(best)
	for _, vie := range list[1:] {
		if val := value(vie); val < least {
			best, least = vie, val
		}
	}
	return best
}

// pickSticky chooses by rendezvous hashing of qry.Sticky over all agents of the target, so that a retry reaches the
// agent that has the first attempt. It skips only agents that are not usable.
func (tab *Table) pickSticky(list []*agentView, qry Query, now time.Time) *Placement {
	tried := make(map[*agentView]bool)
	for len(tried) < len(list) {
		var best *agentView
		var most uint64
		for _, vie := range list {
			if tried[vie] {
				continue
			}
			if sum := xxhash.Sum64String(qry.Sticky + "\x00" + vie.peer.Name); best == nil || sum > most {
				best, most = vie, sum
			}
		}
		tried[best] = true
		if plc := best.placeCall(tab, qry, now); plc != nil {
			return plc
		}
	}
	return nil
}

// pickStickyUnlessAvoided chooses as pickSticky does, by the hash of qry.StickyUnlessAvoided. It skips the agents of
// qry.AvoidAgents unless no other agent is usable.
func (tab *Table) pickStickyUnlessAvoided(list []*agentView, qry Query, now time.Time) *Placement {
	qry.Sticky = qry.StickyUnlessAvoided
	rest := slices.DeleteFunc(slices.Clone(list), func(vie *agentView) bool {
		return slices.Contains(qry.AvoidAgents, vie.peer.Name)
	})
	if plc := tab.pickSticky(rest, qry, now); plc != nil {
		return plc
	}
	return tab.pickSticky(list, qry, now)
}

// pickPreferred places the call on the agent qry.Prefer. It returns nil if there is no preference, or if the agent is
// to be avoided or not usable.
func (tab *Table) pickPreferred(list []*agentView, qry Query, now time.Time) *Placement {
	if qry.Prefer == "" || slices.Contains(qry.AvoidAgents, qry.Prefer) {
		return nil
	}
	for _, vie := range list {
		if vie.peer.Name == qry.Prefer {
			return vie.placeCall(tab, qry, now)
		}
	}
	return nil
}
