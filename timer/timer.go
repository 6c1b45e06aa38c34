// Package timer provides the clock and the timers of all components.
//
// Components never call the time package for the current time, delays or deadlines, so that tests can replace the
// system clock by a manual one.
package timer

import (
	"context"
	"fmt"
	"sync"
	"time"
)

// Service returns the current time and runs functions after a delay or at an interval. The zero value is not usable;
// see New and NewManual.
type Service struct {
	now      func() time.Time
	schedule func(delay time.Duration, fn func()) (stop func() bool)
}

// New returns a Service that runs on the system clock.
func New() *Service {
	return &Service{
		now: time.Now,
		schedule: func(delay time.Duration, fn func()) func() bool {
			return time.AfterFunc(delay, fn).Stop
		},
	}
}

// Now returns the current time.
func (svc *Service) Now() time.Time {
	return svc.now()
}

// Since returns the time that has passed since the given instant.
func (svc *Service) Since(start time.Time) time.Duration {
	return svc.now().Sub(start)
}

// Subscription is a scheduled call of a function: a single one (see After) or a repeated one (see Every).
type Subscription struct {
	mu      sync.Mutex
	stopped bool
	stop    func() bool
}

// Stop cancels all future calls. It does not wait for a call that is already running.
func (sub *Subscription) Stop() {
	sub.mu.Lock()
	defer sub.mu.Unlock()
	sub.stopped = true
	if sub.stop != nil {
		sub.stop()
	}
}

// After calls fn once, on its own goroutine, when delay has passed.
func (svc *Service) After(delay time.Duration, fn func()) *Subscription {
	return &Subscription{stop: svc.schedule(delay, fn)}
}

// Every calls fn each time that interval has passed since the last call returned, until the subscription is stopped.
func (svc *Service) Every(interval time.Duration, fn func()) *Subscription {
	sub := &Subscription{}
	var tick func()
	arm := func() {
		sub.mu.Lock()
		defer sub.mu.Unlock()
		if !sub.stopped {
			sub.stop = svc.schedule(interval, tick)
		}
	}
	tick = func() {
		fn()
		arm()
	}
	arm()
	return sub
}

// WithTimeout returns a copy of parent that is cancelled when limit has passed on this service's clock. The cause is
// then context.DeadlineExceeded.
func (svc *Service) WithTimeout(parent context.Context, limit time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(parent)
	sub := svc.After(limit, func() { cancel(context.DeadlineExceeded) })
	return ctx, func() {
		sub.Stop()
		cancel(context.Canceled)
	}
}

// Sleep returns when delay has passed, or when ctx ends. It then returns an error that wraps the cause of ctx.
func (svc *Service) Sleep(ctx context.Context, delay time.Duration) error {
	done := make(chan struct{})
	sub := svc.After(delay, func() { close(done) })
	defer sub.Stop()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return fmt.Errorf("timer: sleep interrupted: %w", context.Cause(ctx))
	}
}
