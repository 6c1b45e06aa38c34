package follow_test

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"

	"github.com/tarragonwheel/tarragonwheel/follow"
	"github.com/tarragonwheel/tarragonwheel/group"
	"github.com/tarragonwheel/tarragonwheel/timer"
)

// sharingFollower is a follower that shares its reads, and what it has seen and sent.
type sharingFollower struct {
	*follow.Follower
	seen   chan string
	sent   chan follow.Digest
	reads  atomic.Int64
	paused atomic.Bool
}

// startSharing starts a follower whose source has no records of its own after the listing up to offset 10. The
// function read, if not nil, replaces the reads.
func startSharing(
	t *testing.T, interval time.Duration,
	read func(from follow.Position) ([]follow.Record, follow.Position, error),
) *sharingFollower {
	t.Helper()
	grp := group.New(context.Background(), "test")
	t.Cleanup(func() { _ = grp.Stop() })
	shr := &sharingFollower{seen: make(chan string, 100), sent: make(chan follow.Digest, 100)}
	shr.Follower = follow.Start(grp, follow.Options{
		Name: "test", Clock: timer.New(), Log: logr.Discard(), ReadInterval: interval, ResponseTimeout: time.Minute,
		Source: follow.Source{
			List: func(context.Context) ([]follow.Record, follow.Position, error) {
				return nil, follow.Position{Offset: 10}, nil
			},
			Read: func(
				_ context.Context, from follow.Position, _ time.Duration,
			) ([]follow.Record, follow.Position, error) {
				shr.reads.Add(1)
				if read != nil {
					return read(from)
				}
				return nil, from, nil
			},
		},
		Sharing: &follow.Sharing{
			Send:    func(dig follow.Digest) { shr.sent <- dig },
			Matters: func(rec follow.Record) bool { return string(rec.Value) != "heartbeat" },
			Paused:  shr.paused.Load,
		},
		OnList:   func([]follow.Record, follow.Position) { shr.seen <- "listing" },
		OnChange: func(rec follow.Record) { shr.seen <- rec.Key },
	})
	is.New(t).Equal(<-shr.seen, "listing")
	return shr
}

// TestDigestsReplaceReads guards against a store that each process of a large fleet calls at the full rate.
func TestDigestsReplaceReads(t *testing.T) {
	iis := is.New(t)
	shr := startSharing(t, time.Second, nil)
	for until := time.Now().Add(2 * time.Second); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		shr.Receive(follow.Digest{From: 10, To: 10})
	}
	iis.Equal(shr.reads.Load(), int64(0))
	// Without digests, the process reads within the interval.
	time.Sleep(1500 * time.Millisecond)
	iis.True(shr.reads.Load() > 0)
}

// TestOldDigestsDoNotReplaceReads guards against a process that sends what it has read long ago, after it was frozen or
// because its datagrams were late, and keeps the others from reading.
func TestOldDigestsDoNotReplaceReads(t *testing.T) {
	iis := is.New(t)
	shr := startSharing(t, 200*time.Millisecond, nil)
	for until := time.Now().Add(time.Second); time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
		shr.Receive(follow.Digest{From: 10, To: 10, Age: time.Second})
	}
	iis.True(shr.reads.Load() > 0)
}

// TestDigestMovesOn guards against records that are lost or applied twice when digests and reads alternate.
func TestDigestMovesOn(t *testing.T) {
	iis := is.New(t)
	from := make(chan int64, 100)
	shr := startSharing(t, 300*time.Millisecond, func(pos follow.Position) ([]follow.Record, follow.Position, error) {
		from <- pos.Offset
		return nil, pos, nil
	})
	shr.Receive(follow.Digest{From: 11, To: 13, Records: []follow.Record{{Key: "gap", Value: []byte("v")}}})
	shr.Receive(follow.Digest{From: 8, To: 12, Records: []follow.Record{{Key: "a", Value: []byte("v")}}})
	shr.Receive(follow.Digest{From: 8, To: 11, Records: []follow.Record{{Key: "old", Value: []byte("v")}}})
	iis.Equal(<-shr.seen, "a")
	iis.Equal(<-from, int64(12))
	iis.Equal(len(shr.seen), 0)
}

// TestDigestHoldsWhatMatters guards against digests that repeat each sign of life, or that hold an outdated state of a
// key that has changed more than once.
func TestDigestHoldsWhatMatters(t *testing.T) {
	iis := is.New(t)
	var reads atomic.Int64
	shr := startSharing(t, 100*time.Millisecond, func(from follow.Position) ([]follow.Record, follow.Position, error) {
		if reads.Add(1) != 2 { // The first read after the listing is not shared.
			return nil, from, nil
		}
		return []follow.Record{
			{Key: "alive", Value: []byte("heartbeat")}, {Key: "left"}, {Key: "left", Value: []byte("back")},
		}, follow.Position{Offset: from.Offset + 3}, nil
	})
	dig := <-shr.sent
	iis.Equal(dig.From, int64(10))
	iis.Equal(dig.To, int64(13))
	iis.Equal(len(dig.Records), 1)
	iis.Equal(dig.Records[0], follow.Record{Key: "left", Value: []byte("back")})
}

// TestNoSharingAroundAnOutage guards against a replica that is removed everywhere because its registration expired
// during an outage of the store, when a process that has noticed the end of the outage tells one that has not.
func TestNoSharingAroundAnOutage(t *testing.T) {
	iis := is.New(t)
	var down atomic.Bool
	shr := startSharing(t, 50*time.Millisecond, func(from follow.Position) ([]follow.Record, follow.Position, error) {
		if down.Load() {
			return nil, follow.Position{}, errors.New("store unavailable")
		}
		return nil, from, nil
	})
	expired := follow.Digest{From: 10, To: 11, Records: []follow.Record{{Key: "expired"}}}
	down.Store(true)
	for reads := shr.reads.Load(); shr.reads.Load() < reads+3; time.Sleep(time.Millisecond) {
	}
	shr.Receive(expired)
	iis.Equal(len(shr.seen), 0)
	shr.paused.Store(true) // as after the end of an outage
	down.Store(false)
	time.Sleep(600 * time.Millisecond) // longer than the backoff
	for len(shr.sent) > 0 {
		<-shr.sent
	}
	shr.Receive(expired)
	time.Sleep(200 * time.Millisecond)
	iis.Equal(len(shr.seen), 0)
	iis.Equal(len(shr.sent), 0)
	shr.paused.Store(false)
	<-shr.sent
}

// TestCatchUpEndsALongPoll guards against a configuration that is missed for as long as a dead connection to the store
// goes unnoticed, although other processes have it.
func TestCatchUpEndsALongPoll(t *testing.T) {
	iis := is.New(t)
	src := &scriptedSource{reads: make(chan func() ([]follow.Record, follow.Position, error))}
	var flw *follow.Follower
	seen := make(chan string, 100)
	grp := group.New(context.Background(), "test")
	t.Cleanup(func() { _ = grp.Stop() })
	flw = follow.Start(grp, follow.Options{
		Name: "test", Clock: timer.New(), Log: logr.Discard(), Source: src.source(),
		LongPollTimeout: func() time.Duration { return time.Minute }, ResponseTimeout: time.Minute,
		OnList:   func([]follow.Record, follow.Position) { seen <- "listing" },
		OnChange: func(rec follow.Record) { seen <- rec.Key },
	})
	iis.Equal(<-seen, "listing")
	reads := func() int {
		src.mu.Lock()
		defer src.mu.Unlock()
		return len(src.waits)
	}
	for reads() < 1 {
		time.Sleep(time.Millisecond)
	}
	for reads() < 2 {
		flw.CatchUp()
		time.Sleep(time.Millisecond)
	}
	src.reads <- records(11, "new")
	iis.Equal(<-seen, "new")
	src.mu.Lock()
	defer src.mu.Unlock()
	iis.Equal(src.waits[1], time.Duration(0))
}

// TestDigestCoversOnlyWhatItsReaderCompared guards against a replica that stays in use after it began to drain: a
// record whose state the reader knew already, from a digest of another process or from the listing, does not matter to
// the reader, but others that have read up to the same offset do not know it.
func TestDigestCoversOnlyWhatItsReaderCompared(t *testing.T) {
	iis := is.New(t)
	var mu sync.Mutex
	known := map[string]string{"listed-late": "drains"} // from a later page of the listing
	list := []follow.Record{
		{Key: "listed-late", Value: []byte("drains")},
		{Key: "told", Value: []byte("drains")},
		{Key: "new", Value: []byte("drains")},
		{Key: "newer", Value: []byte("drains")},
	}
	reading, resume := make(chan bool, 100), make(chan int, 100)
	sent, seen := make(chan follow.Digest, 100), make(chan string, 100)
	grp := group.New(context.Background(), "test")
	t.Cleanup(func() { _ = grp.Stop() })
	flw := follow.Start(grp, follow.Options{
		Name: "test", Clock: timer.New(), Log: logr.Discard(), ReadInterval: time.Millisecond,
		ResponseTimeout: time.Minute,
		Source: follow.Source{
			List: func(context.Context) ([]follow.Record, follow.Position, error) {
				return nil, follow.Position{}, nil
			},
			Read: func(
				ctx context.Context, from follow.Position, _ time.Duration,
			) ([]follow.Record, follow.Position, error) {
				reading <- true
				select {
				case until := <-resume:
					return list[from.Offset:until], follow.Position{Offset: int64(until)}, nil
				case <-ctx.Done():
					return nil, follow.Position{}, ctx.Err()
				}
			},
		},
		Sharing: &follow.Sharing{
			Send: func(dig follow.Digest) { sent <- dig },
			Matters: func(rec follow.Record) bool {
				mu.Lock()
				defer mu.Unlock()
				return known[rec.Key] != string(rec.Value)
			},
			Paused: func() bool { return false },
		},
		OnList: func([]follow.Record, follow.Position) {},
		OnChange: func(rec follow.Record) {
			mu.Lock()
			defer mu.Unlock()
			known[rec.Key] = string(rec.Value)
			seen <- rec.Key
		},
	})
	<-reading
	resume <- 1 // The first read after the listing is not shared: its records may have been in the listing.
	iis.Equal(<-seen, "listed-late")
	<-reading
	flw.Receive(follow.Digest{From: 1, To: 2, Records: list[1:2]})
	iis.Equal(<-seen, "told")
	resume <- 3
	iis.Equal(<-seen, "new")
	dig := <-sent
	iis.Equal(dig.From, int64(2)) // A process that has read up to 1 must not use it.
	iis.Equal(dig.To, int64(3))
	iis.Equal(dig.Records, list[2:3])
}

// TestRetryEndsABackoff guards against a process that goes on with old records for as long as its backoff, although the
// store answers others again, and against one that calls the store for each such message.
func TestRetryEndsABackoff(t *testing.T) {
	iis := is.New(t)
	src, flw, _, began := startInBackoff(t)
	flw.Retry()
	src.reads <- failure(errors.New("store unavailable"))
	iis.True(time.Since(began) < time.Second)
	time.Sleep(20 * time.Millisecond)
	for range 10 {
		flw.Retry() // It has just been called.
	}
	time.Sleep(100 * time.Millisecond)
	src.mu.Lock()
	iis.Equal(len(src.from), 7)
	src.mu.Unlock()
}
