package front

import (
	"context"
	"sync/atomic"
)

// storeEra is the newest era of the store in which it has answered this front. It is safe for concurrent use.
type storeEra struct {
	era    atomic.Int64  // 0 if the store does not state one
	raised chan struct{} // holds a value when the era has risen since the last wait
}

func newStoreEra() storeEra { return storeEra{raised: make(chan struct{}, 1)} }

func (ser *storeEra) get() int64 { return ser.era.Load() }

// set records an era that the store has stated.
func (ser *storeEra) set(era int64) {
	for known := ser.era.Load(); era > known; known = ser.era.Load() {
		if ser.era.CompareAndSwap(known, era) {
			select {
			case ser.raised <- struct{}{}:
			default: // A change that nobody has seen yet is signalled already.
			}
			return
		}
	}
}

// wait returns true when the era has risen, or false when ctx ends.
func (ser *storeEra) wait(ctx context.Context) bool {
	select {
	case <-ser.raised:
		return true
	case <-ctx.Done():
		return false
	}
}

// listAgain lists the configuration and the registrations again if they were listed in an earlier era than the given
// one. One connection to the store may be silent for long after another one, or a peer, has shown the new era.
func (frt *Front) listAgain(era int64) {
	select {
	case <-frt.following:
		frt.configFollower.Restored(era)
		frt.replicaFollower.Restored(era)
	default: // The front has just started, and is going to list both.
	}
}
