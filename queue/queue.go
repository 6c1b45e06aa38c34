// Package queue orders the calls that wait at a front while no replica has a free slot.
//
// A call that can still be on time goes before one that cannot, since a late call loses little by more delay. Among
// the first, the one with the most time left goes first, because predictions are too coarse for a call that has hardly
// any left; among the others, the one that has waited longest. So in an overload most calls are on time and some are
// late, instead of all being late.
package queue

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/tarragonwheel/tarragonwheel/timer"
)

// checkInterval is the time after which the next call looks for a free slot, besides each time that a call of this
// process ends. Slots also become free by calls of other processes.
const checkInterval = 25 * time.Millisecond

// Queue holds waiting calls. It is safe for concurrent use.
type Queue struct {
	clock   *timer.Service
	mu      sync.Mutex
	waiting []*waiter // in order of arrival
	ticking bool
}

type waiter struct {
	arrived time.Time
	startBy time.Time // until which it can start and be on time
	turn    chan struct{}
}

// New returns an empty Queue.
func New(clk *timer.Service) *Queue {
	return &Queue{clock: clk}
}

// Wait returns when it is the call's turn to look for a free slot. It returns the cause if ctx ends before. The call
// arrived at the first time and can start until the second one to be on time.
func (que *Queue) Wait(ctx context.Context, arrived, startBy time.Time) error {
	wtr := &waiter{arrived: arrived, startBy: startBy, turn: make(chan struct{})}
	que.mu.Lock()
	que.waiting = append(que.waiting, wtr)
	que.tick()
	que.mu.Unlock()
	select {
	case <-wtr.turn:
		return nil
	case <-ctx.Done():
		que.remove(wtr)
		return fmt.Errorf("queue: %w", context.Cause(ctx))
	}
}

// Len returns the number of waiting calls.
func (que *Queue) Len() int {
	que.mu.Lock()
	defer que.mu.Unlock()
	return len(que.waiting)
}

// Wake gives the turn to the next call, if any waits.
func (que *Queue) Wake() {
	que.mu.Lock()
	defer que.mu.Unlock()
	que.wake()
}

func (que *Queue) wake() {
	if len(que.waiting) == 0 {
		return
	}
	now := que.clock.Now()
	best := 0
	for idx, wtr := range que.waiting {
		if before(wtr, que.waiting[best], now) {
			best = idx
		}
	}
	wtr := que.waiting[best]
	que.waiting = append(que.waiting[:best], que.waiting[best+1:]...)
	close(wtr.turn)
}

// before tells whether one call goes before another.
func before(one, two *waiter, now time.Time) bool {
	onTime, otherOnTime := !one.startBy.Before(now), !two.startBy.Before(now)
	switch {
	case onTime != otherOnTime:
		return onTime
	case onTime:
		return one.startBy.After(two.startBy)
	}
	return one.arrived.Before(two.arrived)
}

// tick wakes calls at intervals while any waits.
func (que *Queue) tick() {
	if que.ticking || len(que.waiting) == 0 {
		return
	}
	que.ticking = true
	que.clock.After(checkInterval, func() {
		que.mu.Lock()
		defer que.mu.Unlock()
		que.ticking = false
		que.wake()
		que.tick()
	})
}

func (que *Queue) remove(gone *waiter) {
	que.mu.Lock()
	defer que.mu.Unlock()
	for idx, wtr := range que.waiting {
		if wtr == gone {
			que.waiting = append(que.waiting[:idx], que.waiting[idx+1:]...)
			return
		}
	}
}
