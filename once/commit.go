package once

import (
	"context"
	"fmt"
	"time"
)

const (
	maxBatchItems = 2000
	maxBatchBytes = 256 << 10 // a quarter of the longest record that the log takes
	itemBytes     = 64        // upper bound of an item without its answer
	maxInFlight   = 4
	failureDelay  = 250 * time.Millisecond
	flushLimit    = 2 * time.Second
)

// list puts a slot at the end of the slots with queued items.
func (rec *Recorder) list(slt *slot) {
	rec.mu.Lock()
	rec.pending = append(rec.pending, slt)
	rec.mu.Unlock()
	select {
	case rec.wake <- struct{}{}:
	default:
	}
}

// nextSlot returns the slot that has waited longest for its next batch, or nil.
func (rec *Recorder) nextSlot() *slot {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	if len(rec.pending) == 0 {
		return nil
	}
	slt := rec.pending[0]
	rec.pending = rec.pending[1:]
	return slt
}

// commitLoop appends what is queued, at most at the set rate over all slots, one batch of one slot at a time. On a
// planned stop it appends the ends of calls.
func (rec *Recorder) commitLoop(ctx context.Context) error {
	interval := time.Duration(float64(time.Second) / rec.opts.AppendRate)
	room := make(chan struct{}, maxInFlight)
	for ctx.Err() == nil {
		select {
		case <-rec.wake:
		case <-ctx.Done():
		}
		for slt := rec.nextSlot(); slt != nil && ctx.Err() == nil; slt = rec.nextSlot() {
			if rec.commit(ctx, slt, room) {
				_ = rec.opts.Clock.Sleep(ctx, interval)
			}
		}
	}
	rec.flush(ctx, room)
	return nil
}

// commit starts to append the slot's next batch. It returns false if there is none.
func (rec *Recorder) commit(ctx context.Context, slt *slot, room chan struct{}) bool {
	items := slt.take()
	if len(items) == 0 {
		return false
	}
	select {
	case room <- struct{}{}:
	case <-ctx.Done():
		slt.requeue(items)
		return false
	}
	rec.grp.Go("append", func(ctx context.Context) error {
		rec.append(ctx, slt, items)
		<-room
		return nil
	})
	return true
}

func (rec *Recorder) append(ctx context.Context, slt *slot, items []item) {
	err := rec.write(ctx, slt, items)
	if err == nil {
		slt.written(items)
		rec.opts.Metrics.Event("once-append")
		return
	}
	rec.opts.Metrics.Event("once-append-failed")
	rec.opts.Log.V(1).Info("once: append failed", "stream", slt.stream, "error", err.Error())
	_ = rec.opts.Clock.Sleep(ctx, failureDelay)
	slt.requeue(items)
}

func (rec *Recorder) write(ctx context.Context, slt *slot, items []item) error {
	raw, err := batch{Writer: rec.writer, Items: items}.encode()
	if err != nil {
		return err
	}
	if _, err := rec.opts.Append(ctx, slt.stream, raw); err != nil {
		return fmt.Errorf("once: append batch: %w", err)
	}
	return nil
}

// flush appends the ends of calls that are not recorded when the group stops. The appends in flight end first, since
// they return what they could not write to the queue.
func (rec *Recorder) flush(ctx context.Context, room chan struct{}) {
	for range maxInFlight {
		room <- struct{}{}
	}
	lim, cancel := context.WithTimeout(context.WithoutCancel(ctx), flushLimit)
	defer cancel()
	for _, slt := range rec.slots {
		items := slt.end()
		if len(items) == 0 {
			continue
		}
		if err := rec.write(lim, slt, items); err != nil {
			rec.opts.Log.Info("once: ends of calls not recorded", "stream", slt.stream, "count", len(items),
				"error", err.Error())
		}
	}
}
