// Package crash attributes crashes of engines to the request that causes them. It is a pure state machine: equal
// records in equal order give equal results on every process, whatever the local time.
//
// All requests that ran on an engine when it crashed are suspected. Agents run at most one suspect at a time, so a
// suspect that is the only one on an engine that crashes is blocked, and with it both crashes are explained. A suspect
// that finishes is cleared.
package crash

import (
	"cmp"
	"slices"
	"time"

	"github.com/tarragonwheel/tarragonwheel/proto"
)

// Bounds of an Attribution. They are part of the rules: all processes must use the same.
const (
	MaxRunning = 256 // requests of one crash, a few times the batch of an engine
	// maxSuspects covers full batches of several crashes. A full Attribution takes 98 KB of the snapshot, whose
	// limit is 1 MiB.
	maxSuspects = 1024
	maxBlocked  = 256
	maxCrashes  = 128 // crashes kept for recognising a repeated record
	maxUnblocks = 100
)

// Status is the standing of a request in crash attribution.
type Status string

// Statuses of a request.
const (
	StatusFree      Status = "free"
	StatusSuspected Status = "suspect"
	StatusBlocked   Status = "blocked"
)

// Suspicion is why a request is suspected or blocked, and until when.
type Suspicion struct {
	Fingerprint proto.Fingerprint `cbor:"1,keyasint" json:"fingerprint"`
	Crash       string            `cbor:"2,keyasint" json:"crash"`
	Upstream    string            `cbor:"3,keyasint" json:"upstream"` // beside which the last crash was seen
	At          int64             `cbor:"4,keyasint" json:"at"`       // milliseconds since the epoch
	Until       int64             `cbor:"5,keyasint" json:"until"`    // milliseconds since the epoch
	Others      int               `cbor:"6,keyasint" json:"others"`   // other requests on the engine
	Rank        int               `cbor:"7,keyasint" json:"rank"`     // place in the crash, 0 for the last one started
}

// Unblock lifts the suspicion or block of a request by decision of an operator.
type Unblock struct {
	Fingerprint proto.Fingerprint `cbor:"1,keyasint" json:"fingerprint"`
	Operator    string            `cbor:"2,keyasint" json:"operator"`
	At          int64             `cbor:"3,keyasint" json:"at"` // milliseconds since the epoch
	Request     string            `cbor:"4,keyasint" json:"request"`
}

// Attribution holds the suspected and blocked requests. The zero value is empty. It is not safe for concurrent use.
type Attribution struct {
	Suspects map[proto.Fingerprint]Suspicion `cbor:"1,keyasint,omitempty" json:"suspects"`
	Blocked  map[proto.Fingerprint]Suspicion `cbor:"2,keyasint,omitempty" json:"blocked"`
	Crashes  []string                        `cbor:"3,keyasint,omitempty" json:"crashes"`
	Unblocks []Unblock                       `cbor:"4,keyasint,omitempty" json:"unblocks"`
}

// Clone returns an independent copy.
func (bok *Attribution) Clone() Attribution {
	return Attribution{
		Suspects: copyCases(bok.Suspects), Blocked: copyCases(bok.Blocked),
		Crashes: slices.Clone(bok.Crashes), Unblocks: slices.Clone(bok.Unblocks),
	}
}

func copyCases(from map[proto.Fingerprint]Suspicion) map[proto.Fingerprint]Suspicion {
	into := make(map[proto.Fingerprint]Suspicion, len(from))
	for fpr, cas := range from {
		into[fpr] = cas
	}
	return into
}

// Empty tells whether nobody is suspected, blocked or unblocked and no crash is remembered.
func (bok *Attribution) Empty() bool {
	return len(bok.Suspects)+len(bok.Blocked)+len(bok.Crashes)+len(bok.Unblocks) == 0
}

// Status returns the status of a request at a time, and the suspicion that gives the reason.
func (bok *Attribution) Status(fpr proto.Fingerprint, now time.Time) (Status, Suspicion) {
	if cas, ok := bok.Blocked[fpr]; ok && now.UnixMilli() < cas.Until {
		return StatusBlocked, cas
	}
	if cas, ok := bok.Suspects[fpr]; ok && now.UnixMilli() < cas.Until {
		return StatusSuspected, cas
	}
	return StatusFree, Suspicion{}
}

// HasCrash tells whether a crash has been recorded. It is true for an empty ID, which is not valid and never will be
// recorded.
func (bok *Attribution) HasCrash(crash string) bool {
	return crash == "" || slices.Contains(bok.Crashes, crash)
}

// AddCrash records a crash. A repeated record has no effect. Suspicions and blocks that have expired by the time of the
// crash are dropped first, so that the outcome depends on the records alone.
//
// A blocked request among those that ran explains the crash, and nobody is suspected for it. Otherwise the only suspect
// among them is blocked. That explains this crash and the one for which it was suspected, so nobody is suspected for
// either. With several suspects, or none, all that ran are suspects.
func (bok *Attribution) AddCrash(crs proto.Crash) {
	if bok.HasCrash(crs.ID) {
		return
	}
	bok.Crashes = lastOf(append(bok.Crashes, crs.ID), maxCrashes)
	bok.expire(crs.At)
	running := distinct(crs.Running)
	var suspects []Suspicion
	for _, fpr := range running {
		if _, ok := bok.Blocked[fpr]; ok {
			return
		}
		if cas, ok := bok.Suspects[fpr]; ok {
			suspects = append(suspects, cas)
		}
	}
	if len(suspects) == 1 {
		bok.block(suspects[0], crs, len(running)-1)
		return
	}
	for idx, fpr := range running {
		bok.Suspects = put(bok.Suspects, Suspicion{
			Fingerprint: fpr, Crash: crs.ID, Upstream: crs.Upstream, At: crs.At,
			Until: crs.At + crs.SuspectFor.Milliseconds(), Others: len(running) - 1, Rank: idx,
		}, maxSuspects)
	}
}

func (bok *Attribution) block(cas Suspicion, crs proto.Crash, others int) {
	for fpr, other := range bok.Suspects {
		if other.Crash == cas.Crash {
			delete(bok.Suspects, fpr)
		}
	}
	bok.Blocked = put(bok.Blocked, Suspicion{
		Fingerprint: cas.Fingerprint, Crash: crs.ID, Upstream: crs.Upstream, At: crs.At,
		Until: crs.At + crs.BlockFor.Milliseconds(), Others: others,
	}, maxBlocked)
}

// ClearSuspect records that a suspect has finished. It has no effect on a block, or on suspicion of a later crash.
func (bok *Attribution) ClearSuspect(clr proto.Clear) {
	if bok.Suspects[clr.Fingerprint].Crash == clr.Crash {
		delete(bok.Suspects, clr.Fingerprint)
	}
}

// Unblock lifts suspicion and block of a request, and keeps who did so.
func (bok *Attribution) Unblock(unb Unblock) {
	if _, known := bok.Unblocked(unb.Request); known || unb.Request == "" || unb.Operator == "" {
		return
	}
	delete(bok.Suspects, unb.Fingerprint)
	delete(bok.Blocked, unb.Fingerprint)
	bok.Unblocks = lastOf(append(bok.Unblocks, unb), maxUnblocks)
}

// Unblocked returns the unblocking with the given request ID.
func (bok *Attribution) Unblocked(request string) (Unblock, bool) {
	for _, unb := range bok.Unblocks {
		if unb.Request == request {
			return unb, true
		}
	}
	return Unblock{}, false
}

// List returns the suspicions and blocks that have not expired, newest first.
func (bok *Attribution) List(now time.Time) (suspects, blocked []Suspicion) {
	return sorted(bok.Suspects, now), sorted(bok.Blocked, now)
}

func sorted(cases map[proto.Fingerprint]Suspicion, now time.Time) []Suspicion {
	list := make([]Suspicion, 0, len(cases))
	for _, cas := range cases {
		if now.UnixMilli() < cas.Until {
			list = append(list, cas)
		}
	}
	slices.SortFunc(list, func(one, two Suspicion) int {
		return cmp.Or(cmp.Compare(two.At, one.At), cmp.Compare(one.Fingerprint, two.Fingerprint))
	})
	return list
}

func (bok *Attribution) expire(now int64) {
	for _, cases := range []map[proto.Fingerprint]Suspicion{bok.Suspects, bok.Blocked} {
		for fpr, cas := range cases {
			if cas.Until <= now {
				delete(cases, fpr)
			}
		}
	}
}

// put adds a case. Beyond most, the one that expires first is dropped.
func put(cases map[proto.Fingerprint]Suspicion, cas Suspicion, most int) map[proto.Fingerprint]Suspicion {
	if cases == nil {
		cases = make(map[proto.Fingerprint]Suspicion)
	}
	cases[cas.Fingerprint] = cas
	if len(cases) <= most {
		return cases
	}
	first := cas
	for _, other := range cases {
		if cmp.Or(cmp.Compare(other.Until, first.Until), cmp.Compare(other.Fingerprint, first.Fingerprint)) < 0 {
			first = other
		}
	}
	delete(cases, first.Fingerprint)
	return cases
}

// distinct returns the fingerprints without zeros and repetitions, in order, at most MaxRunning of them.
func distinct(list []proto.Fingerprint) []proto.Fingerprint {
	var out []proto.Fingerprint
	for _, fpr := range list {
		if fpr != 0 && !slices.Contains(out, fpr) && len(out) < MaxRunning {
			out = append(out, fpr)
		}
	}
	return out
}

func lastOf[T any](list []T, most int) []T {
	if len(list) <= most {
		return list
	}
	return slices.Clone(list[len(list)-most:])
}
