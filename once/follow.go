package once

import (
	"context"
	"time"

	"github.com/tarragonwheel/tarragonwheel/logsvc"
)

const (
	pollWait    = 10 * time.Second
	readLimit   = 100 // records in one read, so that the longest batches stay within an answer of the log
	fetchLimit  = 2 * time.Second
	rereadDelay = 200 * time.Millisecond
)

// catchUp makes sure that the stream is followed, and waits until it has been read up to the start of following or
// cannot be read.
func (slt *slot) catchUp(ctx context.Context) {
	slt.mu.Lock()
	slt.used = slt.rec.opts.Clock.Now()
	if !slt.following && !slt.ended && !slt.rec.wentBack.Load() {
		slt.following, slt.ready, slt.down = true, false, false
		slt.settled = make(chan struct{})
		slt.rec.grp.Go("follow", slt.followLoop)
	}
	settled := slt.settled
	slt.mu.Unlock()
	if settled == nil {
		return
	}
	lim, cancel := slt.rec.opts.Clock.WithTimeout(ctx, slt.rec.opts.RecordLimit)
	defer cancel()
	select {
	case <-settled:
	case <-lim.Done():
	}
}

// followLoop folds the stream while the slot is in use. The position at which the first read finds the end of the
// stream is the start of following; nothing is decided before the stream has been read up to there.
func (slt *slot) followLoop(ctx context.Context) error {
	rec := slt.rec
	head := int64(0)
	for ctx.Err() == nil && slt.inUse() {
		wait := pollWait
		if head == 0 {
			wait = 0
		}
		bat, err := rec.opts.Read(ctx, slt.stream, slt.next, readLimit, wait)
		if err != nil {
			slt.setDown()
			_ = rec.opts.Clock.Sleep(ctx, rereadDelay)
			continue
		}
		if bat.Next < slt.next {
			rec.opts.Metrics.Event("once-log-went-back")
			rec.opts.Log.Info("once: the log has lost records; calls are refused until this process is started again",
				"stream", slt.stream, "next", slt.next)
			// New records would take offsets that count as read here, so foreign starts could be missed.
			rec.wentBack.Store(true)
			slt.setDown()
			return nil
		}
		// What expired while the slot was not followed is older than the window.
		if head > 0 && slt.next > 1 && bat.Oldest > slt.next {
			rec.opts.Metrics.Event("once-gap")
			rec.opts.Log.Info("once: records expired before they were read", "stream", slt.stream, "from", slt.next,
				"oldest", bat.Oldest)
		}
		if head == 0 {
			head = bat.Next
		}
		slt.fold(bat)
		slt.setRead(slt.next >= head)
	}
	return nil
}

// inUse tells whether the slot had a call within the window. If not, following ends. The table stays until its keys
// expire, and the next call goes on reading where this ended.
func (slt *slot) inUse() bool {
	slt.mu.Lock()
	defer slt.mu.Unlock()
	idle := slt.rec.opts.Clock.Since(slt.used) > slt.rec.opts.Window
	if idle && len(slt.calls) == 0 && len(slt.queue) == 0 {
		slt.following, slt.ready, slt.down = false, false, false
	}
	return slt.following
}

func (slt *slot) setDown() {
	slt.mu.Lock()
	defer slt.mu.Unlock()
	slt.down = true
	slt.wakeCallers()
}

func (slt *slot) setRead(ready bool) {
	slt.mu.Lock()
	defer slt.mu.Unlock()
	slt.down = false
	slt.ready = ready
	if ready {
		slt.wakeCallers()
	}
}

// wakeCallers wakes the calls that wait for the stream to be read. The caller holds the lock.
func (slt *slot) wakeCallers() {
	select {
	case <-slt.settled:
	default:
		close(slt.settled)
	}
}

// fold applies records and moves on to the offset after them.
func (slt *slot) fold(bat logsvc.Batch) {
	slt.next = max(slt.next, bat.Oldest)
	for _, rcd := range bat.Records {
		slt.next = rcd.Offset + 1
		btc, err := decode(rcd.Data)
		if err != nil {
			slt.rec.opts.Metrics.Event("once-malformed-record")
			slt.rec.opts.Log.Info("once: malformed record", "offset", rcd.Offset, "error", err.Error())
			continue
		}
		slt.apply(btc, rcd.Offset)
	}
}

func (slt *slot) apply(btc batch, offset int64) {
	slt.mu.Lock()
	defer slt.mu.Unlock()
	now := slt.rec.opts.Clock.Now()
	slt.table.expire(now)
	for _, itm := range btc.Items {
		own := owner{writer: btc.Writer, seq: itm.Seq}
		switch itm.Kind {
		case itemStart:
			slt.applyStart(own, itm, now)
		case itemFinish:
			if !slt.table.finish(own, itm, offset, now) {
				slt.rec.opts.Metrics.Event("once-conflict")
				slt.rec.opts.Log.Info("once: a call was finished by a process that does not own its key",
					"stream", slt.stream, "offset", offset)
			}
		case itemAbandon:
			slt.table.abandon(own, itm.Key)
		}
	}
}

// applyStart decides the call that waits for this start. A start of this process for which no call waits any more took
// effect after the call had been given up, and is abandoned.
func (slt *slot) applyStart(own owner, itm item, now time.Time) {
	ent, created := slt.table.start(own, itm, now)
	if own.writer != slt.rec.writer {
		return
	}
	cal := slt.calls[itm.Key]
	waiting := cal != nil && cal.seq == itm.Seq && !cal.settled
	switch {
	case waiting:
		if created {
			ent.state = stateRunning
		}
		cal.settled = true
		cal.decided <- created
	case created:
		ent.state = stateSurrendered
		slt.rec.opts.Metrics.Event("once-abandoned")
		slt.enqueue(item{Kind: itemAbandon, Seq: itm.Seq, Key: itm.Key})
	}
}

// fetch reads a recorded answer. It returns nil if the log cannot tell.
func (slt *slot) fetch(ctx context.Context, key Key, offset int64) *Answer {
	lim, cancel := slt.rec.opts.Clock.WithTimeout(ctx, fetchLimit)
	defer cancel()
	bat, err := slt.rec.opts.Read(lim, slt.stream, offset, 1, 0)
	if err != nil || len(bat.Records) == 0 || bat.Records[0].Offset != offset {
		return nil
	}
	btc, err := decode(bat.Records[0].Data)
	if err != nil {
		return nil
	}
	for _, itm := range btc.Items {
		if itm.Kind == itemFinish && itm.Key == key {
			return itm.Answer
		}
	}
	return nil
}
