package follow_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"

	"github.com/tarragonwheel/tarragonwheel/follow"
	"github.com/tarragonwheel/tarragonwheel/group"
	"github.com/tarragonwheel/tarragonwheel/timer"
)

// erasSource is a source that is restored from an older copy by a test. A long poll goes on over a restore.
type erasSource struct {
	mu    sync.Mutex
	era   int64
	end   int64
	lists int
	// onList, if not nil, is called at the end of each listing, which returns its error.
	onList func() error
}

func (src *erasSource) set(era, end int64) {
	src.mu.Lock()
	defer src.mu.Unlock()
	src.era, src.end = era, end
}

func (src *erasSource) listCount() int {
	src.mu.Lock()
	defer src.mu.Unlock()
	return src.lists
}

func (src *erasSource) position() follow.Position {
	src.mu.Lock()
	defer src.mu.Unlock()
	return follow.Position{Era: src.era, Offset: src.end}
}

func (src *erasSource) source() follow.Source {
	return follow.Source{
		List: func(context.Context) ([]follow.Record, follow.Position, error) {
			src.mu.Lock()
			src.lists++
			onList := src.onList
			src.mu.Unlock()
			pos := src.position()
			if onList != nil {
				return nil, pos, onList()
			}
			return nil, pos, nil
		},
		Read: func(
			ctx context.Context, from follow.Position, wait time.Duration,
		) ([]follow.Record, follow.Position, error) {
			for start := time.Now(); ; time.Sleep(time.Millisecond) {
				pos := src.position()
				switch {
				case ctx.Err() != nil:
					return nil, follow.Position{}, ctx.Err()
				case pos.Offset < from.Offset:
					return nil, follow.Position{}, follow.ErrTrimmed
				case pos.Offset > from.Offset:
					var list []follow.Record
					for num := from.Offset; num < pos.Offset; num++ {
						list = append(list, follow.Record{Key: fmt.Sprintf("%d/%d", pos.Era, num), Value: []byte("v")})
					}
					return list, pos, nil
				case time.Since(start) >= wait:
					return nil, pos, nil
				}
			}
		},
	}
}

// startEras follows a source with long polls of the given length, and returns the follower and a channel that gets each
// listing and the key of each change.
func startEras(t *testing.T, src *erasSource, poll, interval time.Duration) (*follow.Follower, chan string) {
	t.Helper()
	grp := group.New(context.Background(), "test")
	t.Cleanup(func() { _ = grp.Stop() })
	seen := make(chan string, 1000)
	flw := follow.Start(grp, follow.Options{
		Name: "test", Clock: timer.New(), Log: logr.Discard(), Source: src.source(), ReadInterval: interval,
		LongPollTimeout: func() time.Duration { return poll }, ResponseTimeout: time.Minute,
		Sharing: &follow.Sharing{
			Send:    func(follow.Digest) {},
			Matters: func(follow.Record) bool { return true },
			Paused:  func() bool { return false },
		},
		OnEra: func(era int64, restored bool) {
			seen <- fmt.Sprintf("listing in era %d, restored %v", era, restored)
		},
		OnList:   func([]follow.Record, follow.Position) {},
		OnChange: func(rec follow.Record) { seen <- rec.Key },
	})
	is.New(t).Equal(<-seen, fmt.Sprintf("listing in era %d, restored false", src.position().Era))
	return flw, seen
}

// TestAnswerOfAnotherEraLeadsToAListing guards against reading on at an offset of another era, where the store answers
// with other records than those that follow what is known, or with none.
func TestAnswerOfAnotherEraLeadsToAListing(t *testing.T) {
	for _, end := range []int64{7, 10, 12} { // of the topic after the restore; it was 10 before
		t.Run(fmt.Sprint("end ", end), func(t *testing.T) {
			iis := is.New(t)
			src := &erasSource{era: 1, end: 10}
			_, seen := startEras(t, src, 50*time.Millisecond, 0)
			src.set(2, end)
			iis.Equal(<-seen, "listing in era 2, restored true")
			src.set(2, end+1)
			iis.Equal(<-seen, fmt.Sprintf("2/%d", end))
			src.set(3, end)
			iis.Equal(<-seen, "listing in era 3, restored true")
		})
	}
}

// TestShorterTopicWithoutErasWasRestored guards against a restore that goes unnoticed because the store states no era.
func TestShorterTopicWithoutErasWasRestored(t *testing.T) {
	iis := is.New(t)
	src := &erasSource{end: 10}
	_, seen := startEras(t, src, 50*time.Millisecond, 0)
	src.set(0, 8)
	iis.Equal(<-seen, "listing in era 0, restored true")
	src.set(0, 9)
	iis.Equal(<-seen, "0/8")
}

// TestDigestOfAnotherEraIsNotUsed guards against a digest from before a restore that moves the position of a process
// that has listed the topic after it, or the reverse, so that records between are never read.
func TestDigestOfAnotherEraIsNotUsed(t *testing.T) {
	iis := is.New(t)
	src := &erasSource{era: 2, end: 10}
	flw, seen := startEras(t, src, 0, time.Hour)
	rec := []follow.Record{{Key: "of another era", Value: []byte("v")}}
	flw.Receive(follow.Digest{Era: 1, From: 8, To: 12, Records: rec})
	flw.Receive(follow.Digest{Era: 0, From: 8, To: 12, Records: rec}) // of a process that knows no eras
	src.set(3, 12)
	flw.Receive(follow.Digest{Era: 3, From: 8, To: 12, Records: rec})
	iis.Equal(<-seen, "listing in era 3, restored true") // at once, although the next read is due in an hour
	flw.Receive(follow.Digest{Era: 2, From: 8, To: 14, Records: rec})
	flw.Receive(follow.Digest{Era: 3, From: 12, To: 13, Records: []follow.Record{{Key: "next", Value: []byte("v")}}})
	iis.Equal(<-seen, "next")
	iis.Equal(len(seen), 0)
}

// TestRestoreEndsALongPoll guards against a position of an earlier era that is kept for as long as a connection to the
// store is silent, although another follower knows of the restore.
func TestRestoreEndsALongPoll(t *testing.T) {
	iis := is.New(t)
	src := &erasSource{era: 1, end: 10}
	flw, seen := startEras(t, src, time.Hour, 0)
	flw.Restored(1) // is known
	src.set(2, 10)  // The long poll does not notice, as there is no new record.
	time.Sleep(50 * time.Millisecond)
	iis.Equal(len(seen), 0)
	flw.Restored(2)
	iis.Equal(<-seen, "listing in era 2, restored true")
	flw.Restored(1)
	flw.Restored(2)
	time.Sleep(50 * time.Millisecond)
	iis.Equal(src.listCount(), 2)
}

// TestRestoreDuringAListing guards against a listing from before a restore that is kept because the restore became
// known while the listing was under way.
func TestRestoreDuringAListing(t *testing.T) {
	iis := is.New(t)
	src := &erasSource{era: 1, end: 10}
	flw, seen := startEras(t, src, time.Hour, 0)
	src.mu.Lock()
	src.onList = func() error {
		if src.listCount() == 2 { // after its answer of era 2 was fixed
			src.set(3, 10)
			flw.Restored(3)
		}
		return nil
	}
	src.mu.Unlock()
	src.set(2, 10)
	flw.Restored(2)
	iis.Equal(<-seen, "listing in era 3, restored true")
	iis.Equal(src.listCount(), 3)
}

// TestListingsAreLimited guards against calls without pause if a store, or two behind one address, answers in turn in
// different eras, or a process keeps stating new ones.
func TestListingsAreLimited(t *testing.T) {
	iis := is.New(t)
	src := &erasSource{era: 1, end: 10}
	flw, _ := startEras(t, src, 0, 0)
	const span = 2 * time.Second
	for start, num := time.Now(), int64(2); time.Since(start) < span; num++ {
		src.set(1+num%2, 10)
		flw.Restored(num)
		time.Sleep(time.Millisecond)
	}
	iis.True(src.listCount() < 12) // one in 300 ms, and a few
}

// TestListingsThatFailAreLimited guards against calls without pause if the pages of each listing are of two eras.
func TestListingsThatFailAreLimited(t *testing.T) {
	iis := is.New(t)
	src := &erasSource{era: 1, end: 10}
	flw, _ := startEras(t, src, time.Hour, 0)
	src.mu.Lock()
	src.onList = func() error { return follow.ErrRestored }
	src.mu.Unlock()
	flw.Restored(2)
	time.Sleep(2 * time.Second)
	iis.True(src.listCount() < 12) // one in 300 ms, and a few
}

// TestLateAnswerOfAnEarlierEraIsNotUsed guards against records and a position of before a restore that arrive after
// another follower or process has stated the new era.
func TestLateAnswerOfAnEarlierEraIsNotUsed(t *testing.T) {
	iis := is.New(t)
	src := &scriptedSource{reads: make(chan func() ([]follow.Record, follow.Position, error))}
	seen := make(chan string, 100)
	grp := group.New(context.Background(), "test")
	t.Cleanup(func() { _ = grp.Stop() })
	flw := follow.Start(grp, follow.Options{
		Name: "test", Clock: timer.New(), Log: logr.Discard(), Source: src.source(), ResponseTimeout: time.Minute,
		OnList:   func([]follow.Record, follow.Position) { seen <- "listing" },
		OnChange: func(rec follow.Record) { seen <- rec.Key },
	})
	iis.Equal(<-seen, "listing")
	time.Sleep(20 * time.Millisecond) // until the first read is under way
	flw.Restored(1)
	src.reads <- records(12, "late") // of era 0
	iis.Equal(<-seen, "listing")
	src.reads <- records(21, "next")
	iis.Equal(<-seen, "next")
}
