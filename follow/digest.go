package follow

import (
	"context"
	"math/rand"
	"time"
)

// Digest is what a process has learned from one read of a topic. Processes that follow the same topic send it to one
// another, so that not each of them has to read.
type Digest struct {
	Era     int64         // of the store, in which the offsets are valid
	From    int64         // offset up to which the process knew all records before
	To      int64         // offset after the last record that was read
	Age     time.Duration // since the read was sent; the digest holds all changes made before
	Records []Record      // the newest record of each key that matters to others
}

// Sharing lets processes that follow the same topic read in turn. A process that has read goes on after leaderShare of
// the read interval. The others wait for its digests, and read themselves if none has come within the read interval.
// No process has to know whose turn it is, so the failure of one only makes the others read.
type Sharing struct {
	// Send sends a digest to the other processes.
	Send func(dig Digest)
	// Matters tells whether a record holds more than a sign of life. It is called before OnChange.
	Matters func(rec Record) bool
	// Paused tells whether to neither send digests nor use those of others; each process then reads for itself.
	Paused func() bool
}

// Shares of the read interval after which a process reads.
const (
	leaderShare      = 0.7 // since its own read
	minFollowerShare = 0.9 // since the read of another process
	maxFollowerShare = 1.0
)

// Receive uses the digest of another process. It is dropped if records between the last read of this process and the
// digest are missing, if its offsets are of another era, or if the store does not answer this process, which then has
// to find out for itself what it has missed. A digest of a newer era makes this process list the topic again.
func (flw *Follower) Receive(dig Digest) {
	flw.mu.Lock()
	defer flw.mu.Unlock()
	flw.hearOfEra(dig.Era)
	usable := flw.listed && !flw.inOutage && !flw.opts.Sharing.Paused()
	if !usable || dig.Era != flw.next.Era || dig.From > flw.next.Offset {
		return
	}
	asOf := flw.opts.Clock.Now().Add(-dig.Age)
	if dig.To > flw.next.Offset {
		flw.next.Offset = dig.To
		for _, rec := range dig.Records {
			flw.opts.OnChange(rec)
		}
	}
	if dig.To >= flw.next.Offset && asOf.After(flw.asOf) {
		flw.asOf = asOf
		share := minFollowerShare + (maxFollowerShare-minFollowerShare)*rand.Float64()
		flw.readAt = asOf.Add(time.Duration(share * float64(flw.opts.ReadInterval)))
	}
}

// waitForTurn returns when the next read is due, or when ctx ends.
func (flw *Follower) waitForTurn(ctx context.Context) {
	for ctx.Err() == nil {
		flw.mu.Lock()
		left := flw.readAt.Sub(flw.opts.Clock.Now())
		if left <= 0 || !flw.listed {
			flw.mu.Unlock()
			return
		}
		turnCtx, cancel := context.WithCancel(ctx)
		flw.endTurn = cancel
		flw.mu.Unlock()
		_ = flw.opts.Clock.Sleep(turnCtx, left) // The loop checks whether ctx has ended.
		cancel()
	}
}

// scheduleRead sets the time of the next read after one that was sent at the given time. The caller holds the lock.
func (flw *Follower) scheduleRead(sentAt time.Time) {
	flw.asOf = sentAt
	interval := flw.opts.ReadInterval
	if flw.opts.Sharing != nil && !flw.opts.Sharing.Paused() {
		interval = time.Duration(leaderShare * float64(interval))
	}
	flw.readAt = flw.opts.Clock.Now().Add(interval)
}

// applyAndShare applies the records of a read, and sends the other processes those that matter to them.
func (flw *Follower) applyAndShare(list []Record, dig Digest) {
	matters := make(map[string]bool)
	newest := make(map[string]Record)
	for _, rec := range list {
		if flw.opts.Sharing != nil && flw.opts.Sharing.Matters(rec) {
			matters[rec.Key] = true
		}
		newest[rec.Key] = rec
		flw.opts.OnChange(rec)
	}
	// What is read first after a listing may have been in the listing already, so that it does not seem to matter.
	skip := flw.justListed
	flw.justListed = false
	if skip || flw.opts.Sharing == nil || flw.opts.Sharing.Paused() {
		return
	}
	for key := range matters {
		dig.Records = append(dig.Records, newest[key])
	}
	flw.opts.Sharing.Send(dig)
}
