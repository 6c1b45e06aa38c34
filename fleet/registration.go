package fleet

import "time"

// Registration is the record that a replica keeps of itself in the platform's store.
type Registration struct {
	ID          string
	Service     string
	Address     string
	DataCentre  string
	Software    string        // version of its software
	Slots       int           // calls that it runs at once
	Draining    bool          // it takes no new calls and is about to leave
	WarmUpLeft  time.Duration // remaining warm-up time
	Sequence    int64         // increases with each change within one incarnation
	StartedAtMs int64         // start of the incarnation in milliseconds since the epoch; 0 if unknown
}

// Newer tells whether reg replaces old, which has the same ID. Sequence numbers start again with each incarnation, so
// the start of the incarnation is compared first.
func (reg *Registration) Newer(old *Registration) bool {
	if reg.StartedAtMs != old.StartedAtMs {
		return reg.StartedAtMs > old.StartedAtMs
	}
	return reg.Sequence >= old.Sequence
}
