package once

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/gravitational/trace"
)

const (
	maxBatchItems = 2000
	maxBatchBytes = 256 << 10 // a quarter of the longest record that the log takes
	itemBytes     = 64        // upper bound of an item without its answer
	maxInFlight   = 4
	failureDelay  = 250 * time.Millisecond
	flushLimit    = 2 * time.Second
)

// enqueue adds an item to the next batch. The caller holds the lock.
func (rec *Recorder) enqueue(itm item) {
	rec.queue = append(rec.queue, itm)
	rec.notify()
}

func (rec *Recorder) notify() {
	select {
	case rec.wake <- struct{}{}:
	default:
	}
}

// dropQueued removes a start that no batch has taken yet. The caller holds the lock.
func (rec *Recorder) dropQueued(seq uint64) {
	rec.queue = slices.DeleteFunc(rec.queue, func(itm item) bool { return itm.Kind == itemStart && itm.Seq == seq })
}

// commitLoop appends what is queued, at most at the set rate. On a planned stop it appends the ends of calls.
func (rec *Recorder) commitLoop(ctx context.Context) error {
	clk := rec.opts.Clock
	interval := time.Duration(float64(time.Second) / rec.opts.AppendRate)
	slots := make(chan struct{}, maxInFlight)
	for {
		select {
		case <-rec.wake:
		case <-ctx.Done():
			rec.flush(ctx, slots)
			return nil
		}
		items := rec.take()
		if len(items) == 0 {
			continue
		}
		select {
		case slots <- struct{}{}:
		case <-ctx.Done():
			rec.requeue(items)
			rec.flush(ctx, slots)
			return nil
		}
		rec.grp.Go("append", func(ctx context.Context) error {
			rec.append(ctx, items)
			<-slots
			return nil
		})
		_ = clk.Sleep(ctx, interval)
	}
}

// take returns the items of the next batch.
func (rec *Recorder) take() []item {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	size, count := 0, 0
	for count < len(rec.queue) && count < rec.opts.BatchItems && size < maxBatchBytes {
		size += itemBytes
		if ans := rec.queue[count].Answer; ans != nil {
			size += len(ans.Body) + len(ans.ContentType)
		}
		count++
	}
	items := rec.queue[:count:count]
	rec.queue = rec.queue[count:]
	if len(rec.queue) > 0 {
		rec.notify()
	}
	return items
}

func (rec *Recorder) append(ctx context.Context, items []item) {
	err := rec.write(ctx, items)
	if err == nil {
		rec.opts.Metrics.Event("once-append")
		return
	}
	rec.opts.Metrics.Event("once-append-failed")
	rec.opts.Log.V(1).Info("once: append failed", "stream", rec.stream, "error", err.Error())
	_ = rec.opts.Clock.Sleep(ctx, failureDelay)
	rec.requeue(items)
}

func (rec *Recorder) write(ctx context.Context, items []item) error {
	raw, err := batch{Writer: rec.writer, Items: items}.encode()
	if err != nil {
		return err
	}
	if _, err := rec.opts.Append(ctx, rec.stream, raw); err != nil {
		return fmt.Errorf("once: append batch: %w", err)
	}
	return nil
}

// requeue takes back the items of a batch that failed. The batch may have been written all the same, so items have the
// same effect when they are read twice. A start whose call has been given up is not written again.
func (rec *Recorder) requeue(items []item) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	kept := make([]item, 0, len(items)+len(rec.queue))
	for _, itm := range items {
		cal := rec.calls[itm.Key]
		if itm.Kind != itemStart || (cal != nil && cal.seq == itm.Seq) {
			kept = append(kept, itm)
		}
	}
	rec.queue = append(kept, rec.queue...)
	rec.notify()
}

// flush appends the ends of calls that are not recorded when the group stops. The appends in flight end first, since
// they return what they could not write to the queue.
func (rec *Recorder) flush(ctx context.Context, slots chan struct{}) {
	for range maxInFlight {
		slots <- struct{}{}
	}
	rec.mu.Lock()
	rec.ended = true
	items := slices.DeleteFunc(rec.queue, func(itm item) bool { return itm.Kind == itemStart })
	rec.queue = nil
	rec.mu.Unlock()
	if len(items) == 0 {
		return
	}
	lim, cancel := context.WithTimeout(context.WithoutCancel(ctx), flushLimit)
	defer cancel()
	if err := rec.write(lim, items); err != nil && !trace.IsLimitExceeded(err) {
		rec.opts.Log.Info("once: ends of calls not recorded", "count", len(items), "error", err.Error())
	}
}
