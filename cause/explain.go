package cause

import (
	"cmp"
	"slices"
	"time"
)

// Numbers of crashes after which a call is blocked.
const (
	// crashesToBlock suffices if nothing else that was not answered since took part in both crashes.
	crashesToBlock = 2
	// crashesToBlockAny suffices even if other calls took part in the same crashes.
	crashesToBlockAny = 3
)

// culprit is what explains several crashes.
type culprit struct {
	fingerprint uint64
	crashes     []*crash
	until       time.Time // until when calls that match are refused
}

func (cul *culprit) matches(cal Call) bool { return cal.Fingerprint == cul.fingerprint }

// explain returns the calls that explain the crashes best. A call that is a suspect of most crashes goes first; the
// other calls of these crashes are then no suspects of them any more.
func explain(crashes []*crash) []culprit {
	suspects := make([][]Call, len(crashes))
	for idx, crs := range crashes {
		suspects[idx] = slices.Clone(crs.calls)
	}
	var culprits []culprit
	for _, cand := range repeatedCalls(suspects) {
		indices := slices.DeleteFunc(cand.indices, func(idx int) bool { return !hasCall(suspects[idx], cand.fingerprint) })
		if len(indices) < crashesToBlock ||
			(len(indices) < crashesToBlockAny && hasRival(suspects, indices, cand.fingerprint)) {
			continue
		}
		cul := culprit{fingerprint: cand.fingerprint}
		for _, idx := range indices {
			cul.crashes = append(cul.crashes, crashes[idx])
			suspects[idx] = slices.DeleteFunc(suspects[idx], func(cal Call) bool { return !cul.matches(cal) })
		}
		cul.until = blockedUntil(cul.crashes, crashesToBlock)
		culprits = append(culprits, cul)
	}
	return culprits
}

// candidate is a call that is a suspect of several crashes.
type candidate struct {
	fingerprint uint64
	indices     []int // of the crashes
}

// repeatedCalls returns the calls that are suspects of enough crashes to be blocked, those of most crashes first.
func repeatedCalls(suspects [][]Call) []candidate {
	byCall := make(map[uint64][]int)
	for idx, calls := range suspects {
		for _, cal := range calls {
			byCall[cal.Fingerprint] = append(byCall[cal.Fingerprint], idx)
		}
	}
	var list []candidate
	for fpr, indices := range byCall {
		if len(indices) >= crashesToBlock {
			list = append(list, candidate{fingerprint: fpr, indices: indices})
		}
	}
	slices.SortFunc(list, func(one, two candidate) int {
		return cmp.Or(cmp.Compare(len(two.indices), len(one.indices)), cmp.Compare(one.fingerprint, two.fingerprint))
	})
	return list
}

func hasCall(calls []Call, fingerprint uint64) bool {
	return slices.ContainsFunc(calls, func(cal Call) bool { return cal.Fingerprint == fingerprint })
}

// hasRival reports whether another call is a suspect of all the given crashes too.
func hasRival(suspects [][]Call, indices []int, fingerprint uint64) bool {
	return slices.ContainsFunc(suspects[indices[0]], func(cal Call) bool {
		return cal.Fingerprint != fingerprint && !slices.ContainsFunc(indices, func(idx int) bool {
			return !hasCall(suspects[idx], cal.Fingerprint)
		})
	})
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
