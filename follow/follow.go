// Package follow keeps a process up to date with a keyed topic of the platform's store.
//
// It lists the newest record of each key once, and then reads the changes since the listing. If the store has trimmed
// records that were not read yet, or was restored from an older copy, it lists the topic again. During an outage of the
// store the last records stay active.
package follow

import (
	"context"
	"errors"
	"math/rand"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"github.com/tarragonwheel/tarragonwheel/group"
	"github.com/tarragonwheel/tarragonwheel/timer"
)

// Errors after which the topic is listed again.
var (
	// ErrTrimmed is returned by Source.Read when the store has trimmed the requested records.
	ErrTrimmed = errors.New("follow: records are no longer in the store")
	// ErrRestored is returned by Source.List when the store was restored from an older copy between two pages.
	ErrRestored = errors.New("follow: the store was restored from an older copy")
)

// Record is the newest value of a key. A nil Value means that the key was removed.
type Record struct {
	Key   string
	Value []byte
}

// Source reads one topic.
type Source struct {
	// List returns the newest record of each key, and the position from which Read continues.
	List func(ctx context.Context) (list []Record, next Position, err error)
	// Read returns the records from a position on, and the position after them, in the era in which the store has
	// answered. If there are none, it waits for one up to the given time.
	Read func(ctx context.Context, from Position, wait time.Duration) (list []Record, next Position, err error)
}

// Options configure a Follower.
type Options struct {
	Name   string // of the topic, for logs
	Clock  *timer.Service
	Log    logr.Logger
	Source Source
	// LongPollTimeout returns the longest time that the store holds back the response to a read until there is a
	// record; nil for none.
	LongPollTimeout func() time.Duration
	// ReadInterval is the pause between two reads, which bounds the rate of calls to the store.
	ReadInterval time.Duration
	// ResponseTimeout is added to LongPollTimeout to detect an unresponsive connection. A listing gets twice this time.
	ResponseTimeout time.Duration
	// MaxBackoff returns the longest backoff after a failed call; nil for a default. It may be longer where other
	// processes tell this one that the store answers again.
	MaxBackoff func() time.Duration
	// OnEra, if not nil, is called with the era of each listing, before OnList. If restored is true, the store was
	// restored from an older copy since the listing before: newer records may be missing, and older ones be back.
	OnEra func(era int64, restored bool)
	// OnList is called with the newest record of each key after each listing, and the position of the listing.
	OnList func(list []Record, at Position)
	// OnChange is called with each record that is read after the listing.
	OnChange func(rec Record)
	// OnRead, if not nil, is called after the records of each read, with the position up to which the topic is known.
	OnRead func(next Position)
	// Sharing lets several processes read in turn; nil for none.
	Sharing *Sharing
	// OnRecovered, if not nil, is called with the length of an outage when the store answers again.
	OnRecovered func(outage time.Duration)
}

// Bounds of the backoff after a failed call. Jitter adds up to the same time again.
const (
	minBackoff     = 50 * time.Millisecond
	defaultBackoff = 400 * time.Millisecond // longest, if Options.MaxBackoff is nil
)

// Follower keeps track of one topic.
type Follower struct {
	opts         Options
	lastResponse time.Time  // when the store last answered
	outageStart  time.Time  // time of the first failed call
	mu           sync.Mutex // guards the fields below
	next         Position   // of the next read
	listed       bool       // false until the first listing, and when the topic is to be listed again
	everListed   bool       // next is the position of an earlier listing, if not of the last one
	listedAt     time.Time  // when a listing was last answered
	heardEra     int64      // newest era of the store that other followers or processes have stated
	inOutage     bool
	justListed   bool               // nothing has been read since the listing
	asOf         time.Time          // all changes before this time are known
	readAt       time.Time          // when the next read is due
	endLongPoll  context.CancelFunc // nil unless a long poll is in progress
	behind       bool               // the next read must not wait
	behindSince  time.Time          // when behind was last set
	endBackoff   context.CancelFunc // nil unless the follower waits after a failed call
	endTurn      context.CancelFunc // nil unless the follower waits until its next read is due
	retriedAt    time.Time          // when Retry last ended a backoff
}

// Start returns a Follower that runs in grp.
func Start(grp *group.Group, opts Options) *Follower {
	flw := &Follower{opts: opts, lastResponse: opts.Clock.Now()}
	grp.Go("follow "+opts.Name, func(ctx context.Context) error {
		flw.run(ctx)
		return nil
	})
	return flw
}

func (flw *Follower) run(ctx context.Context) {
	backoff := minBackoff
	for ctx.Err() == nil {
		err := flw.listOrRead(ctx)
		switch {
		case err == nil:
			backoff = minBackoff
			flw.waitForTurn(ctx)
		case errors.Is(err, ErrTrimmed), errors.Is(err, ErrRestored):
			flw.opts.Log.Info("follow: listing again", "topic", flw.opts.Name, "reason", err.Error())
			flw.mu.Lock()
			flw.listed = false
			flw.mu.Unlock()
		default:
			flw.recordFailure(err)
			flw.sleep(ctx, backoff+time.Duration(rand.Int63n(int64(backoff))))
			backoff = min(2*backoff, flw.maxBackoff())
		}
	}
}

func (flw *Follower) maxBackoff() time.Duration {
	if flw.opts.MaxBackoff == nil {
		return defaultBackoff
	}
	return flw.opts.MaxBackoff()
}

// sleep returns after the delay, or earlier when endBackoff is called or ctx ends.
func (flw *Follower) sleep(ctx context.Context, delay time.Duration) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	flw.mu.Lock()
	flw.endBackoff = cancel
	flw.mu.Unlock()
	_ = flw.opts.Clock.Sleep(ctx, delay) // The caller checks whether its context has ended.
	flw.mu.Lock()
	flw.endBackoff = nil
	flw.mu.Unlock()
}

// listOrRead lists the topic if needed, and otherwise reads its next changes.
func (flw *Follower) listOrRead(ctx context.Context) error {
	flw.mu.Lock()
	listed, from, wait := flw.listed, flw.next, flw.longPollTimeout()
	callCtx, cancel := flw.opts.Clock.WithTimeout(ctx, wait+flw.opts.ResponseTimeout)
	defer cancel()
	if wait > 0 {
		flw.endLongPoll = cancel
	}
	flw.behind = false
	flw.mu.Unlock()
	if !listed {
		return flw.list(ctx)
	}
	sentAt := flw.opts.Clock.Now()
	list, next, err := flw.opts.Source.Read(callCtx, from, wait)
	flw.mu.Lock()
	defer flw.mu.Unlock()
	flw.endLongPoll = nil
	if err != nil {
		if flw.behind {
			return nil // CatchUp has ended the long poll.
		}
		return err
	}
	flw.recordResponse()
	if next.Era != from.Era {
		flw.opts.Log.Info("follow: the store has answered in another era", "topic", flw.opts.Name, "era", next.Era,
			"listed-in-era", from.Era, "from", from.Offset, "records", len(list))
		return ErrRestored
	}
	if !flw.listed {
		return nil // The era has changed meanwhile.
	}
	if next.Offset < flw.next.Offset {
		return nil // A digest of another process, received meanwhile, is newer.
	}
	// Records before flw.next have been applied from a digest meanwhile.
	dig := Digest{Era: next.Era, From: flw.next.Offset, To: next.Offset, Age: flw.opts.Clock.Since(sentAt)}
	list = list[min(int(flw.next.Offset-from.Offset), len(list)):]
	flw.next = next
	flw.scheduleRead(sentAt)
	flw.applyAndShare(list, dig)
	if flw.opts.OnRead != nil {
		flw.opts.OnRead(next)
	}
	return nil
}

// longPollTimeout returns the time that the store may hold back the response to the next read. The caller holds the
// lock.
func (flw *Follower) longPollTimeout() time.Duration {
	if flw.opts.LongPollTimeout == nil || flw.inOutage || flw.behind || !flw.listed {
		return 0 // A long poll that starts during an outage would delay the detection of its end.
	}
	return flw.opts.LongPollTimeout()
}

func (flw *Follower) list(ctx context.Context) error {
	flw.mu.Lock()
	pause := minListInterval - flw.opts.Clock.Since(flw.listedAt)
	flw.mu.Unlock()
	_ = flw.opts.Clock.Sleep(ctx, pause) // The call below fails if ctx has ended.
	callCtx, cancel := flw.opts.Clock.WithTimeout(ctx, 2*flw.opts.ResponseTimeout)
	defer cancel()
	sentAt := flw.opts.Clock.Now()
	flw.mu.Lock()
	heardEra := flw.heardEra
	flw.mu.Unlock()
	list, next, err := flw.opts.Source.List(callCtx)
	flw.mu.Lock()
	defer flw.mu.Unlock()
	if err == nil || errors.Is(err, ErrRestored) {
		flw.listedAt = flw.opts.Clock.Now()
	}
	if err != nil {
		return err
	}
	flw.recordResponse()
	if flw.heardEra > max(heardEra, next.Era) {
		return ErrRestored // during the call
	}
	restored := flw.everListed && next.isOfOtherEra(flw.next)
	flw.opts.Log.Info("follow: topic listed", "topic", flw.opts.Name, "era", next.Era, "offset", next.Offset,
		"records", len(list), "restored", restored)
	flw.next, flw.listed, flw.everListed, flw.justListed = next, true, true, true
	flw.scheduleRead(sentAt)
	if flw.opts.OnEra != nil {
		flw.opts.OnEra(next.Era, restored)
	}
	flw.opts.OnList(list, next)
	return nil
}

// recordResponse records that the store has answered, and ends an outage. The caller holds the lock.
func (flw *Follower) recordResponse() {
	now := flw.opts.Clock.Now()
	if flw.inOutage {
		flw.inOutage = false
		outage := now.Sub(flw.outageStart)
		flw.opts.Log.Info("follow: store answers again", "topic", flw.opts.Name, "outage", outage,
			"listed-in-era", flw.next.Era, "offset", flw.next.Offset)
		if flw.opts.OnRecovered != nil {
			flw.opts.OnRecovered(outage)
		}
	}
	flw.lastResponse = now
}

// recordFailure records a failed call. The first one begins an outage; the further ones are not logged.
func (flw *Follower) recordFailure(err error) {
	flw.mu.Lock()
	defer flw.mu.Unlock()
	if flw.inOutage {
		return
	}
	flw.inOutage, flw.outageStart = true, flw.opts.Clock.Now()
	flw.opts.Log.Info("follow: store does not answer, keeping the last records", "topic", flw.opts.Name,
		"age", flw.opts.Clock.Since(flw.lastResponse), "error", err.Error())
}
