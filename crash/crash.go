// Package crash attributes engine crashes to the requests that cause them. It is a deterministic state machine: the
// same records in the same order give the same result on every process, independent of the local clock.
//
// All requests that were running on an engine when it crashed become suspects. An agent runs at most one suspect at a
// time. If an engine crashes while it runs exactly one suspect, that suspect is blocked, and both crashes are
// attributed to it. A suspect that finishes is cleared.
package crash

import (
	"cmp"
	"slices"
	"time"

	"github.com/tarragonwheel/tarragonwheel/proto"
)

// Bounds of an Attribution. All processes must use the same values, because the result depends on them.
const (
	MaxRunning = 256 // requests recorded for one crash, a few times the batch size of an engine
	// maxSuspects is enough for the full batches of several crashes. A full Attribution takes 98 KB of the snapshot,
	// whose limit is 1 MiB.
	maxSuspects = 1024
	maxBlocked  = 256
	maxCrashes  = 128 // crash IDs kept to detect duplicate records
	maxUnblocks = 100
)

// Status tells whether a request is free to run, suspected of crashing engines, or blocked.
type Status string

// Statuses of a request.
const (
	StatusFree      Status = "free"
	StatusSuspected Status = "suspect"
	StatusBlocked   Status = "blocked"
)

// Suspicion records why a request is suspected or blocked, and until when.
type Suspicion struct {
	Fingerprint proto.Fingerprint `cbor:"1,keyasint" json:"fingerprint"`
	Crash       string            `cbor:"2,keyasint" json:"crash"`    // ID of the crash that it is based on
	Upstream    string            `cbor:"3,keyasint" json:"upstream"` // upstream of that crash
	At          int64             `cbor:"4,keyasint" json:"at"`       // milliseconds since the epoch
	Until       int64             `cbor:"5,keyasint" json:"until"`    // milliseconds since the epoch
	Others      int               `cbor:"6,keyasint" json:"others"`   // number of other requests on the engine
	Position    int               `cbor:"7,keyasint" json:"rank"`     // position in the crash, 0 for the last started
}

// Unblock records that an operator lifted the suspicion or block of a request.
type Unblock struct {
	Fingerprint proto.Fingerprint `cbor:"1,keyasint" json:"fingerprint"`
	Operator    string            `cbor:"2,keyasint" json:"operator"`
	At          int64             `cbor:"3,keyasint" json:"at"`      // milliseconds since the epoch
	Request     string            `cbor:"4,keyasint" json:"request"` // ID of the operator's call
}

// Attribution holds the suspected and blocked requests, the IDs of recent crashes and the recent unblockings. The zero
// value is empty. It is not safe for concurrent use.
type Attribution struct {
	Suspects map[proto.Fingerprint]Suspicion `cbor:"1,keyasint,omitempty" json:"suspects"`
	Blocked  map[proto.Fingerprint]Suspicion `cbor:"2,keyasint,omitempty" json:"blocked"`
	Crashes  []string                        `cbor:"3,keyasint,omitempty" json:"crashes"`
	Unblocks []Unblock                       `cbor:"4,keyasint,omitempty" json:"unblocks"`
}

// Clone returns an independent copy.
func (att *Attribution) Clone() Attribution {
	return Attribution{
		Suspects: copySuspicions(att.Suspects), Blocked: copySuspicions(att.Blocked),
		Crashes: slices.Clone(att.Crashes), Unblocks: slices.Clone(att.Unblocks),
	}
}

func copySuspicions(from map[proto.Fingerprint]Suspicion) map[proto.Fingerprint]Suspicion {
	into := make(map[proto.Fingerprint]Suspicion, len(from))
	for fpr, sus := range from {
		into[fpr] = sus
	}
	return into
}

// Empty reports whether the Attribution has no suspects, blocked requests, crashes or unblockings.
func (att *Attribution) Empty() bool {
	return len(att.Suspects)+len(att.Blocked)+len(att.Crashes)+len(att.Unblocks) == 0
}

// Status returns the status of a request at the given time, and the suspicion that is the reason for it.
func (att *Attribution) Status(fpr proto.Fingerprint, now time.Time) (Status, Suspicion) {
	if sus, ok := att.Blocked[fpr]; ok && now.UnixMilli() < sus.Until {
		return StatusBlocked, sus
	}
	if sus, ok := att.Suspects[fpr]; ok && now.UnixMilli() < sus.Until {
		return StatusSuspected, sus
	}
	return StatusFree, Suspicion{}
}

// HasCrash reports whether a crash has been recorded. It is true for the empty ID too, which is invalid and never
// recorded.
func (att *Attribution) HasCrash(crash string) bool {
	return crash == "" || slices.Contains(att.Crashes, crash)
}

// AddCrash records a crash. A duplicate record has no effect. Suspicions and blocks that have expired by the time of
// the crash are removed first, so that the result depends on the records alone.
//
// If a blocked request was running, the crash is attributed to it and no request becomes a suspect. Otherwise, if
// exactly one suspect was running, it is blocked. This crash and the one for which it was suspected are then attributed
// to it, so the other suspects of that crash are cleared. With several suspects or none, all running requests become
// suspects.
func (att *Attribution) AddCrash(crs proto.Crash) {
	if att.HasCrash(crs.ID) {
		return
	}
	att.Crashes = lastItems(append(att.Crashes, crs.ID), maxCrashes)
	att.removeExpired(crs.At)
	running := distinctFingerprints(crs.Running)
	var suspects []Suspicion
	for _, fpr := range running {
		if _, ok := att.Blocked[fpr]; ok {
			return
		}
		if sus, ok := att.Suspects[fpr]; ok {
			suspects = append(suspects, sus)
		}
	}
	if len(suspects) == 1 {
		att.block(suspects[0], crs, len(running)-1)
		return
	}
	for idx, fpr := range running {
		att.Suspects = putSuspicion(att.Suspects, Suspicion{
			Fingerprint: fpr, Crash: crs.ID, Upstream: crs.Upstream, At: crs.At,
			Until: crs.At + crs.SuspectFor.Milliseconds(), Others: len(running) - 1, Position: idx,
		}, maxSuspects)
	}
}

// block blocks a suspect and removes all suspicions of the crash for which it was suspected.
func (att *Attribution) block(sus Suspicion, crs proto.Crash, others int) {
	for fpr, other := range att.Suspects {
		if other.Crash == sus.Crash {
			delete(att.Suspects, fpr)
		}
	}
	att.Blocked = putSuspicion(att.Blocked, Suspicion{
		Fingerprint: sus.Fingerprint, Crash: crs.ID, Upstream: crs.Upstream, At: crs.At,
		Until: crs.At + crs.BlockFor.Milliseconds(), Others: others,
	}, maxBlocked)
}

// ClearSuspect removes the suspicion of a request that has finished. It has no effect on a block, or on a suspicion of
// a later crash.
func (att *Attribution) ClearSuspect(clr proto.Clear) {
	if att.Suspects[clr.Fingerprint].Crash == clr.Crash {
		delete(att.Suspects, clr.Fingerprint)
	}
}

// Unblock lifts the suspicion and the block of a request, and records the operator. A duplicate, or one without
// operator or request ID, has no effect.
func (att *Attribution) Unblock(unb Unblock) {
	if _, done := att.FindUnblock(unb.Request); done || unb.Request == "" || unb.Operator == "" {
		return
	}
	delete(att.Suspects, unb.Fingerprint)
	delete(att.Blocked, unb.Fingerprint)
	att.Unblocks = lastItems(append(att.Unblocks, unb), maxUnblocks)
}

// FindUnblock returns the Unblock with the given request ID.
func (att *Attribution) FindUnblock(request string) (Unblock, bool) {
	for _, unb := range att.Unblocks {
		if unb.Request == request {
			return unb, true
		}
	}
	return Unblock{}, false
}

// List returns the suspicions and blocks that have not expired, latest first.
func (att *Attribution) List(now time.Time) (suspects, blocked []Suspicion) {
	return unexpired(att.Suspects, now), unexpired(att.Blocked, now)
}

// unexpired returns the suspicions whose Until has not passed, latest first.
func unexpired(suspicions map[proto.Fingerprint]Suspicion, now time.Time) []Suspicion {
	list := make([]Suspicion, 0, len(suspicions))
	for _, sus := range suspicions {
		if now.UnixMilli() < sus.Until {
			list = append(list, sus)
		}
	}
	slices.SortFunc(list, func(one, two Suspicion) int {
		return cmp.Or(cmp.Compare(two.At, one.At), cmp.Compare(one.Fingerprint, two.Fingerprint))
	})
	return list
}

func (att *Attribution) removeExpired(now int64) {
	for _, suspicions := range []map[proto.Fingerprint]Suspicion{att.Suspects, att.Blocked} {
		for fpr, sus := range suspicions {
			if sus.Until <= now {
				delete(suspicions, fpr)
			}
		}
	}
}

// putSuspicion adds a suspicion. If there are more than limit, the one that expires first is removed.
func putSuspicion(
	suspicions map[proto.Fingerprint]Suspicion, sus Suspicion, limit int,
) map[proto.Fingerprint]Suspicion {
	if suspicions == nil {
		suspicions = make(map[proto.Fingerprint]Suspicion)
	}
	suspicions[sus.Fingerprint] = sus
	if len(suspicions) <= limit {
		return suspicions
	}
	earliest := sus
	for _, other := range suspicions {
		if cmp.Or(cmp.Compare(other.Until, earliest.Until), cmp.Compare(other.Fingerprint, earliest.Fingerprint)) < 0 {
			earliest = other
		}
	}
	delete(suspicions, earliest.Fingerprint)
	return suspicions
}

// distinctFingerprints returns the fingerprints in order without zeros and duplicates, at most MaxRunning of them.
func distinctFingerprints(list []proto.Fingerprint) []proto.Fingerprint {
	var out []proto.Fingerprint
	for _, fpr := range list {
		if fpr != 0 && !slices.Contains(out, fpr) && len(out) < MaxRunning {
			out = append(out, fpr)
		}
	}
	return out
}

func lastItems[T any](list []T, limit int) []T {
	if len(list) <= limit {
		return list
	}
	return slices.Clone(list[len(list)-limit:])
}
