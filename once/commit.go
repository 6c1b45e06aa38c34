package once

import (
	"context"
	"fmt"
	"time"
)

const (
	maxBatchItems      = 2000
	maxBatchBytes      = 256 << 10 // a quarter of the longest record that the log accepts
	itemBytes          = 64        // upper bound of an item without its answer
	maxAppendsInFlight = 4
	appendRetryDelay   = 250 * time.Millisecond
	flushTimeout       = 2 * time.Second
)

// schedule appends a slot to the list of slots with queued items.
func (rec *Recorder) schedule(slt *slot) {
	rec.mu.Lock()
	rec.pending = append(rec.pending, slt)
	rec.mu.Unlock()
	select {
	case rec.pendingSignal <- struct{}{}:
	default:
	}
}

// nextSlot removes the slot that has waited longest from the list of slots with queued items. It returns nil if the
// list is empty.
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

// commitLoop appends the queued items to the log, in batches of one slot each. It starts at most Options.AppendRate
// appends a second for all slots together. When the group stops, it appends the items that end calls.
func (rec *Recorder) commitLoop(ctx context.Context) error {
	interval := time.Duration(float64(time.Second) / rec.opts.AppendRate)
	inFlight := make(chan struct{}, maxAppendsInFlight) // a semaphore
	for ctx.Err() == nil {
		select {
		case <-rec.pendingSignal:
		case <-ctx.Done():
		}
		for slt := rec.nextSlot(); slt != nil && ctx.Err() == nil; slt = rec.nextSlot() {
			if rec.commit(ctx, slt, inFlight) {
				_ = rec.opts.Clock.Sleep(ctx, interval)
			}
		}
	}
	rec.flush(ctx, inFlight)
	return nil
}

// commit starts the append of the slot's next batch, once less than maxAppendsInFlight appends are in flight. It
// returns false if there is no batch or the context ends first.
func (rec *Recorder) commit(ctx context.Context, slt *slot, inFlight chan struct{}) bool {
	items := slt.takeBatch()
	if len(items) == 0 {
		return false
	}
	select {
	case inFlight <- struct{}{}:
	case <-ctx.Done():
		slt.requeue(items)
		return false
	}
	rec.grp.Go("append", func(ctx context.Context) error {
		rec.append(ctx, slt, items)
		<-inFlight
		return nil
	})
	return true
}

// append appends a batch. If that fails, it puts the items back into the slot's queue after appendRetryDelay.
func (rec *Recorder) append(ctx context.Context, slt *slot, items []item) {
	err := rec.write(ctx, slt, items)
	if err == nil {
		slt.markAppended(items)
		rec.opts.Metrics.CountEvent("once-append")
		return
	}
	rec.opts.Metrics.CountEvent("once-append-failed")
	rec.opts.Log.V(1).Info("once: append failed", "stream", slt.stream, "error", err.Error())
	_ = rec.opts.Clock.Sleep(ctx, appendRetryDelay)
	slt.requeue(items)
}

// write appends a batch to the slot's stream. After an error, the batch may or may not be in the log.
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

// flush appends the queued items that end calls when the group stops. It first waits for the appends in flight, since
// failed ones put their items back into the queue.
func (rec *Recorder) flush(ctx context.Context, inFlight chan struct{}) {
	for range maxAppendsInFlight {
		inFlight <- struct{}{}
	}
	lim, cancel := context.WithTimeout(context.WithoutCancel(ctx), flushTimeout)
	defer cancel()
	for _, slt := range rec.slots {
		items := slt.stop()
		if len(items) == 0 {
			continue
		}
		if err := rec.write(lim, slt, items); err != nil {
			rec.opts.Log.Info("once: ends of calls not recorded", "stream", slt.stream, "count", len(items),
				"error", err.Error())
		}
	}
}
