package once

import (
	"fmt"
	"slices"
	"sync"
	"time"
)

// slot holds the keys that are recorded in one stream: the calls that run here, the items to append, and the table that
// results from reading the stream.
type slot struct {
	rec    *Recorder
	stream string
	next   int64 // offset of the next read; used by the follower only

	mu          sync.Mutex
	table       *table
	calls       map[Key]*call // being recorded or run by this process
	queue       []item        // to append
	appending   int           // number of items in batches that are being appended
	scheduled   bool          // in the recorder's list of slots with queued items
	lastUsed    time.Time     // of the last call
	following   bool          // a follower reads the stream
	initialRead chan struct{} // closed when the follower has caught up or a read has failed
	caughtUp    bool          // the stream has been read up to the end that it had when following began
	readFailed  bool          // the last read failed
	stopped     bool          // the group is stopping
}

func newSlot(rec *Recorder, num int, pool *answerPool) *slot {
	return &slot{
		rec:    rec,
		stream: fmt.Sprintf("%s%s-%d", StreamPrefix, rec.opts.Service, num),
		next:   1,
		table:  newTable(rec.opts.Window, pool),
		calls:  make(map[Key]*call),
	}
}

// enqueue adds items to the next batch of the slot. The caller holds the lock.
func (slt *slot) enqueue(items ...item) {
	slt.queue = append(slt.queue, items...)
	slt.schedule()
}

// schedule tells the commit loop that the slot has items to append. The caller holds the lock.
func (slt *slot) schedule() {
	if !slt.scheduled && len(slt.queue) > 0 {
		slt.scheduled = true
		slt.rec.schedule(slt)
	}
}

// dropQueued removes the start item of an attempt from the queue, if it is still there. The caller holds the lock.
func (slt *slot) dropQueued(seq uint64) {
	slt.queue = slices.DeleteFunc(slt.queue, func(itm item) bool { return itm.Kind == itemStart && itm.Seq == seq })
}

// takeBatch removes the items of the next batch from the queue and returns them.
func (slt *slot) takeBatch() []item {
	slt.mu.Lock()
	defer slt.mu.Unlock()
	size, count := 0, 0
	for count < len(slt.queue) && count < slt.rec.opts.BatchItems && size < maxBatchBytes {
		size += itemBytes
		if ans := slt.queue[count].Answer; ans != nil {
			size += len(ans.Body) + len(ans.ContentType)
		}
		count++
	}
	items := slt.queue[:count:count]
	slt.queue = slt.queue[count:]
	slt.appending += count
	slt.scheduled = false
	slt.schedule()
	return items
}

// markAppended records that a batch is in the log.
func (slt *slot) markAppended(items []item) {
	slt.mu.Lock()
	defer slt.mu.Unlock()
	slt.appending -= len(items)
}

// requeue puts the items of a batch whose append failed back into the queue. The batch may be in the log nevertheless,
// so items are idempotent: reading them twice has the same effect as once. The start of a call that has given up is not
// appended again.
func (slt *slot) requeue(items []item) {
	slt.mu.Lock()
	defer slt.mu.Unlock()
	kept := make([]item, 0, len(items)+len(slt.queue))
	for _, itm := range items {
		cal := slt.calls[itm.Key]
		if itm.Kind != itemStart || (cal != nil && cal.seq == itm.Seq) {
			kept = append(kept, itm)
		}
	}
	slt.queue = append(kept, slt.queue...)
	slt.appending -= len(items)
	slt.schedule()
}

// stop makes the slot refuse new calls. It returns the queued items that end calls, and drops the queued starts.
func (slt *slot) stop() []item {
	slt.mu.Lock()
	defer slt.mu.Unlock()
	slt.stopped = true
	items := slices.DeleteFunc(slt.queue, func(itm item) bool { return itm.Kind == itemStart })
	slt.queue = nil
	return items
}
