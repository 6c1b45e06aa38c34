package follow

import "time"

// Age returns how long ago the store was last known to hold no other records than the follower has. It returns false if
// that is not known, before the first listing and during an outage of the store.
func (flw *Follower) Age() (time.Duration, bool) {
	flw.mu.Lock()
	defer flw.mu.Unlock()
	return flw.opts.Clock.Since(flw.asOf), flw.listed && !flw.inOutage
}
