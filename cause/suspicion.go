package cause

import (
	"slices"
	"time"
)

// suspicion is what speaks for a feature as the cause of crashes.
type suspicion struct {
	indices []int     // of the crashes of which it is a suspect
	calls   []suspect // that have it
	strong  int       // crashes of which it is not a weaker suspect
	weak    []weakCrash
}

// weakCrash is a crash of which a feature is a weaker suspect.
type weakCrash struct {
	at    time.Time
	calls []suspect // that have the feature
}

// suspicionOf returns what speaks for a feature as the cause of the crashes that are not explained yet.
func (exp *explanation) suspicionOf(feature uint64) suspicion {
	var spn suspicion
	for idx, suspects := range exp.suspects {
		num, strong := len(spn.calls), false
		for _, sus := range suspects {
			if sus.has(feature) {
				spn.calls = append(spn.calls, sus)
				strong = strong || !sus.advanced
			}
		}
		if len(spn.calls) == num {
			continue
		}
		at := exp.crashes[idx].at
		spn.indices = append(spn.indices, idx)
		if strong && !isFamily(feature) && !exp.hasAdvanced(feature, at) {
			spn.strong++
		} else {
			spn.weak = append(spn.weak, weakCrash{at: at, calls: spn.calls[num:]})
		}
	}
	return spn
}

// weight returns the weight of all crashes of the suspicion.
func (spn *suspicion) weight() int {
	slices.SortFunc(spn.weak, func(one, two weakCrash) int { return one.at.Compare(two.at) })
	weight := spn.strong * strongWeight
	var counted weakCrash
	for _, wcr := range spn.weak {
		if wcr.at.Sub(counted.at) >= weakSpan || wcr.hasCallOf(&counted) {
			weight += weakWeight
			counted = wcr
		}
	}
	return weight
}

// hasCallOf reports whether a call took part in both crashes. Its second replica was not lost together with the first.
func (wcr *weakCrash) hasCallOf(other *weakCrash) bool {
	return slices.ContainsFunc(wcr.calls, func(sus suspect) bool { return hasCall(other.calls, sus.Fingerprint) })
}
