package fleet

import "time"

// rivalTime is the time during which registrations that count as older must keep coming before they replace the known
// one. It spans several heartbeats of a replica, and what is delivered late comes at once.
const rivalTime = 3 * time.Second

// rival is the writer of registrations under the ID of a known replica that count as older than the known one. Usually
// they were only delivered late. If they keep coming, with rising sequence numbers, while the known one is not renewed,
// they are those of the live replica, and the known one was written by something else or before its clock was set.
type rival struct {
	startedAtMs int64
	sequence    int64
	since       time.Time // when its first registration came
}

// recordRival records a registration that counts as older than the known one, and reports whether it replaces it. The
// caller holds the lock.
func (flt *Fleet) recordRival(reg *Registration) bool {
	riv, ok := flt.rivals[reg.ID]
	now := flt.clock.Now()
	switch {
	case !ok || riv.startedAtMs != reg.StartedAtMs || reg.Sequence < riv.sequence:
		flt.rivals[reg.ID] = rival{startedAtMs: reg.StartedAtMs, sequence: reg.Sequence, since: now}
		return false
	case reg.Sequence == riv.sequence:
		return false // The same record was read twice.
	}
	riv.sequence = reg.Sequence
	flt.rivals[reg.ID] = riv
	return now.Sub(riv.since) >= rivalTime
}
