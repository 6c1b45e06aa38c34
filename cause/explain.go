package cause

import (
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

// explain returns the calls that explain the crashes best. A call that explains most crashes goes first; the other
// calls of these crashes are then no suspects of them any more.
func explain(crashes []*crash) []culprit {
	suspects := make([][]Call, len(crashes))
	for idx, crs := range crashes {
		suspects[idx] = slices.Clone(crs.calls)
	}
	var culprits []culprit
	blocked := make(map[uint64]bool) // by fingerprint
	for {
		fingerprint, indices := mostFrequentCall(suspects, blocked)
		if len(indices) < crashesToBlock {
			return culprits
		}
		blocked[fingerprint] = true
		if len(indices) < crashesToBlockAny && hasRival(suspects, indices, fingerprint) {
			continue
		}
		cul := culprit{fingerprint: fingerprint}
		for _, idx := range indices {
			cul.crashes = append(cul.crashes, crashes[idx])
			suspects[idx] = slices.DeleteFunc(suspects[idx], func(cal Call) bool { return !cul.matches(cal) })
		}
		cul.until = blockedUntil(cul.crashes, crashesToBlock)
		culprits = append(culprits, cul)
	}
}

// mostFrequentCall returns the call that is a suspect of most crashes and is not to be left out, and the indices of
// these crashes.
func mostFrequentCall(suspects [][]Call, leaveOut map[uint64]bool) (fingerprint uint64, indices []int) {
	byCall := make(map[uint64][]int)
	for idx, calls := range suspects {
		for _, cal := range calls {
			if !leaveOut[cal.Fingerprint] {
				byCall[cal.Fingerprint] = append(byCall[cal.Fingerprint], idx)
			}
		}
	}
	for fpr, list := range byCall {
		if len(list) > len(indices) || (len(list) == len(indices) && fpr < fingerprint) {
			fingerprint, indices = fpr, list
		}
	}
	return fingerprint, indices
}

// hasRival reports whether another call is a suspect of all the given crashes too.
func hasRival(suspects [][]Call, indices []int, fingerprint uint64) bool {
	for _, cal := range suspects[indices[0]] {
		if cal.Fingerprint != fingerprint && isInAll(suspects, indices, cal.Fingerprint) {
			return true
		}
	}
	return false
}

func isInAll(suspects [][]Call, indices []int, fingerprint uint64) bool {
	for _, idx := range indices {
		if !slices.ContainsFunc(suspects[idx], func(cal Call) bool { return cal.Fingerprint == fingerprint }) {
			return false
		}
	}
	return true
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
