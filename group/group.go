// Package group provides run groups: sets of goroutines that stop together and clean up after themselves.
package group

import (
	"context"
	"errors"
	"fmt"
	"sync"
)

// Group owns goroutines and clean-up functions. The first error, or a call of Stop, ends all of them.
type Group struct {
	name       string
	ctx        context.Context
	cancel     context.CancelCauseFunc
	goroutines sync.WaitGroup
	mu         sync.Mutex
	err        error
	cleanup    []func()
}

// ErrStopped is the cause with which a group's context ends after Stop.
var ErrStopped = errors.New("group: stopped")

// New returns a Group whose context ends with parent. The name prefixes the errors of its goroutines.
func New(parent context.Context, name string) *Group {
	ctx, cancel := context.WithCancelCause(parent)
	return &Group{name: name, ctx: ctx, cancel: cancel}
}

// Context returns the context that ends when the group stops.
func (grp *Group) Context() context.Context {
	return grp.ctx
}

// Go runs fn on a new goroutine. If it returns an error, the whole group stops with that error, prefixed with the names
// of the group and the part.
func (grp *Group) Go(part string, fn func(ctx context.Context) error) {
	grp.goroutines.Add(1)
	go func() {
		defer grp.goroutines.Done()
		if err := fn(grp.ctx); err != nil {
			grp.fail(fmt.Errorf("%s: %s: %w", grp.name, part, err))
		}
	}()
}

// OnStop registers a clean-up function. Wait runs them in reverse order after all goroutines have returned.
func (grp *Group) OnStop(fn func()) {
	grp.mu.Lock()
	defer grp.mu.Unlock()
	grp.cleanup = append(grp.cleanup, fn)
}

// Stop ends the group's context and waits for its goroutines and clean-up functions.
func (grp *Group) Stop() error {
	grp.cancel(ErrStopped)
	return grp.Wait()
}

// Wait waits until the group's context has ended and its goroutines have returned, then runs the clean-up functions. It
// returns the error that stopped the group, or nil if Stop or the end of the parent context stopped it.
func (grp *Group) Wait() error {
	<-grp.ctx.Done()
	grp.goroutines.Wait()
	grp.mu.Lock()
	fns := grp.cleanup
	grp.cleanup = nil
	err := grp.err
	grp.mu.Unlock()
	for idx := len(fns) - 1; idx >= 0; idx-- {
		fns[idx]()
	}
	return err
}

// fail stops the group. Only the first error counts, and only if the group was still running.
func (grp *Group) fail(err error) {
	grp.mu.Lock()
	stopped := grp.ctx.Err() != nil
	if grp.err == nil && !stopped {
		grp.err = err
	}
	grp.mu.Unlock()
	grp.cancel(err)
}
