package timer

import (
	"sort"
	"sync"
	"time"
)

// Manual is a clock that moves only when Advance is called. Tests use it to run time-dependent code without waiting.
type Manual struct {
	mu      sync.Mutex
	now     time.Time
	pending []*scheduledCall
}

type scheduledCall struct {
	due time.Time
	fn  func()
}

// NewManual returns a Service on a manual clock that starts at the given instant, and the clock itself.
func NewManual(start time.Time) (*Service, *Manual) {
	man := &Manual{now: start}
	return &Service{now: man.current, schedule: man.schedule}, man
}

// Advance moves the clock forward and runs each function that falls due, in order of time, on the calling goroutine.
func (man *Manual) Advance(step time.Duration) {
	man.mu.Lock()
	end := man.now.Add(step)
	man.mu.Unlock()
	for {
		fn := man.nextDue(end)
		if fn == nil {
			return
		}
		fn()
	}
}

// nextDue removes and returns the function that is due next, and sets the clock to its time. If none is due until end,
// it sets the clock to end and returns nil.
func (man *Manual) nextDue(end time.Time) func() {
	man.mu.Lock()
	defer man.mu.Unlock()
	sort.SliceStable(man.pending, func(i, j int) bool { return man.pending[i].due.Before(man.pending[j].due) })
	if len(man.pending) == 0 || man.pending[0].due.After(end) {
		man.now = end
		return nil
	}
	cal := man.pending[0]
	man.pending = man.pending[1:]

	if cal.due.After(man.now) {
		man.now = cal.due
	}
	return cal.fn
}

func (man *Manual) current() time.Time {
	man.mu.Lock()
	defer man.mu.Unlock()
	return man.now
}

func (man *Manual) schedule(delay time.Duration, fn func()) func() bool {
	man.mu.Lock()
	defer man.mu.Unlock()
	cal := &scheduledCall{due: man.now.Add(delay), fn: fn}
	man.pending = append(man.pending, cal)
	return func() bool { return man.remove(cal) }
}

func (man *Manual) remove(cal *scheduledCall) bool {
	man.mu.Lock()
	defer man.mu.Unlock()
	for idx, other := range man.pending {
		if other == cal {
			man.pending = append(man.pending[:idx], man.pending[idx+1:]...)
			return true
		}
	}
	return false
}
