package route

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Values of entry.policy.
const (
	PolicyPredicted  = "predicted"
	PolicyRoundRobin = "round-robin"
	PolicyFewest     = "fewest"
	PolicyBestOfTwo  = "best-of-two"
)

// choose returns one of the usable agents, of which there is at least one.
func (tab *Table) choose(usable []*view, qry Query, now time.Time) *view {
	switch tab.opts.Policy {
	case PolicyRoundRobin:
		return usable[tab.turn.Add(1)%uint64(len(usable))]
	case PolicyFewest:
		return lowest(sample(usable, len(usable)), (*view).fewest)
	case PolicyBestOfTwo:
		return lowest(sample(usable, 2), (*view).fewest)
	default:
		calm, busy := split(usable, func(vie *view) bool { return !vie.prefillsLong() })
		list := tab.candidates(calm, busy, qry)
		return lowest(list, func(vie *view) time.Duration {
			return vie.predict(now, qry, tab.opts) + vie.claim(qry, len(calm)) + vie.lateness(now, qry)
		})
	}
}

// candidates returns random agents of both kinds, those without and those with a long prompt to prefill, since a few
// random ones of all often include none without. Also, they include the agent that probably has most of the prompt
// cached.
func (tab *Table) candidates(calm, busy []*view, qry Query) []*view {
	list := slices.Concat(sample(calm, candidateCount), sample(busy, candidateCount))
	if len(list) == len(calm)+len(busy) || len(qry.PrefixHash) == 0 {
		return list
	}
	best, most := (*view)(nil), 0
	for _, vie := range slices.Concat(calm, busy) {
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

// split divides a list by a condition and keeps the order.
func split(list []*view, cond func(vie *view) bool) (yes, no []*view) {
	for _, vie := range list {
		if cond(vie) {
			yes = append(yes, vie)
		} else {
			no = append(no, vie)
		}
	}
	return yes, no
}

func lowest[T int | time.Duration](list []*view, value func(vie *view) T) *view {
	best := list[0]
	least := value(best)
	for _, vie := range list[1:] {
		if val := value(vie); val < least {
			best, least = vie, val
		}
	}
	return best
}

// sticky chooses by rendezvous hashing over all agents of the target, so that a repeated call meets the agent that
// knows the first one. Only an agent that can be given no work is passed over.
func (tab *Table) sticky(list []*view, qry Query, now time.Time) *Placement {
	tried := make(map[*view]bool)
	for len(tried) < len(list) {
		var best *view
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
		if plc := best.place(tab, qry, now); plc != nil {
			return plc
		}
	}
	return nil
}

// home chooses as sticky does, and passes over agents that are to be avoided as long as another one can be given work.
func (tab *Table) home(list []*view, qry Query, now time.Time) *Placement {
	qry.Sticky = qry.Home
	rest := slices.DeleteFunc(slices.Clone(list), func(vie *view) bool {
		return slices.Contains(qry.Avoid, vie.peer.Name)
	})
	if plc := tab.sticky(rest, qry, now); plc != nil {
		return plc
	}
	return tab.sticky(list, qry, now)
}

// preferred returns nil if the preferred agent cannot be given work.
func (tab *Table) preferred(list []*view, qry Query, now time.Time) *Placement {
	if qry.Prefer == "" || slices.Contains(qry.Avoid, qry.Prefer) {
		return nil
	}
	for _, vie := range list {
		if vie.peer.Name == qry.Prefer {
			return vie.place(tab, qry, now)
		}
	}
	return nil
}
