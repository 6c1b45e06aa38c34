package state

import (
	"fmt"
	"slices"
	"sync"

	"github.com/gravitational/trace"

	"github.com/tarragonwheel/tarragonwheel/proto"
)

const (
	// DutySnapshot is the duty of writing snapshots to the log.
	DutySnapshot = "snapshot"
	// maxRecent is the number of records kept for processes that are slightly behind. Others get the whole state.
	maxRecent = 256
)

// Gap is a range of records that the log no longer keeps. The state stays at the version before it until a snapshot or
// a peer covers the gap.
type Gap struct {
	First int64 `json:"first"`
	Last  int64 `json:"last"`
}

// Store holds the newest state that a process has. It is safe for concurrent use.
type Store struct {
	mu       sync.RWMutex
	machine  *Machine
	recent   [][]byte // data of the last records up to the machine's version
	caughtUp bool     // the end of the log has been reached once
	gap      Gap
	changed  chan struct{} // closed and replaced on each change of version
}

// NewStore returns a Store that has no state yet.
func NewStore() *Store {
	return &Store{machine: NewMachine(), changed: make(chan struct{})}
}

// Version returns the offset of the last record applied. It never decreases.
func (sto *Store) Version() int64 {
	sto.mu.RLock()
	defer sto.mu.RUnlock()
	return sto.machine.version
}

// Changed returns a channel that is closed when the version increases.
func (sto *Store) Changed() <-chan struct{} {
	sto.mu.RLock()
	defer sto.mu.RUnlock()
	return sto.changed
}

// Ready reports whether the store holds a state: it has applied records, or the log has none.
func (sto *Store) Ready() bool {
	sto.mu.RLock()
	defer sto.mu.RUnlock()
	return sto.caughtUp || sto.machine.version > 0
}

// Gap returns the records that expired from the log before they could be read; ok is false if there are none.
func (sto *Store) Gap() (gap Gap, ok bool) {
	sto.mu.RLock()
	defer sto.mu.RUnlock()
	return sto.gap, sto.gap != Gap{}
}

// ApplyRecords applies records read from the log. Oldest is the offset of the oldest record that the log keeps, and
// next is the offset of its next append. If records before oldest are missing, ApplyRecords looks for a snapshot that
// covers them, adopts it and returns; the caller continues reading at Version()+1. Without such a snapshot the state
// does not change, and Gap returns the missing records. The caller then passes all records from oldest on, until one of
// them closes the gap.
func (sto *Store) ApplyRecords(recs []Record, oldest, next int64) {
	sto.mu.Lock()
	defer sto.mu.Unlock()
	before := sto.machine.version
	if before < oldest-1 {
		sto.adoptSnapshot(recs, oldest)
	} else {
		for _, rec := range recs {
			if sto.apply(rec) != nil {
				break
			}
		}
	}
	switch {
	case sto.machine.version < oldest-1:
		sto.gap = Gap{First: sto.machine.version + 1, Last: oldest - 1}
	default:
		sto.gap = Gap{}
	}
	if sto.machine.version >= next-1 {
		sto.caughtUp = true
	}
	sto.notify(before)
}

// adoptSnapshot adopts the last snapshot that covers all records before oldest, if there is one. The caller holds the
// lock.
func (sto *Store) adoptSnapshot(recs []Record, oldest int64) {
	for _, rec := range slices.Backward(recs) {
		ent, err := ParseEntry(rec.Data)
		if err != nil || ent.Snapshot == nil || ent.Snapshot.Upto < oldest-1 {
			continue
		}
		if sto.adopt(ent.Snapshot.State, ent.Snapshot.Upto) == nil {
			return
		}
	}
}

// adopt replaces the state by a newer snapshot. The caller holds the lock.
func (sto *Store) adopt(raw []byte, upto int64) error {
	mch, err := Decode(raw)
	if err != nil {
		return err
	}
	if mch.version != upto || mch.version <= sto.machine.version {
		return trace.CompareFailed("state: snapshot of version %d is not newer than version %d",
			mch.version, sto.machine.version)
	}
	sto.machine, sto.recent = mch, nil
	return nil
}

// apply applies a record and keeps its data for peers. The caller holds the lock.
func (sto *Store) apply(rec Record) error {
	if rec.Offset <= sto.machine.version {
		return nil
	}
	if err := sto.machine.Apply(rec); err != nil {
		return err
	}
	sto.recent = append(sto.recent, rec.Data)
	if len(sto.recent) > 2*maxRecent {
		sto.recent = slices.Clone(sto.recent[len(sto.recent)-maxRecent:])
	}
	return nil
}

// notify closes the channel returned by Changed if the version has increased. The caller holds the lock.
func (sto *Store) notify(before int64) {
	if sto.machine.version == before {
		return
	}
	close(sto.changed)
	sto.changed = make(chan struct{})
}

// Request returns the message that requests from a peer what follows this store's version.
func (sto *Store) Request() proto.State { return proto.State{From: sto.Version()} }

// IsRequest reports whether a state message is a request rather than an answer.
func IsRequest(msg proto.State) bool { return len(msg.Snapshot) == 0 && len(msg.Records) == 0 }

// Answer returns the message that brings a peer up to date from the given version: the records since then if the store
// still has all of them, and the whole state otherwise. The result ok is false if the store has nothing newer.
func (sto *Store) Answer(from int64) (msg proto.State, ok bool, err error) {
	sto.mu.RLock()
	defer sto.mu.RUnlock()
	behind := sto.machine.version - from
	if behind <= 0 {
		return proto.State{}, false, nil
	}
	msg = proto.State{From: from, Upto: sto.machine.version}
	if behind <= int64(min(len(sto.recent), maxRecent)) {
		msg.Records = slices.Clone(sto.recent[len(sto.recent)-int(behind):])
		return msg, true, nil
	}
	if msg.Snapshot, err = sto.machine.Encode(); err != nil {
		return proto.State{}, false, fmt.Errorf("state: answer request: %w", err)
	}
	return msg, true, nil
}

// Merge applies a peer's answer. It returns a trace.CompareFailed error for a snapshot that is not newer and for
// records that leave a gap; the store then keeps its state.
func (sto *Store) Merge(msg proto.State) error {
	sto.mu.Lock()
	defer sto.mu.Unlock()
	before := sto.machine.version
	defer func() {
		if sto.machine.version >= sto.gap.Last {
			sto.gap = Gap{}
		}
		sto.notify(before)
	}()
	if len(msg.Snapshot) > 0 {
		return sto.adopt(msg.Snapshot, msg.Upto)
	}
	for idx, raw := range msg.Records {
		if err := sto.apply(Record{Offset: msg.From + 1 + int64(idx), Data: raw}); err != nil {
			return err
		}
	}
	return nil
}
