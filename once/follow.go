package once

import (
	"context"
	"time"

	"github.com/tarragonwheel/tarragonwheel/logsvc"
)

const (
	longPollTime   = 10 * time.Second
	maxReadRecords = 100 // so that the longest batches fit into one response of the log
	fetchTimeout   = 2 * time.Second
	readRetryDelay = 200 * time.Millisecond
)

// catchUp starts to follow the stream, unless it is followed already. It waits until the stream has been read up to the
// end that it had at that start, a read has failed or the record limit has passed.
func (slt *slot) catchUp(ctx context.Context) {
	slt.mu.Lock()
	slt.lastUsed = slt.rec.opts.Clock.Now()
	if !slt.following && !slt.stopped && !slt.rec.recordsLost.Load() {
		slt.following, slt.caughtUp, slt.readFailed = true, false, false
		slt.initialRead = make(chan struct{})
		slt.rec.grp.Go("follow", slt.followLoop)
	}
	initialRead := slt.initialRead
	slt.mu.Unlock()
	if initialRead == nil {
		return
	}
	lim, cancel := slt.rec.opts.Clock.WithTimeout(ctx, slt.rec.opts.RecordLimit)
	defer cancel()
	select {
	case <-initialRead:
	case <-lim.Done():
	}
}

// followLoop reads the stream and applies its records while the slot is in use. The slot has caught up once the stream
// has been read up to the end that the first read found. It accepts no new calls before that.
func (slt *slot) followLoop(ctx context.Context) error {
	rec := slt.rec
	head := int64(0) // offset of the end of the stream that the first read found; 0 before
	for ctx.Err() == nil && slt.inUse() {
		wait := longPollTime
		if head == 0 {
			wait = 0
		}
		bat, err := rec.opts.Read(ctx, slt.stream, slt.next, maxReadRecords, wait)
		if err != nil {
			slt.setReadFailed()
			_ = rec.opts.Clock.Sleep(ctx, readRetryDelay)
			continue
		}
		if bat.Next < slt.next {
			rec.opts.Metrics.CountEvent("once-log-went-back")
			rec.opts.Log.Info("once: the log has lost records; calls are refused until this process is started again",
				"stream", slt.stream, "next", slt.next)
			// New records would get offsets that count as read here, so starts of other processes could be missed.
			rec.recordsLost.Store(true)
			slt.setReadFailed()
			return nil
		}
		// Records that expired while the slot was not followed don't matter: they are older than the window.
		if head > 0 && slt.next > 1 && bat.Oldest > slt.next {
			rec.opts.Metrics.CountEvent("once-gap")
			rec.opts.Log.Info("once: records expired before they were read", "stream", slt.stream, "from", slt.next,
				"oldest", bat.Oldest)
		}
		if head == 0 {
			head = bat.Next
		}
		slt.applyRecords(bat)
		slt.setReadSucceeded(slt.next >= head)
	}
	return nil
}

// inUse reports whether the slot had a call within the window or has work left. If not, it ends the following. The
// table stays until its keys expire, and the next call resumes reading at the same offset.
func (slt *slot) inUse() bool {
	slt.mu.Lock()
	defer slt.mu.Unlock()
	idle := slt.rec.opts.Clock.Since(slt.lastUsed) > slt.rec.opts.Window
	if idle && len(slt.calls) == 0 && len(slt.queue) == 0 {
		slt.following, slt.caughtUp, slt.readFailed = false, false, false
	}
	return slt.following
}

// setReadFailed records that a read has failed. The calls that wait for the initial read need not wait any longer.
func (slt *slot) setReadFailed() {
	slt.mu.Lock()
	defer slt.mu.Unlock()
	slt.readFailed = true
	slt.endInitialRead()
}

// setReadSucceeded records that a read has succeeded, and whether the slot has caught up.
func (slt *slot) setReadSucceeded(caughtUp bool) {
	slt.mu.Lock()
	defer slt.mu.Unlock()
	slt.readFailed = false
	slt.caughtUp = caughtUp
	if caughtUp {
		slt.endInitialRead()
	}
}

// endInitialRead wakes the calls that wait for the initial read. The caller holds the lock.
func (slt *slot) endInitialRead() {
	select {
	case <-slt.initialRead:
	default:
		close(slt.initialRead)
	}
}

// applyRecords applies records to the table, and advances the next offset past them. Malformed records are skipped.
func (slt *slot) applyRecords(bat logsvc.Batch) {
	slt.next = max(slt.next, bat.Oldest)
	for _, rcd := range bat.Records {
		slt.next = rcd.Offset + 1
		btc, err := decode(rcd.Data)
		if err != nil {
			slt.rec.opts.Metrics.CountEvent("once-malformed-record")
			slt.rec.opts.Log.Info("once: malformed record", "offset", rcd.Offset, "error", err.Error())
			continue
		}
		slt.applyBatch(btc, rcd.Offset)
	}
}

// applyBatch applies the items of one record.
func (slt *slot) applyBatch(btc batch, offset int64) {
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
				slt.rec.opts.Metrics.CountEvent("once-conflict")
				slt.rec.opts.Log.Info("once: a call was finished by a process that does not own its key",
					"stream", slt.stream, "offset", offset)
			}
		case itemAbandon:
			slt.table.abandon(own, itm.Key)
		}
	}
}

// applyStart applies a start item. If a call of this process waits for it, the call learns whether it owns the key. A
// start of this process for which no call waits any more was appended after the call had given up, and is abandoned.
// The caller holds the lock.
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
		ent.state = stateAbandoning
		slt.rec.opts.Metrics.CountEvent("once-abandoned")
		slt.enqueue(item{Kind: itemAbandon, Seq: itm.Seq, Key: itm.Key})
	}
}

// fetchAnswer reads the answer to a call from the record at the given offset. It returns nil if the log does not
// respond or the record is not there.
func (slt *slot) fetchAnswer(ctx context.Context, key Key, offset int64) *Answer {
	lim, cancel := slt.rec.opts.Clock.WithTimeout(ctx, fetchTimeout)
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
