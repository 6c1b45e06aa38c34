package follow

import (
	"context"
	"time"
)

// minCatchUpInterval limits the rate of calls to which other processes can lead by CatchUp, and by Retry.
const minCatchUpInterval = 300 * time.Millisecond

// CatchUp ends a long poll, or a backoff, and reads at once, because the store is known to hold a newer record.
func (flw *Follower) CatchUp() {
	flw.mu.Lock()
	defer flw.mu.Unlock()
	now := flw.opts.Clock.Now()
	switch {
	case now.Sub(flw.behindSince) < minCatchUpInterval:
	case flw.endLongPoll != nil:
		flw.behind, flw.behindSince = true, now
		flw.endLongPoll()
	case flw.endBackoff != nil:
		flw.behindSince = now
		flw.endBackoff()
	}
}

// Retry ends the backoff after a failed call, because the store is known to answer other processes.
func (flw *Follower) Retry() {
	flw.mu.Lock()
	defer flw.mu.Unlock()
	now := flw.opts.Clock.Now()
	if flw.endBackoff != nil && now.Sub(flw.retriedAt) >= minCatchUpInterval {
		flw.retriedAt = now
		flw.endBackoff()
	}
}

// ReadWithin brings the next read forward, so that it begins no later than the given time from now.
func (flw *Follower) ReadWithin(delay time.Duration) {
	flw.mu.Lock()
	defer flw.mu.Unlock()
	at := flw.opts.Clock.Now().Add(delay)
	if !flw.readAt.After(at) {
		return
	}
	flw.readAt = at
	if flw.endTurn != nil {
		flw.endTurn()
	}
}

// minListInterval is the shortest time from one listing to the next. It bounds the rate of calls if the store, or other
// processes, keep stating different eras.
const minListInterval = 300 * time.Millisecond

// Restored lists the topic again at once if the given era of the store, which another follower or process has seen, is
// newer than that of the listing. The position of the listing is of no use then.
func (flw *Follower) Restored(era int64) {
	flw.mu.Lock()
	defer flw.mu.Unlock()
	flw.hearOfEra(era)
}

// hearOfEra lists the topic again at once if an era is newer than that of the listing and was not heard of before. The
// caller holds the lock.
func (flw *Follower) hearOfEra(era int64) {
	if era <= flw.heardEra || flw.listed && era <= flw.next.Era {
		return
	}
	flw.heardEra = era
	if !flw.listed {
		return // A listing is due anyway.
	}
	flw.opts.Log.Info("follow: the store is known to be in another era, listing again", "topic", flw.opts.Name,
		"era", era, "listed-in-era", flw.next.Era)
	flw.listed, flw.behind = false, true
	for _, end := range []context.CancelFunc{flw.endLongPoll, flw.endBackoff, flw.endTurn} {
		if end != nil {
			end()
		}
	}
}
