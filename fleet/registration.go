package fleet

import "time"

// Registration is what a replica says of itself in the platform's store.
type Registration struct {
	ID          string
	Service     string
	Address     string
	DataCentre  string
	Software    string        // version of its software
	Slots       int           // calls that it runs at once
	Draining    bool          // it is about to leave
	WarmUpLeft  time.Duration // remaining warm-up time
	Sequence    int64         // rises with each change within one incarnation
	StartedAtMs int64         // start of the incarnation in milliseconds since the epoch; 0 if it does not say
}

// Newer tells whether reg replaces old, which has the same ID. A replica that starts again under its ID counts anew.
func (reg *Registration) Newer(old *Registration) bool {
	if reg.StartedAtMs != old.StartedAtMs {
		return reg.StartedAtMs > old.StartedAtMs
	}
	return reg.Sequence >= old.Sequence
}
