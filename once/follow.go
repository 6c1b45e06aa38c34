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

// followLoop folds the stream. The position at which the first read finds the end of the stream is the start of this
// process; nothing is decided before the stream has been read up to there.
func (rec *Recorder) followLoop(ctx context.Context) error {
	next, head := int64(1), int64(0)
	for ctx.Err() == nil {
		wait := pollWait
		if head == 0 {
			wait = 0
		}
		bat, err := rec.opts.Read(ctx, rec.stream, next, readLimit, wait)
		if err != nil {
			rec.setDown(true)
			_ = rec.opts.Clock.Sleep(ctx, rereadDelay)
			continue
		}
		if bat.Next < next {
			rec.opts.Metrics.Event("once-log-went-back")
			rec.opts.Log.Info("once: the log has lost records; calls are refused until this process is started again",
				"stream", rec.stream, "next", next)
			// New records would take offsets that count as read here, so foreign starts could be missed.
			rec.setDown(true)
			return nil
		}
		if head == 0 {
			head = bat.Next
		}
		next = rec.fold(bat, next)
		rec.mu.Lock()
		rec.down = false
		rec.ready = next >= head
		rec.mu.Unlock()
	}
	return nil
}

func (rec *Recorder) setDown(down bool) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	rec.down = down
}

// fold applies records and returns the offset after them.
func (rec *Recorder) fold(bat logsvc.Batch, next int64) int64 {
	if next > 1 && bat.Oldest > next {
		rec.opts.Metrics.Event("once-gap")
		rec.opts.Log.Info("once: records expired before they were read", "from", next, "oldest", bat.Oldest)
	}
	next = max(next, bat.Oldest)
	for _, rcd := range bat.Records {
		next = rcd.Offset + 1
		btc, err := decode(rcd.Data)
		if err != nil {
			rec.opts.Metrics.Event("once-malformed-record")
			rec.opts.Log.Info("once: malformed record", "offset", rcd.Offset, "error", err.Error())
			continue
		}
		rec.apply(btc, rcd.Offset)
	}
	return next
}

func (rec *Recorder) apply(btc batch, offset int64) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	now := rec.opts.Clock.Now()
	rec.table.expire(now)
	for _, itm := range btc.Items {
		own := owner{writer: btc.Writer, seq: itm.Seq}
		switch itm.Kind {
		case itemStart:
			rec.applyStart(own, itm, now)
		case itemFinish:
			if !rec.table.finish(own, itm, offset, now) {
				rec.opts.Metrics.Event("once-conflict")
				rec.opts.Log.Info("once: a call was finished by a process that does not own its key", "offset", offset)
			}
		case itemAbandon:
			rec.table.abandon(own, itm.Key)
		}
	}
}

// applyStart decides the call that waits for this start. A start of this process for which no call waits any more took
// effect after the call had been given up, and is abandoned.
func (rec *Recorder) applyStart(own owner, itm item, now time.Time) {
	ent, created := rec.table.start(own, itm, now)
	if own.writer != rec.writer {
		return
	}
	cal := rec.calls[itm.Key]
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
		rec.opts.Metrics.Event("once-abandoned")
		rec.enqueue(item{Kind: itemAbandon, Seq: itm.Seq, Key: itm.Key})
	}
}

// fetch reads a recorded answer. It returns nil if the log cannot tell.
func (rec *Recorder) fetch(ctx context.Context, key Key, offset int64) *Answer {
	lim, cancel := rec.opts.Clock.WithTimeout(ctx, fetchLimit)
	defer cancel()
	bat, err := rec.opts.Read(lim, rec.stream, offset, 1, 0)
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
