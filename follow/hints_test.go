package follow_test

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"

	"github.com/tarragonwheel/tarragonwheel/follow"
	"github.com/tarragonwheel/tarragonwheel/group"
	"github.com/tarragonwheel/tarragonwheel/timer"
)

// startInBackoff starts a follower whose calls fail after the listing, and returns it while it waits for 1.6 s at least
// after the last one, which was at the time began, with its source and a channel that gets the key of each change.
func startInBackoff(t *testing.T) (src *scriptedSource, flw *follow.Follower, seen chan string, began time.Time) {
	t.Helper()
	src = &scriptedSource{reads: make(chan func() ([]follow.Record, follow.Position, error))}
	seen = make(chan string, 100)
	grp := group.New(context.Background(), "test")
	t.Cleanup(func() { _ = grp.Stop() })
	flw = follow.Start(grp, follow.Options{
		Name: "test", Clock: timer.New(), Log: logr.Discard(), Source: src.source(), ResponseTimeout: time.Minute,
		MaxBackoff: func() time.Duration { return time.Hour },
		OnList:     func([]follow.Record, follow.Position) { seen <- "listing" },
		OnChange:   func(rec follow.Record) { seen <- rec.Key },
	})
	is.New(t).Equal(<-seen, "listing")
	for range 6 { // The last backoff takes 1.6 s at least.
		src.reads <- failure(errors.New("store unavailable"))
	}
	began = time.Now()
	time.Sleep(20 * time.Millisecond) // until the follower waits
	return src, flw, seen, began
}

// TestCatchUpEndsABackoff guards against an announcement of a newer configuration that is dropped because a call to the
// store has just failed, as after a pause of the process.
func TestCatchUpEndsABackoff(t *testing.T) {
	iis := is.New(t)
	src, flw, seen, began := startInBackoff(t)
	flw.CatchUp()
	src.reads <- records(11, "new")
	iis.Equal(<-seen, "new")
	iis.True(time.Since(began) < time.Second)
}

// TestReadIsBroughtForward guards against changes that are read as late as the read interval says, although there is a
// reason to expect them.
func TestReadIsBroughtForward(t *testing.T) {
	iis := is.New(t)
	src := &erasSource{era: 1, end: 10}
	flw, seen := startEras(t, src, 0, time.Hour)
	src.set(1, 11)
	flw.ReadWithin(50 * time.Millisecond)
	flw.ReadWithin(time.Minute) // later than what is due
	iis.Equal(<-seen, "1/10")
}
