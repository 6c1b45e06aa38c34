package group_test

import (
	"context"
	"errors"
	"testing"

	"github.com/matryer/is"

	"github.com/tarragonwheel/tarragonwheel/group"
)

// TestFirstErrorStopsAll guards against goroutines that keep running after another one of their group has failed.
func TestFirstErrorStopsAll(t *testing.T) {
	is := is.New(t)
	grp := group.New(context.Background(), "test")
	boom := errors.New("boom")
	cleaned := false
	grp.OnStop(func() { cleaned = true })
	grp.Go("waiter", func(ctx context.Context) error {
		<-ctx.Done()
		return nil
	})
	grp.Go("failer", func(context.Context) error { return boom })
	is.True(errors.Is(grp.Wait(), boom))
	is.True(cleaned)
}

// TestStopReturnsNil guards against a planned stop that is reported as a failure.
func TestStopReturnsNil(t *testing.T) {
	is := is.New(t)
	grp := group.New(context.Background(), "test")
	grp.Go("waiter", func(ctx context.Context) error {
		<-ctx.Done()
		return ctx.Err()
	})
	is.NoErr(grp.Stop())
}
