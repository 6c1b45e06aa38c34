package cause

import (
	"cmp"
	"slices"
	"time"
)

// Numbers of crashes after which calls are blocked.
const (
	// crashesToBlock suffices for a call if nothing else that was not answered since took part in both crashes.
	crashesToBlock = 2
	// crashesToBlockAny suffices for a call even if others took part in the same crashes.
	crashesToBlockAny = 3
	// crashesToBlockPart suffices for a part of prompts, if different calls had it.
	crashesToBlockPart = 3
)

// culprit is what explains several crashes: a call, or parts that all these calls had in their prompts.
type culprit struct {
	fingerprint uint64   // of the call, or 0
	parts       []uint64 // if it is not a call
	crashes     []*crash
	until       time.Time // until when calls that match are refused
}

// matches reports whether the culprit is the call, or whether the call has all its parts.
func (cul *culprit) matches(cal Call) bool {
	if len(cul.parts) == 0 {
		return cal.Fingerprint == cul.fingerprint
	}
	return !slices.ContainsFunc(cul.parts, func(part uint64) bool { return !slices.Contains(cal.Parts, part) })
}

// equal reports whether both culprits match the same calls.
func (cul *culprit) equal(other culprit) bool {
	return cul.fingerprint == other.fingerprint && slices.Equal(cul.parts, other.parts)
}

// explanation is the work of explaining crashes.
type explanation struct {
	crashes  []*crash
	suspects [][]Call // by crash, without the calls that are no suspects any more
	culprits []culprit
}

// explain returns what explains the crashes best: first parts of prompts, since each of them explains the crashes of
// many calls, then calls. What is a suspect of most crashes goes first; the calls of these crashes that it does not
// match are then no suspects of them any more.
func explain(crashes []*crash) []culprit {
	exp := &explanation{crashes: crashes, suspects: make([][]Call, len(crashes))}
	for idx, crs := range crashes {
		exp.suspects[idx] = slices.Clone(crs.calls)
	}
	exp.blameParts()
	exp.blameCalls()
	return exp.culprits
}

// blameParts finds the parts that explain enough crashes of different calls. Parts that always occur together cannot be
// told apart, so they are refused only together.
func (exp *explanation) blameParts() {
	parts := func(cal Call) []uint64 { return cal.Parts }
	for _, part := range exp.repeatedFeatures(parts, crashesToBlockPart) {
		indices, calls := exp.callsWith(func(cal Call) bool { return slices.Contains(cal.Parts, part) })
		if len(indices) >= crashesToBlockPart && haveDifferentCalls(calls) {
			exp.blame(culprit{parts: commonParts(calls)}, indices, crashesToBlockPart)
		}
	}
}

// blameCalls finds the calls that explain enough crashes.
func (exp *explanation) blameCalls() {
	fingerprint := func(cal Call) []uint64 { return []uint64{cal.Fingerprint} }
	for _, fpr := range exp.repeatedFeatures(fingerprint, crashesToBlock) {
		indices, calls := exp.callsWith(func(cal Call) bool { return cal.Fingerprint == fpr })
		if len(indices) >= crashesToBlockAny || (len(indices) == crashesToBlock && !exp.hasRival(indices, calls[0])) {
			exp.blame(culprit{fingerprint: fpr}, indices, crashesToBlock)
		}
	}
}

// blame adds a culprit for the crashes with the given indices, unless it is known.
func (exp *explanation) blame(cul culprit, indices []int, suffice int) {
	if slices.ContainsFunc(exp.culprits, cul.equal) {
		return
	}
	for _, idx := range indices {
		cul.crashes = append(cul.crashes, exp.crashes[idx])
		exp.suspects[idx] = slices.DeleteFunc(exp.suspects[idx], func(cal Call) bool { return !cul.matches(cal) })
	}
	cul.until = blockedUntil(cul.crashes, suffice)
	exp.culprits = append(exp.culprits, cul)
}

// repeatedFeatures returns the features that are suspects of at least the given number of crashes, those of most
// crashes first. The function returns the features of a call that are considered.
func (exp *explanation) repeatedFeatures(featuresOf func(cal Call) []uint64, minCrashes int) []uint64 {
	counts := make(map[uint64]int)
	for _, calls := range exp.suspects {
		for feature := range featureSet(calls, featuresOf) {
			counts[feature]++
		}
	}
	var list []uint64
	for feature, count := range counts {
		if count >= minCrashes {
			list = append(list, feature)
		}
	}
	slices.SortFunc(list, func(one, two uint64) int {
		return cmp.Or(cmp.Compare(counts[two], counts[one]), cmp.Compare(one, two))
	})
	return list
}

// featureSet returns the features of several calls without duplicates.
func featureSet(calls []Call, featuresOf func(cal Call) []uint64) map[uint64]bool {
	set := make(map[uint64]bool)
	for _, cal := range calls {
		for _, feature := range featuresOf(cal) {
			set[feature] = true
		}
	}
	return set
}

// callsWith returns the suspects that a function accepts, and the indices of their crashes.
func (exp *explanation) callsWith(accept func(cal Call) bool) (indices []int, calls []Call) {
	for idx, suspects := range exp.suspects {
		num := len(calls)
		for _, cal := range suspects {
			if accept(cal) {
				calls = append(calls, cal)
			}
		}
		if len(calls) > num {
			indices = append(indices, idx)
		}
	}
	return indices, calls
}

// hasRival reports whether another call, or a part that the call does not have, is a suspect of all the given crashes
// too.
func (exp *explanation) hasRival(indices []int, cal Call) bool {
	var rivals map[uint64]bool
	for _, idx := range indices {
		set := featureSet(exp.suspects[idx], func(other Call) []uint64 {
			return append([]uint64{other.Fingerprint}, other.Parts...)
		})
		for feature := range rivals {
			if !set[feature] {
				delete(rivals, feature)
			}
		}
		if rivals == nil {
			rivals = set
		}
	}
	delete(rivals, cal.Fingerprint)
	for _, part := range cal.Parts {
		delete(rivals, part)
	}
	return len(rivals) > 0
}

// haveDifferentCalls reports whether the calls are not all the same one.
func haveDifferentCalls(calls []Call) bool {
	return slices.ContainsFunc(calls, func(cal Call) bool { return cal.Fingerprint != calls[0].Fingerprint })
}

// commonParts returns the parts that all calls have.
func commonParts(calls []Call) []uint64 {
	common := slices.Clone(calls[0].Parts)
	for _, cal := range calls[1:] {
		common = slices.DeleteFunc(common, func(part uint64) bool { return !slices.Contains(cal.Parts, part) })
	}
	slices.Sort(common)
	return common
}

// blockedUntil returns until when what explains the given crashes is refused. Each crash beyond those that suffice
// doubles the time after the latest one.
func blockedUntil(crashes []*crash, suffice int) time.Time {
	latest := crashes[0].at
	for _, crs := range crashes {
		if crs.at.After(latest) {
			latest = crs.at
		}
	}
	limit := blockTime
	for range len(crashes) - suffice {
		limit = min(2*limit, maxBlockTime)
	}
	return latest.Add(limit)
}
