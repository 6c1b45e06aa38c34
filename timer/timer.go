// Package timer provides the time service that every component subscribes to.
//
// Components never call the time package for the current time, delays or deadlines, so that tests can replace the
// clock by a manual one.
package timer

import (
	"context"
	"fmt"
	"sync"
	"time"
)

// Service tells the time and calls its subscribers when their time has come. The zero value is not usable; see New
// and NewManual.
type Service struct {
	now   func() time.Time
	after func(delay time.Duration, fn func()) (stop func() bool)
}

// New returns a Service that runs on the system clock.
func New() *Service {
	return &Service{
		now: time.Now,
		after: func(delay time.Duration, fn func()) func() bool {
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

// Subscription is a pending or repeating call of a subscriber's function.
type Subscription struct {
	mu      sync.Mutex
	stopped bool
	stop    func() bool
}

// Stop cancels future calls. A call that is already running is not waited for.
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
	return &Subscription{stop: svc.after(delay, fn)}
}

// Every calls fn each time that interval has passed since the last call returned, until the subscription is stopped.
func (svc *Service) Every(interval time.Duration, fn func()) *Subscription {
	sub := &Subscription{}
	var tick func()
	arm := func() {
		sub.mu.Lock()
		defer sub.mu.Unlock()
		if !sub.stopped {
			sub.stop = svc.after(interval, tick)
		}
	}
	tick = func() {
		fn()
		arm()
	}
	arm()
	return sub
}

// WithTimeout returns a copy of parent that is cancelled with context.DeadlineExceeded as its cause when limit has
// passed on this service's clock.
func (svc *Service) WithTimeout(parent context.Context, limit time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(parent)
	sub := svc.After(limit, func() { cancel(context.DeadlineExceeded) })
	return ctx, func() {
		sub.Stop()
		cancel(context.Canceled)
	}
}

// Sleep returns when delay has passed or ctx has ended, in which case it returns the cause.
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
