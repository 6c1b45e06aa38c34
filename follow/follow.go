// Package follow keeps a process up to date with a keyed topic of the platform's store.
//
// It lists the newest record of each key once, and then reads the changes since the listing. If the store has trimmed
// records that were not read yet, it lists the topic again. During an outage of the store the last records stay active.
package follow

import (
	"context"
	"errors"
	"math/rand"
	"time"

	"github.com/go-logr/logr"

	"github.com/tarragonwheel/tarragonwheel/group"
	"github.com/tarragonwheel/tarragonwheel/timer"
)

// ErrTrimmed is returned by Source.Read when the store has trimmed the requested records.
var ErrTrimmed = errors.New("follow: records are no longer in the store")

// Record is the newest value of a key. A nil Value means that the key was removed.
type Record struct {
	Key   string
	Value []byte
}

// Source reads one topic.
type Source struct {
	// List returns the newest record of each key, and the offset from which Read continues.
	List func(ctx context.Context) (list []Record, next int64, err error)
	// Read returns the records from an offset on, and the offset after them. If there are none, it waits for one up to
	// the given time.
	Read func(ctx context.Context, from int64, wait time.Duration) (list []Record, next int64, err error)
}

// Options configure a Follower.
type Options struct {
	Name   string // of the topic, for logs
	Clock  *timer.Service
	Log    logr.Logger
	Source Source
	// LongPollTimeout is the longest time that the store holds back the response to a read until there is a record.
	LongPollTimeout time.Duration
	// ReadInterval is the pause between two reads, which bounds the rate of calls to the store.
	ReadInterval time.Duration
	// ResponseTimeout is added to LongPollTimeout to detect an unresponsive connection. A listing gets twice this time.
	ResponseTimeout time.Duration
	// OnList is called with the newest record of each key after each listing.
	OnList func(list []Record)
	// OnChange is called with each record that is read after the listing.
	OnChange func(rec Record)
	// OnRecovered, if not nil, is called with the length of an outage when the store answers again.
	OnRecovered func(outage time.Duration)
}

// Bounds of the backoff after a failed call. Jitter adds up to the same time again.
const (
	minBackoff = 50 * time.Millisecond
	maxBackoff = 400 * time.Millisecond
)

// Follower keeps track of one topic.
type Follower struct {
	opts         Options
	next         int64     // offset of the next read
	listed       bool      // false until the first listing and after a trim
	lastResponse time.Time // when the store last answered
	inOutage     bool
	outageStart  time.Time // time of the first failed call
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
			_ = flw.opts.Clock.Sleep(ctx, flw.opts.ReadInterval) // The loop checks whether ctx has ended.
		case errors.Is(err, ErrTrimmed):
			flw.opts.Log.Info("follow: unread records were trimmed, listing again", "topic", flw.opts.Name)
			flw.listed = false
		default:
			flw.recordFailure(err)
			_ = flw.opts.Clock.Sleep(ctx, backoff+time.Duration(rand.Int63n(int64(backoff))))
			backoff = min(2*backoff, maxBackoff)
		}
	}
}

// listOrRead lists the topic if needed, and otherwise reads its next changes.
func (flw *Follower) listOrRead(ctx context.Context) error {
	if !flw.listed {
		return flw.list(ctx)
	}
	wait := flw.opts.LongPollTimeout
	if flw.inOutage {
		wait = 0 // A long poll that starts during an outage would delay the detection of its end.
	}
	callCtx, cancel := flw.opts.Clock.WithTimeout(ctx, wait+flw.opts.ResponseTimeout)
	defer cancel()
	list, next, err := flw.opts.Source.Read(callCtx, flw.next, wait)
	if err != nil {
		return err
	}
	flw.recordResponse()
	flw.next = next
	for _, rec := range list {
		flw.opts.OnChange(rec)
	}
	return nil
}

func (flw *Follower) list(ctx context.Context) error {
	callCtx, cancel := flw.opts.Clock.WithTimeout(ctx, 2*flw.opts.ResponseTimeout)
	defer cancel()
	list, next, err := flw.opts.Source.List(callCtx)
	if err != nil {
		return err
	}
	flw.recordResponse()
	flw.next, flw.listed = next, true
	flw.opts.OnList(list)
	return nil
}

// recordResponse records that the store has answered, and ends an outage.
func (flw *Follower) recordResponse() {
	now := flw.opts.Clock.Now()
	if flw.inOutage {
		flw.inOutage = false
		outage := now.Sub(flw.outageStart)
		flw.opts.Log.Info("follow: store answers again", "topic", flw.opts.Name, "outage", outage)
		if flw.opts.OnRecovered != nil {
			flw.opts.OnRecovered(outage)
		}
	}
	flw.lastResponse = now
}

// recordFailure records a failed call. The first one begins an outage; the further ones are not logged.
func (flw *Follower) recordFailure(err error) {
	if flw.inOutage {
		return
	}
	flw.inOutage, flw.outageStart = true, flw.opts.Clock.Now()
	flw.opts.Log.Info("follow: store does not answer, keeping the last records", "topic", flw.opts.Name,
		"age", flw.opts.Clock.Since(flw.lastResponse), "error", err.Error())
}
