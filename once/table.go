package once

import (
	"sync/atomic"
	"time"
)

type state uint8

const (
	stateStarted    state = iota + 1 // the start is recorded, no end is known
	stateRunning                     // this process has contacted the service, or is about to
	stateFinished                    // ended with an answer
	stateAbandoning                  // this process will not run the call; its abandon item has not been read yet
)

// owner identifies the attempt that owns a key.
type owner struct {
	writer writer
	seq    uint64
}

// entry is what is known about a key.
type entry struct {
	owner   owner
	print   RequestHash
	state   state
	expires time.Time
	offset  int64 // of the record with the answer; 0 if it is not recorded
	answer  *Answer
}

// expiry is the time at which a key expires, unless a later start has extended it.
type expiry struct {
	key  Key
	when time.Time
}

// table is the state that results from applying the records of the stream in order. The slot's lock guards it.
//
// Keys expire relative to the time at which this process read them, so that clocks need not be synchronised. Each
// further start extends the life of the key: a process that remembers a key at one start still does so at the next. So
// two processes that forget the key at different times can't both take their own start for the first.
type table struct {
	window   time.Duration
	entries  map[Key]*entry
	expiries []expiry // in order of time; may contain several for one key

	pool    *answerPool
	answers []Key // keys whose answers are in memory, oldest first; may contain removed ones
}

// answerPool limits the memory for the answers of all tables together.
type answerPool struct {
	limit int64        // bytes
	bytes atomic.Int64 // total length of the bodies
}

func newTable(window time.Duration, pool *answerPool) *table {
	return &table{window: window, pool: pool, entries: make(map[Key]*entry)}
}

// start applies a start item. It returns the key's entry, and whether the item created it.
func (tab *table) start(own owner, itm item, now time.Time) (*entry, bool) {
	ent := tab.entries[itm.Key]
	created := ent == nil
	if created {
		ent = &entry{owner: own, print: itm.Print, state: stateStarted}
		tab.entries[itm.Key] = ent
	}
	tab.extendExpiry(itm.Key, ent, now)
	return ent, created
}

// extendExpiry makes a key expire one window from now.
func (tab *table) extendExpiry(key Key, ent *entry, now time.Time) {
	ent.expires = now.Add(tab.window)
	tab.expiries = append(tab.expiries, expiry{key: key, when: ent.expires})
}

// finish applies a finish item from the record at the given offset. It returns false if the item is not from the owner
// of the key.
func (tab *table) finish(own owner, itm item, offset int64, now time.Time) bool {
	ent := tab.entries[itm.Key]
	if ent == nil { // The start has expired from the log before it was read here.
		ent = &entry{owner: own, print: itm.Print}
		tab.entries[itm.Key] = ent
		tab.extendExpiry(itm.Key, ent, now)
	}
	if ent.owner != own {
		return false
	}
	if itm.Answer != nil && !itm.Answer.Lost {
		ent.offset = offset
	}
	if ent.state != stateFinished {
		tab.setAnswer(itm.Key, ent, itm.Answer)
	}
	return true
}

// setAnswer marks a key as finished and keeps its answer. If the pool exceeds its limit, it drops the oldest answers of
// this table.
func (tab *table) setAnswer(key Key, ent *entry, ans *Answer) {
	ent.state = stateFinished
	ent.answer = ans
	if ans == nil {
		return
	}
	tab.pool.bytes.Add(int64(len(ans.Body)))
	tab.answers = append(tab.answers, key)
	for tab.pool.bytes.Load() > tab.pool.limit && len(tab.answers) > 0 {
		old := tab.entries[tab.answers[0]]
		tab.answers = tab.answers[1:]
		if old != nil && old.answer != nil {
			tab.pool.bytes.Add(-int64(len(old.answer.Body)))
			old.answer = nil
		}
	}
}

// abandon applies an abandon item: the owner has not run the call and releases the key.
func (tab *table) abandon(own owner, key Key) {
	if ent := tab.entries[key]; ent != nil && ent.owner == own && ent.state != stateFinished {
		delete(tab.entries, key)
	}
}

// expire removes the keys whose window has passed.
func (tab *table) expire(now time.Time) {
	for len(tab.expiries) > 0 && !tab.expiries[0].when.After(now) {
		key := tab.expiries[0].key
		tab.expiries = tab.expiries[1:]
		ent := tab.entries[key]
		if ent == nil || ent.expires.After(now) {
			continue
		}
		if ent.answer != nil {
			tab.pool.bytes.Add(-int64(len(ent.answer.Body)))
		}
		delete(tab.entries, key)
	}
	for len(tab.answers) > 0 && tab.entries[tab.answers[0]] == nil {
		tab.answers = tab.answers[1:]
	}
}
