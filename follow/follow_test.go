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

// script is a source whose answers a test gives one by one.
type script struct {
	mu    sync.Mutex
	lists int
	reads chan func() ([]follow.Record, int64, error)
	from  []int64
	waits []time.Duration
}

func (scr *script) source() follow.Source {
	return follow.Source{
		List: func(context.Context) ([]follow.Record, int64, error) {
			scr.mu.Lock()
			defer scr.mu.Unlock()
			scr.lists++
			return []follow.Record{{Key: "listed", Value: []byte("v")}}, int64(10 * scr.lists), nil
		},
		Read: func(ctx context.Context, from int64, wait time.Duration) ([]follow.Record, int64, error) {
			scr.mu.Lock()
			scr.from = append(scr.from, from)
			scr.waits = append(scr.waits, wait)
			scr.mu.Unlock()
			select {
			case answer := <-scr.reads:
				return answer()
			case <-ctx.Done():
				return nil, 0, ctx.Err()
			}
		},
	}
}

func start(t *testing.T, scr *script, regained func(time.Duration)) chan string {
	t.Helper()
	grp := group.New(context.Background(), "test")
	t.Cleanup(func() { _ = grp.Stop() })
	seen := make(chan string, 100)
	follow.Start(grp, follow.Options{
		Name: "test", Clock: timer.New(), Log: logr.Discard(), Source: scr.source(),
		LongPollTime: time.Minute, ReadTimeout: time.Minute, OnRecovered: regained,
		OnList:   func([]follow.Record) { seen <- "replace" },
		OnChange: func(rec follow.Record) { seen <- rec.Key },
	})
	return seen
}

func records(next int64, keys ...string) func() ([]follow.Record, int64, error) {
	return func() ([]follow.Record, int64, error) {
		var list []follow.Record
		for _, key := range keys {
			list = append(list, follow.Record{Key: key, Value: []byte("v")})
		}
		return list, next, nil
	}
}

func failure(err error) func() ([]follow.Record, int64, error) {
	return func() ([]follow.Record, int64, error) { return nil, 0, err }
}

// TestFollowsFromTheListing guards against changes that are lost between the listing and the first read.
func TestFollowsFromTheListing(t *testing.T) {
	iis := is.New(t)
	scr := &script{reads: make(chan func() ([]follow.Record, int64, error))}
	seen := start(t, scr, nil)
	iis.Equal(<-seen, "replace")
	scr.reads <- records(12, "a", "b")
	iis.Equal(<-seen, "a")
	iis.Equal(<-seen, "b")
	scr.reads <- records(13, "c")
	iis.Equal(<-seen, "c")
	scr.mu.Lock()
	defer scr.mu.Unlock()
	iis.Equal(scr.from[:2], []int64{10, 12})
}

// TestListsAgainAfterTrim guards against a follower that keeps what was removed in records it never read.
func TestListsAgainAfterTrim(t *testing.T) {
	iis := is.New(t)
	scr := &script{reads: make(chan func() ([]follow.Record, int64, error))}
	seen := start(t, scr, nil)
	iis.Equal(<-seen, "replace")
	scr.reads <- failure(follow.ErrTrimmed)
	iis.Equal(<-seen, "replace")
	scr.reads <- records(21, "d")
	iis.Equal(<-seen, "d")
}

// TestOutageKeepsThePosition guards against an outage of the store that drops what is known.
func TestOutageKeepsThePosition(t *testing.T) {
	iis := is.New(t)
	regained := make(chan time.Duration, 1)
	scr := &script{reads: make(chan func() ([]follow.Record, int64, error))}
	seen := start(t, scr, func(outage time.Duration) { regained <- outage })
	iis.Equal(<-seen, "replace")
	scr.reads <- failure(errors.New("down"))
	scr.reads <- failure(errors.New("down"))
	scr.reads <- records(11, "e")
	iis.Equal(<-seen, "e")
	iis.True(<-regained > 0)
	scr.mu.Lock()
	defer scr.mu.Unlock()
	iis.Equal(scr.lists, 1) // nothing was listed anew
}

// TestReadsDoNotWaitDuringAnOutage guards against a long read that is sent into an outage and hides its end for
// seconds.
func TestReadsDoNotWaitDuringAnOutage(t *testing.T) {
	iis := is.New(t)
	scr := &script{reads: make(chan func() ([]follow.Record, int64, error))}
	seen := start(t, scr, nil)
	iis.Equal(<-seen, "replace")
	scr.reads <- failure(errors.New("down"))
	scr.reads <- records(11, "f")
	iis.Equal(<-seen, "f")
	scr.reads <- records(12, "g")
	iis.Equal(<-seen, "g")
	scr.mu.Lock()
	defer scr.mu.Unlock()
	iis.Equal(scr.waits[:3], []time.Duration{time.Minute, 0, time.Minute})
}
