package cause

import (
	"cmp"
	"encoding/binary"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Numbers of crashes after which calls are blocked.
const (
	// crashesToBlock suffices for a call if nothing else that was not answered since took part in both crashes.
	crashesToBlock = 2
	// crashesToBlockAny suffices for a call even if others took part in the same crashes, and for a part of prompts if
	// different calls had it.
	crashesToBlockAny = 3
	// weakCrashesToBlock suffices for weaker suspects.
	weakCrashesToBlock = 5
)

// Weights of crashes.
const (
	strongWeight = weakCrashesToBlock
	weakWeight   = crashesToBlockAny
	// sufficientWeight is that of enough crashes of either kind.
	sufficientWeight = strongWeight * weakWeight
	// weakSpan is the time within which crashes count once for a weaker suspect. Replicas that are lost together break
	// many answers that had begun.
	weakSpan = 250 * time.Millisecond
)

// culprit is what explains several crashes: a call, or parts that all these calls had in their prompts.
type culprit struct {
	fingerprint uint64   // of the call, or 0
	parts       []uint64 // if it is not a call
	crashes     []*crash
	until       time.Time // until when calls that match are refused
}

// matches reports whether the culprit is the call, whose parts are sorted, or whether the call has all its parts.
func (cul *culprit) matches(cal *Call) bool {
	if len(cul.parts) == 0 {
		return cal.Fingerprint == cul.fingerprint
	}
	return !slices.ContainsFunc(cul.parts, func(part uint64) bool {
		_, ok := slices.BinarySearch(cal.Parts, part)
		return !ok
	})
}

// equal reports whether both culprits match the same calls.
func (cul *culprit) equal(other culprit) bool {
	return cul.fingerprint == other.fingerprint && slices.Equal(cul.parts, other.parts)
}

// explanation is the work of explaining crashes.
type explanation struct {
	crashes  []*crash
	suspects [][]suspect // by crash, without the calls that are no suspects any more
	culprits []culprit
	// hasAdvanced reports whether a feature is a weaker suspect of crashes at the given time.
	hasAdvanced func(feature uint64, crashedAt time.Time) bool
}

// explain returns what explains the crashes best: first parts of prompts, since each of them explains the crashes of
// many calls, then calls. What explains most crashes goes first, weaker suspects of a crash counting less; the calls of
// these crashes that it does not match are then no suspects of them any more.
func explain(crashes []*crash, hasAdvanced func(feature uint64, crashedAt time.Time) bool) []culprit {
	exp := &explanation{crashes: crashes, suspects: make([][]suspect, len(crashes)), hasAdvanced: hasAdvanced}
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
	for _, part := range exp.repeatedFeatures(partsOf, crashesToBlockAny) {
		spn := exp.suspicionOf(part)
		if spn.weight() >= sufficientWeight && haveDifferentCalls(spn.calls) {
			exp.blame(culprit{parts: commonParts(spn.calls)}, &spn, crashesToBlockAny)
		}
	}
}

// blameCalls finds the calls that explain enough crashes.
func (exp *explanation) blameCalls() {
	for _, fpr := range exp.repeatedFeatures(fingerprintOf, crashesToBlock) {
		spn := exp.suspicionOf(fpr)
		if spn.weight() >= sufficientWeight || (spn.strong >= crashesToBlock && !exp.hasRival(&spn)) {
			exp.blame(culprit{fingerprint: fpr}, &spn, crashesToBlock)
		}
	}
}

// blame adds a culprit for the crashes of a suspicion, unless it is known. The given number of crashes suffices for one
// that is not weaker.
func (exp *explanation) blame(cul culprit, spn *suspicion, suffice int) {
	if slices.ContainsFunc(exp.culprits, cul.equal) {
		return
	}
	for _, idx := range spn.indices {
		cul.crashes = append(cul.crashes, exp.crashes[idx])
		exp.suspects[idx] = slices.DeleteFunc(exp.suspects[idx], func(sus suspect) bool {
			return !cul.matches(&sus.Call)
		})
	}
	if spn.strong < suffice {
		suffice = weakCrashesToBlock
	}
	cul.until = blockedUntil(cul.crashes, suffice)
	exp.culprits = append(exp.culprits, cul)
}

// repeatedFeatures returns the features that are suspects of at least the given number of crashes, those with most
// weight first. Of several that always occur together it returns one. The function returns the features of a call that
// are considered.
func (exp *explanation) repeatedFeatures(featuresOf func(cal *Call) []uint64, minCrashes int) []uint64 {
	together := make(map[uint64]uint64) // one feature by the hash of the calls that have it
	for feature, occ := range exp.occurrences(featuresOf) {
		other, ok := together[occ.calls]
		if occ.crashes >= minCrashes && (!ok || feature < other) {
			together[occ.calls] = feature
		}
	}
	weights := make(map[uint64]int)
	for _, feature := range together {
		spn := exp.suspicionOf(feature)
		weights[feature] = spn.weight()
	}
	return slices.SortedFunc(maps.Keys(weights), func(one, two uint64) int {
		return cmp.Or(cmp.Compare(weights[two], weights[one]), cmp.Compare(one, two))
	})
}

// occurrence is where a feature occurs among the suspects.
type occurrence struct {
	crashes   int
	lastCrash int    // index of the last one
	calls     uint64 // hash of the calls that have it
}

// occurrences returns where each feature occurs.
func (exp *explanation) occurrences(featuresOf func(cal *Call) []uint64) map[uint64]occurrence {
	found := make(map[uint64]occurrence)
	for idx, calls := range exp.suspects {
		for num := range calls {
			for _, feature := range featuresOf(&calls[num].Call) {
				occ := found[feature]
				if occ.crashes == 0 || occ.lastCrash != idx {
					occ.crashes, occ.lastCrash = occ.crashes+1, idx
				}
				occ.calls = hashNext(occ.calls, uint64(idx*maxCalls+num))
				found[feature] = occ
			}
		}
	}
	return found
}

// hashNext returns the hash of a sequence of numbers from that of all but the last one.
func hashNext(hash, num uint64) uint64 {
	var buf [16]byte
	binary.LittleEndian.PutUint64(buf[:8], hash)
	binary.LittleEndian.PutUint64(buf[8:], num)
	return xxhash.Sum64(buf[:])
}

// featureSet returns the features of several calls without duplicates.
func featureSet(calls []suspect, featuresOf func(cal *Call) []uint64) map[uint64]bool {
	set := make(map[uint64]bool)
	for idx := range calls {
		for _, feature := range featuresOf(&calls[idx].Call) {
			set[feature] = true
		}
	}
	return set
}

func fingerprintOf(cal *Call) []uint64 { return []uint64{cal.Fingerprint} }

func partsOf(cal *Call) []uint64 { return cal.Parts }

// hasRival reports whether another call, or a part that the call does not have, is a suspect of all crashes of a
// suspicion of one call too, and not a weaker one.
func (exp *explanation) hasRival(spn *suspicion) bool {
	var rivals map[uint64]bool
	for _, idx := range spn.indices {
		set := featureSet(exp.suspects[idx], (*Call).features)
		for feature := range rivals {
			if !set[feature] {
				delete(rivals, feature)
			}
		}
		if rivals == nil {
			rivals = set
		}
	}
	cal := &spn.calls[0].Call
	for feature := range rivals {
		if !slices.Contains(cal.features(), feature) && exp.suspicionOf(feature).strong >= len(spn.indices) {
			return true
		}
	}
	return false
}

// haveDifferentCalls reports whether the calls are not all the same one.
func haveDifferentCalls(calls []suspect) bool {
	return slices.ContainsFunc(calls, func(sus suspect) bool { return sus.Fingerprint != calls[0].Fingerprint })
}

// commonParts returns the parts that all calls have, sorted.
func commonParts(calls []suspect) []uint64 {
	common := slices.Clone(calls[0].Parts)
	for _, sus := range calls[1:] {
		common = slices.DeleteFunc(common, func(part uint64) bool { return !sus.has(part) })
	}
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
	for range max(len(crashes)-suffice, 0) {
		limit = min(2*limit, maxBlockTime)
	}
	return latest.Add(limit)
}
