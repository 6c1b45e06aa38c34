package state

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/tarragonwheel/tarragonwheel/crash"
	"github.com/tarragonwheel/tarragonwheel/proto"
	"github.com/tarragonwheel/tarragonwheel/timer"
)

const (
	// maxPending bounds the events that wait for the log. Beyond it the oldest are dropped.
	maxPending = 1024
	// maxShared is the number of crashes passed on in each heartbeat while they are not in the log: the newest ones.
	maxShared = 8
)

func (fol *Fold) takeBlame(ent Entry) {
	switch {
	case ent.Crash != nil:
		fol.blame.AddCrash(*ent.Crash)
	case ent.Unblock != nil:
		fol.blame.Unblock(*ent.Unblock)
	default:
		for _, clr := range ent.Clears {
			fol.blame.ClearSuspect(clr)
		}
	}
}

// Blame returns a copy of the suspects and blocked that are in the log.
func (sto *Store) Blame() crash.Attribution {
	sto.mu.RLock()
	defer sto.mu.RUnlock()
	return sto.fold.blame.Clone()
}

// Unblocked returns the unblocking with the given request ID, if it has been read from the log.
func (sto *Store) Unblocked(request string) (crash.Unblock, bool) {
	sto.mu.RLock()
	defer sto.mu.RUnlock()
	return sto.fold.blame.Unblocked(request)
}

// StopPlanned tells whether a planned stop of an upstream is due.
func (sto *Store) StopPlanned(upstream string, now time.Time) bool {
	list, _ := sto.List()
	return slices.ContainsFunc(list, func(nam Named) bool {
		stop := nam.Object.Value.Stop
		return stop != nil && stop.At <= now.Unix() && slices.Contains(stop.Upstreams, upstream)
	})
}

// event is a crash or a clear that this process knows and the log may not have yet.
type event struct {
	at    int64 // milliseconds since the epoch
	crash *proto.Crash
	clear *proto.Clear
	due   time.Time // when this process appends it, unless it is in the log by then
}

// Suspects is what a process holds of requests: the state of the log, and what it has heard that is not in the log
// yet. It is safe for concurrent use.
type Suspects struct {
	store *Store
	clock *timer.Service

	mu      sync.Mutex
	pending []event
	book    crash.Attribution // with the pending events, valid at version
	version int64
	added   chan struct{} // closed and replaced when an event is added
}

// NewSuspects returns the view of a process whose state is sto.
func NewSuspects(sto *Store, clk *timer.Service) *Suspects {
	return &Suspects{store: sto, clock: clk, version: -1, added: make(chan struct{})}
}

// Added returns a channel that is closed when a crash or clear has been added.
func (sus *Suspects) Added() <-chan struct{} {
	sus.mu.Lock()
	defer sus.mu.Unlock()
	return sus.added
}

// Crash takes in a crash that this process saw or heard of. It is to be appended to the log after delay, if no other
// process has done so by then. Crash returns false if it is known already.
func (sus *Suspects) Crash(crs proto.Crash, delay time.Duration) bool {
	sus.mu.Lock()
	defer sus.mu.Unlock()
	sus.settle()
	bok := sus.current()
	if bok.HasCrash(crs.ID) || crs.At+longest(crs) <= sus.clock.Now().UnixMilli() {
		return false
	}
	sus.add(event{at: crs.At, crash: &crs, due: sus.clock.Now().Add(delay)})
	return true
}

// Clear takes in that a suspect has finished.
func (sus *Suspects) Clear(cas crash.Suspicion) {
	sus.mu.Lock()
	defer sus.mu.Unlock()
	now := sus.clock.Now()
	sus.add(event{at: now.UnixMilli(), clear: &proto.Clear{Fingerprint: cas.Fingerprint, Crash: cas.Crash}, due: now})
}

func (sus *Suspects) add(evt event) {
	sus.pending = append(sus.pending, evt)
	slices.SortStableFunc(sus.pending, func(one, two event) int { return cmp.Compare(one.at, two.at) })
	if over := len(sus.pending) - maxPending; over > 0 {
		sus.pending = slices.Clone(sus.pending[over:])
	}
	sus.version = -1
	close(sus.added)
	sus.added = make(chan struct{})
}

// Verdict returns what is held of a request now, and why.
func (sus *Suspects) Verdict(fpr proto.Fingerprint) (crash.Status, crash.Suspicion) {
	if fpr == 0 {
		return crash.StatusFree, crash.Suspicion{}
	}
	now := sus.clock.Now()
	sus.mu.Lock()
	defer sus.mu.Unlock()
	if len(sus.pending) > 0 {
		sus.settle()
	}
	if len(sus.pending) > 0 {
		return sus.current().Status(fpr, now)
	}
	sus.store.mu.RLock()
	defer sus.store.mu.RUnlock()
	return sus.store.fold.blame.Status(fpr, now)
}

// Book returns a copy of all suspects and blocked.
func (sus *Suspects) Book() crash.Attribution {
	sus.mu.Lock()
	defer sus.mu.Unlock()
	sus.settle()
	return sus.current().Clone()
}

// Shared returns the crashes to tell peers of, because the log may not have them yet.
func (sus *Suspects) Shared() []proto.Crash {
	sus.mu.Lock()
	defer sus.mu.Unlock()
	if len(sus.pending) == 0 {
		return nil
	}
	sus.settle()
	var list []proto.Crash
	for _, evt := range sus.pending {
		if evt.crash != nil {
			list = append(list, *evt.crash)
		}
	}
	return list[max(0, len(list)-maxShared):]
}

// Due returns the crashes and clears to append to the log now, and when the next one is due. The zero time means
// that there is none. What was returned is due again after again, if it is not in the log by then.
func (sus *Suspects) Due(again time.Duration) (crashes []proto.Crash, clears []proto.Clear, next time.Time) {
	sus.mu.Lock()
	defer sus.mu.Unlock()
	sus.settle()
	now := sus.clock.Now()
	for idx := range sus.pending {
		evt := &sus.pending[idx]
		if !evt.due.After(now) {
			evt.due = now.Add(again)
			if evt.crash != nil {
				crashes = append(crashes, *evt.crash)
			} else {
				clears = append(clears, *evt.clear)
			}
		}
		if next.IsZero() || evt.due.Before(next) {
			next = evt.due
		}
	}
	return crashes, clears, next
}

// settle drops events that the log has or that no longer matter. The caller holds the lock.
func (sus *Suspects) settle() {
	sus.store.mu.RLock()
	bok := &sus.store.fold.blame
	now := sus.clock.Now().UnixMilli()
	before := len(sus.pending)
	crashes := make(map[string]bool)
	for _, evt := range sus.pending {
		if evt.crash != nil && evt.at+longest(*evt.crash) > now {
			crashes[evt.crash.ID] = !bok.HasCrash(evt.crash.ID)
		}
	}
	sus.pending = slices.DeleteFunc(sus.pending, func(evt event) bool {
		if evt.crash != nil {
			return !crashes[evt.crash.ID]
		}
		return !crashes[evt.clear.Crash] && bok.Suspects[evt.clear.Fingerprint].Crash != evt.clear.Crash
	})
	sus.store.mu.RUnlock()
	if len(sus.pending) != before {
		sus.version = -1
	}
}

// current returns the book with the pending events. The caller holds the lock and changes nothing in the book.
func (sus *Suspects) current() *crash.Attribution {
	sus.store.mu.RLock()
	defer sus.store.mu.RUnlock()
	if version := sus.store.fold.version; sus.version != version {
		sus.version = version
		sus.book = sus.store.fold.blame.Clone()
		for _, evt := range sus.pending {
			if evt.crash != nil {
				sus.book.AddCrash(*evt.crash)
			} else {
				sus.book.ClearSuspect(*evt.clear)
			}
		}
	}
	return &sus.book
}

// longest returns the time, in milliseconds, for which a crash can matter.
func longest(crs proto.Crash) int64 { return max(crs.SuspectFor, crs.BlockFor).Milliseconds() }
