package once

import (
	"sync/atomic"
	"time"
)

type state uint8

const (
	stateStarted     state = iota + 1 // recorded, with no end known
	stateRunning                      // this process has contacted the service, or is about to
	stateFinished                     // ended with an answer
	stateSurrendered                  // this process will not run it; its abandon is on the way
)

// owner identifies the attempt that owns a key.
type owner struct {
	writer writer
	seq    uint64
}

type entry struct {
	owner   owner
	print   RequestHash
	state   state
	expires time.Time
	offset  int64 // of the record with the answer; 0 if it is not recorded
	answer  *Answer
}

// due is the time at which a key may be forgotten, unless it has been used again.
type due struct {
	key  Key
	when time.Time
}

// table is the fold of the stream. Its user holds the lock.
//
// Keys expire by the time at which this process read them, so that no two clocks have to agree. Each further start
// prolongs the life of the key: a process that still remembers a key at one start still does so at the next, and two
// processes that forget at different times can therefore not both take their own start for the first.
type table struct {
	window  time.Duration
	entries map[Key]*entry
	dues    []due // in order of time

	pool    *answerPool
	answers []Key // in order of arrival
}

// answerPool bounds the memory for answers of all tables together.
type answerPool struct {
	limit int64
	bytes atomic.Int64
}

func newTable(window time.Duration, pool *answerPool) *table {
	return &table{window: window, pool: pool, entries: make(map[Key]*entry)}
}

// start folds a start item. It returns the key's entry, and whether the item created it.
func (tab *table) start(own owner, itm item, now time.Time) (*entry, bool) {
	ent := tab.entries[itm.Key]
	created := ent == nil
	if created {
		ent = &entry{owner: own, print: itm.Print, state: stateStarted}
		tab.entries[itm.Key] = ent
	}
	tab.prolong(itm.Key, ent, now)
	return ent, created
}

func (tab *table) prolong(key Key, ent *entry, now time.Time) {
	ent.expires = now.Add(tab.window)
	tab.dues = append(tab.dues, due{key: key, when: ent.expires})
}

// finish folds a finish item. It returns false if the item contradicts the stream.
func (tab *table) finish(own owner, itm item, offset int64, now time.Time) bool {
	ent := tab.entries[itm.Key]
	if ent == nil { // Its start is older than the retention of the log.
		ent = &entry{owner: own, print: itm.Print}
		tab.entries[itm.Key] = ent
		tab.prolong(itm.Key, ent, now)
	}
	if ent.owner != own {
		return false
	}
	if itm.Answer != nil && !itm.Answer.Lost {
		ent.offset = offset
	}
	if ent.state != stateFinished {
		tab.end(itm.Key, ent, itm.Answer)
	}
	return true
}

// end notes the answer of a key.
func (tab *table) end(key Key, ent *entry, ans *Answer) {
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

func (tab *table) abandon(own owner, key Key) {
	if ent := tab.entries[key]; ent != nil && ent.owner == own && ent.state != stateFinished {
		delete(tab.entries, key)
	}
}

// expire forgets the keys whose window has passed.
func (tab *table) expire(now time.Time) {
	for len(tab.dues) > 0 && !tab.dues[0].when.After(now) {
		key := tab.dues[0].key
		tab.dues = tab.dues[1:]
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
