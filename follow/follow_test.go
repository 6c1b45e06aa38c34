package follow_test

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"

	"github.com/tarragonwheel/tarragonwheel/follow"
	"github.com/tarragonwheel/tarragonwheel/group"
	"github.com/tarragonwheel/tarragonwheel/timer"
)

// scriptedSource is a source for which a test supplies the result of each read.
type scriptedSource struct {
	mu    sync.Mutex
	lists int // number of listings
	reads chan func() ([]follow.Record, follow.Position, error)
	from  []int64         // of each read
	waits []time.Duration // of each read
}

func (src *scriptedSource) source() follow.Source {
	return follow.Source{
		List: func(context.Context) ([]follow.Record, follow.Position, error) {
			src.mu.Lock()
			defer src.mu.Unlock()
			src.lists++
			next := follow.Position{Offset: int64(10 * src.lists)}
			return []follow.Record{{Key: "listed", Value: []byte("v")}}, next, nil
		},
		Read: func(
			ctx context.Context, from follow.Position, wait time.Duration,
		) ([]follow.Record, follow.Position, error) {
			src.mu.Lock()
			src.from = append(src.from, from.Offset)
			src.waits = append(src.waits, wait)
			src.mu.Unlock()
			select {
			case result := <-src.reads:
				return result()
			case <-ctx.Done():
				return nil, follow.Position{}, ctx.Err()
			}
		},
	}
}

// start follows a source, and returns a channel that gets "listing" for each listing and the key of each change.
func start(t *testing.T, src *scriptedSource, onRecovered func(time.Duration)) chan string {
	t.Helper()
	grp := group.New(context.Background(), "test")
	t.Cleanup(func() { _ = grp.Stop() })
	seen := make(chan string, 100)
	follow.Start(grp, follow.Options{
		Name: "test", Clock: timer.New(), Log: logr.Discard(), Source: src.source(),
		LongPollTimeout: func() time.Duration { return time.Minute }, ResponseTimeout: time.Minute,
		OnRecovered: onRecovered,
		OnList:      func([]follow.Record, follow.Position) { seen <- "listing" },
		OnChange:    func(rec follow.Record) { seen <- rec.Key },
	})
	return seen
}

// records returns the result of a read: records with the given keys, and the next offset.
func records(next int64, keys ...string) func() ([]follow.Record, follow.Position, error) {
	return func() ([]follow.Record, follow.Position, error) {
		var list []follow.Record
		for _, key := range keys {
			list = append(list, follow.Record{Key: key, Value: []byte("v")})
		}
		return list, follow.Position{Offset: next}, nil
	}
}

// failure returns the result of a read that fails.
func failure(err error) func() ([]follow.Record, follow.Position, error) {
	return func() ([]follow.Record, follow.Position, error) { return nil, follow.Position{}, err }
}

// TestFollowsFromTheListing guards against losing changes between the listing and the first read.
func TestFollowsFromTheListing(t *testing.T) {
	iis := is.New(t)
	src := &scriptedSource{reads: make(chan func() ([]follow.Record, follow.Position, error))}
	seen := start(t, src, nil)
	iis.Equal(<-seen, "listing")
	src.reads <- records(12, "a", "b")
	iis.Equal(<-seen, "a")
	iis.Equal(<-seen, "b")
	src.reads <- records(13, "c")
	iis.Equal(<-seen, "c")
	src.mu.Lock()
	defer src.mu.Unlock()
	iis.Equal(src.from[:2], []int64{10, 12})
}

// TestListsAgainAfterTrim guards against keeping keys whose removal was in trimmed records that were never read.
func TestListsAgainAfterTrim(t *testing.T) {
	iis := is.New(t)
	src := &scriptedSource{reads: make(chan func() ([]follow.Record, follow.Position, error))}
	seen := start(t, src, nil)
	iis.Equal(<-seen, "listing")
	src.reads <- failure(follow.ErrTrimmed)
	iis.Equal(<-seen, "listing")
	src.reads <- records(21, "d")
	iis.Equal(<-seen, "d")
}

// TestOutageKeepsThePosition guards against losing the offset and listing anew because of an outage of the store.
func TestOutageKeepsThePosition(t *testing.T) {
	iis := is.New(t)
	recovered := make(chan time.Duration, 1)
	src := &scriptedSource{reads: make(chan func() ([]follow.Record, follow.Position, error))}
	seen := start(t, src, func(outage time.Duration) { recovered <- outage })
	iis.Equal(<-seen, "listing")
	src.reads <- failure(errors.New("store unavailable"))
	src.reads <- failure(errors.New("store unavailable"))
	src.reads <- records(11, "e")
	iis.Equal(<-seen, "e")
	iis.True(<-recovered > 0)
	src.mu.Lock()
	defer src.mu.Unlock()
	iis.Equal(src.lists, 1) // The topic was not listed again.
}

// TestReadsDoNotWaitDuringAnOutage guards against a long poll that starts during an outage and delays the detection of
// its end by seconds.
func TestReadsDoNotWaitDuringAnOutage(t *testing.T) {
	iis := is.New(t)
	src := &scriptedSource{reads: make(chan func() ([]follow.Record, follow.Position, error))}
	seen := start(t, src, nil)
	iis.Equal(<-seen, "listing")
	src.reads <- failure(errors.New("store unavailable"))
	src.reads <- records(11, "f")
	iis.Equal(<-seen, "f")
	src.reads <- records(12, "g")
	iis.Equal(<-seen, "g")
	src.mu.Lock()
	defer src.mu.Unlock()
	iis.Equal(src.waits[:3], []time.Duration{time.Minute, 0, time.Minute})
}
