package once

import (
	"fmt"
	"slices"
	"sync"
	"time"
)

// slot is the part of the keys that is recorded in one stream.
type slot struct {
	rec    *Recorder
	stream string
	next   int64 // offset from which the follower reads on; used by the follower only

	mu        sync.Mutex
	table     *table
	calls     map[Key]*call
	queue     []item
	writing   int           // items of batches that are being appended
	listed    bool          // in the recorder's list of slots with queued items
	used      time.Time     // of the last call
	following bool          // a follower reads the stream
	settled   chan struct{} // closed when the follower has caught up or cannot read
	ready     bool          // the stream has been read up to the start of following
	down      bool          // the last read failed
	ended     bool          // the group is stopping
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
	slt.list()
}

// list tells the commit loop that the slot has items to append. The caller holds the lock.
func (slt *slot) list() {
	if !slt.listed && len(slt.queue) > 0 {
		slt.listed = true
		slt.rec.list(slt)
	}
}

// dropQueued removes a start that no batch has taken yet. The caller holds the lock.
func (slt *slot) dropQueued(seq uint64) {
	slt.queue = slices.DeleteFunc(slt.queue, func(itm item) bool { return itm.Kind == itemStart && itm.Seq == seq })
}

// take returns the items of the next batch.
func (slt *slot) take() []item {
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
	slt.writing += count
	slt.listed = false
	slt.list()
	return items
}

// written notes that a batch is in the log.
func (slt *slot) written(items []item) {
	slt.mu.Lock()
	defer slt.mu.Unlock()
	slt.writing -= len(items)
}

// requeue takes back the items of a batch that failed. The batch may have been written all the same, so items have the
// same effect when they are read twice. A start whose call has been given up is not written again.
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
	slt.writing -= len(items)
	slt.list()
}

// end refuses further calls and returns the ends of calls that no batch has taken.
func (slt *slot) end() []item {
	slt.mu.Lock()
	defer slt.mu.Unlock()
	slt.ended = true
	items := slices.DeleteFunc(slt.queue, func(itm item) bool { return itm.Kind == itemStart })
	slt.queue = nil
	return items
}
