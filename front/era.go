package front

import (
	"context"
	"sync"
)

// storeEra is the newest era of the store in which it has answered this front. It is safe for concurrent use.
type storeEra struct {
	mu       sync.Mutex
	era      int64           // 0 if the store does not state one
	watchers []chan struct{} // each holds a value when the era has risen since its last read
}

func (ser *storeEra) get() int64 {
	ser.mu.Lock()
	defer ser.mu.Unlock()
	return ser.era
}

// set records an era that the store has stated.
func (ser *storeEra) set(era int64) {
	ser.mu.Lock()
	defer ser.mu.Unlock()
	if era <= ser.era {
		return
	}
	ser.era = era
	for _, wat := range ser.watchers {
		select {
		case wat <- struct{}{}:
		default: // A rise that the watcher has not seen yet is signalled already.
		}
	}
}

// watch calls fn with the era each time that it has risen, until ctx ends.
func (ser *storeEra) watch(ctx context.Context, fn func(era int64)) {
	raised := make(chan struct{}, 1)
	ser.mu.Lock()
	ser.watchers = append(ser.watchers, raised)
	if ser.era > 0 {
		raised <- struct{}{}
	}
	ser.mu.Unlock()
	for {
		select {
		case <-raised:
			fn(ser.get())
		case <-ctx.Done():
			return
		}
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
