package share

import "sync"

// equalValueRatio is the ratio of the lower to the higher value from which two calls count as equally valuable. The
// value grows with the length of the prompt, so that values are rarely the same.
const equalValueRatio = 0.9

// Waiter is a call that waits for a better placement.
type Waiter struct {
	Service     string
	Value       float64 // of the call
	PriceFactor float64 // of its account
}

// Queue holds the calls of this process that wait for a better placement. It is safe for concurrent use. The zero value
// is an empty Queue.
type Queue struct {
	mu      sync.Mutex
	waiters map[*Waiter]struct{}
}

// Enter adds a waiting call. The returned function removes it.
func (que *Queue) Enter(wtr Waiter) (leave func()) {
	que.mu.Lock()
	defer que.mu.Unlock()
	if que.waiters == nil {
		que.waiters = make(map[*Waiter]struct{})
	}
	que.waiters[&wtr] = struct{}{}
	return func() {
		que.mu.Lock()
		defer que.mu.Unlock()
		delete(que.waiters, &wtr)
	}
}

// ShouldYield tells whether a call of equal value at the same service waits whose account has less recent work.
func (que *Queue) ShouldYield(wtr Waiter) bool {
	que.mu.Lock()
	defer que.mu.Unlock()
	for other := range que.waiters {
		if other.precedes(&wtr) {
			return true
		}
	}
	return false
}

// precedes tells whether the call goes before another one.
func (wtr *Waiter) precedes(other *Waiter) bool {
	isEqual := min(wtr.Value, other.Value) >= equalValueRatio*max(wtr.Value, other.Value)
	return wtr.Service == other.Service && isEqual && wtr.PriceFactor < other.PriceFactor
}
