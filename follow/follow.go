// Package follow keeps a process up to date with a keyed topic of the platform's store.
//
// It lists the newest record of each key once and reads changes from there on. When the store has dropped records that
// were not read yet, it lists again. It outlives outages of the store: what was last read stays in force.
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

// ErrTrimmed is returned by Source.Read when the store no longer has the records asked for.
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
	// Read returns the records from an offset on, and the offset after them. It waits up to the given time for one.
	Read func(ctx context.Context, from int64, wait time.Duration) (list []Record, next int64, err error)
}

// Options configure a Follower.
type Options struct {
	Name   string // of the topic, for logs
	Clock  *timer.Service
	Log    logr.Logger
	Source Source
	// LongPollTime is how long a read waits at the store for a record.
	LongPollTime time.Duration
	// ReadInterval is the time between two reads, which bounds the number of calls.
	ReadInterval time.Duration
	// ReadTimeout is added to LongPollTime to detect a connection that has become unresponsive.
	ReadTimeout time.Duration
	// OnList is called with the full list of records.
	OnList func(list []Record)
	// OnChange is called with one changed record.
	OnChange func(rec Record)
	// OnRecovered is called when the store answers again, with the length of the outage; nil for none.
	OnRecovered func(outage time.Duration)
}

// Bounds of the pause after a failed call.
const (
	firstPause = 50 * time.Millisecond
	mostPause  = 400 * time.Millisecond
)

// Follower follows one topic.
type Follower struct {
	opts    Options
	next    int64
	listed  bool
	lastGot time.Time // when the store last answered
	lost    bool
	lostAt  time.Time // when a call failed first
}

// Start returns a Follower that runs in grp.
func Start(grp *group.Group, opts Options) *Follower {
	flw := &Follower{opts: opts, lastGot: opts.Clock.Now()}
	grp.Go("follow "+opts.Name, func(ctx context.Context) error {
		flw.run(ctx)
		return nil
	})
	return flw
}

func (flw *Follower) run(ctx context.Context) {
	pause := firstPause
	for ctx.Err() == nil {
		err := flw.step(ctx)
		switch {
		case err == nil:
			pause = firstPause
			_ = flw.opts.Clock.Sleep(ctx, flw.opts.ReadInterval) // The loop checks whether ctx has ended.
		case errors.Is(err, ErrTrimmed):
			flw.opts.Log.Info("follow: records were dropped unread, listing again", "topic", flw.opts.Name)
			flw.listed = false
		default:
			flw.failed(err)
			_ = flw.opts.Clock.Sleep(ctx, pause+time.Duration(rand.Int63n(int64(pause))))
			pause = min(2*pause, mostPause)
		}
	}
}

func (flw *Follower) step(ctx context.Context) error {
	if !flw.listed {
		return flw.list(ctx)
	}
	wait := flw.opts.LongPollTime
	if flw.lost {
		wait = 0 // A call into an outage should end soon, so that the next one finds the store again.
	}
	lim, cancel := flw.opts.Clock.WithTimeout(ctx, wait+flw.opts.ReadTimeout)
	defer cancel()
	list, next, err := flw.opts.Source.Read(lim, flw.next, wait)
	if err != nil {
		return err
	}
	flw.got()
	flw.next = next
	for _, rec := range list {
		flw.opts.OnChange(rec)
	}
	return nil
}

func (flw *Follower) list(ctx context.Context) error {
	lim, cancel := flw.opts.Clock.WithTimeout(ctx, 2*flw.opts.ReadTimeout)
	defer cancel()
	list, next, err := flw.opts.Source.List(lim)
	if err != nil {
		return err
	}
	flw.got()
	flw.next, flw.listed = next, true
	flw.opts.OnList(list)
	return nil
}

func (flw *Follower) got() {
	now := flw.opts.Clock.Now()
	if flw.lost {
		flw.lost = false
		outage := now.Sub(flw.lostAt)
		flw.opts.Log.Info("follow: store answers again", "topic", flw.opts.Name, "outage", outage)
		if flw.opts.OnRecovered != nil {
			flw.opts.OnRecovered(outage)
		}
	}
	flw.lastGot = now
}

func (flw *Follower) failed(err error) {
	if flw.lost {
		return
	}
	flw.lost, flw.lostAt = true, flw.opts.Clock.Now()
	flw.opts.Log.Info("follow: store does not answer, keeping what is known", "topic", flw.opts.Name,
		"age", flw.opts.Clock.Since(flw.lastGot), "error", err.Error())
}
