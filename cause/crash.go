package cause

import (
	"slices"
	"time"
)

// Bounds of the parts that are suspects.
const (
	maxParts      = 2048 // of one call
	maxCrashParts = 16 << 10
	maxTotalParts = 64 << 10 // of all crashes
)

// crash is the end of a replica and the calls that may have caused it.
type crash struct {
	replica uint64
	at      time.Time
	until   time.Time // when it is forgotten
	calls   []suspect
}

// suspect is a call that may have caused a crash. Its parts are sorted.
type suspect struct {
	Call
	advanced bool // its answer had gone beyond the beginning
}

// features returns all that may crash replicas in the call.
func (cal *Call) features() []uint64 { return append([]uint64{cal.Fingerprint}, cal.Parts...) }

// has reports whether a feature is the fingerprint or a part of the call.
func (sus *suspect) has(feature uint64) bool {
	_, ok := slices.BinarySearch(sus.Parts, feature)
	return ok || sus.Fingerprint == feature
}

func hasCall(calls []suspect, fingerprint uint64) bool {
	return slices.ContainsFunc(calls, func(sus suspect) bool { return sus.Fingerprint == fingerprint })
}

// add adds a suspect, or parts of one whose other parts came in another report. It returns false if that changes
// nothing.
func (crs *crash) add(sus *suspect) bool {
	idx := slices.IndexFunc(crs.calls, func(other suspect) bool { return other.Fingerprint == sus.Fingerprint })
	if idx < 0 {
		if len(crs.calls) >= maxCalls {
			return false
		}
		crs.makeRoom(sus)
		crs.calls = append(crs.calls, *sus)
		return true
	}
	known := &crs.calls[idx]
	sus.Parts = slices.DeleteFunc(sus.Parts, known.has)
	sus.Parts = sus.Parts[:min(len(sus.Parts), maxParts-len(known.Parts))]
	crs.makeRoom(sus)
	if len(sus.Parts) == 0 {
		return false
	}
	known.Parts = append(known.Parts, sus.Parts...)
	slices.Sort(known.Parts)
	return true
}

// makeRoom drops parts so that those of a suspect can be added. Weaker suspects lose theirs first.
func (crs *crash) makeRoom(sus *suspect) {
	for idx := range crs.calls {
		if crs.numParts()+len(sus.Parts) <= maxCrashParts {
			return
		}
		if crs.calls[idx].advanced && !sus.advanced {
			crs.calls[idx].Parts = nil
		}
	}
	sus.Parts = sus.Parts[:min(len(sus.Parts), max(maxCrashParts-crs.numParts(), 0))]
}

// numParts returns the number of parts that are suspects.
func (crs *crash) numParts() int {
	num := 0
	for idx := range crs.calls {
		num += len(crs.calls[idx].Parts)
	}
	return num
}

// clear removes the suspicion from a feature. It returns false if there was none.
func (crs *crash) clear(feature uint64) bool {
	num := len(crs.calls)
	crs.calls = slices.DeleteFunc(crs.calls, func(sus suspect) bool { return sus.Fingerprint == feature })
	found := len(crs.calls) < num
	for idx := range crs.calls {
		sus := &crs.calls[idx]
		if pos, ok := slices.BinarySearch(sus.Parts, feature); ok {
			sus.Parts = slices.Delete(sus.Parts, pos, pos+1)
			found = true
		}
	}
	return found
}

// suspects reports whether a feature is a suspect of the crash.
func (crs *crash) suspects(feature uint64) bool {
	return slices.ContainsFunc(crs.calls, func(sus suspect) bool { return sus.has(feature) })
}

// evictCrash removes the crash that would be forgotten first. Those because of which calls are blocked are kept
// longest.
func (trk *Tracker) evictCrash() {
	first := 0
	for idx, crs := range trk.crashes {
		if crs.until.Before(trk.crashes[first].until) {
			first = idx
		}
	}
	trk.crashes = slices.Delete(trk.crashes, first, first+1)
	trk.outdated = true
}

// limitParts removes the crashes that would be forgotten first while there are too many parts.
func (trk *Tracker) limitParts() {
	for trk.numParts() > maxTotalParts {
		trk.evictCrash()
	}
	if len(trk.suspected) > 2*maxTotalParts {
		trk.findSuspected()
	}
}

func (trk *Tracker) numParts() int {
	num := 0
	for _, crs := range trk.crashes {
		num += crs.numParts()
	}
	return num
}
