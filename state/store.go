package state

import (
	"fmt"
	"slices"
	"sync"

	"github.com/gravitational/trace"

	"github.com/tarragonwheel/tarragonwheel/proto"
)

const (
	// DutySnapshot is the duty of republishing the snapshot.
	DutySnapshot = "snapshot"
	// maxTail is the number of records kept for processes that are a little behind. Others get the whole state.
	maxTail = 256
)

// Gap is a range of records that can no longer be read. The state stays at the version before it.
type Gap struct {
	First int64 `json:"first"`
	Last  int64 `json:"last"`
}

// Store holds the newest state that a process has. It is safe for concurrent use.
type Store struct {
	mu      sync.RWMutex
	fold    *Fold
	tail    [][]byte // data of the last records, up to the fold's version
	current bool
	gap     Gap
	changed chan struct{} // closed and replaced on each change of version
}

// NewStore returns a Store that has no state yet.
func NewStore() *Store {
	return &Store{fold: NewFold(), changed: make(chan struct{})}
}

// Version returns the offset of the last record folded. It never falls.
func (sto *Store) Version() int64 {
	sto.mu.RLock()
	defer sto.mu.RUnlock()
	return sto.fold.version
}

// Changed returns a channel that is closed when the version rises.
func (sto *Store) Changed() <-chan struct{} {
	sto.mu.RLock()
	defer sto.mu.RUnlock()
	return sto.changed
}

// Ready tells whether the store holds a state: some records, or the knowledge that there are none.
func (sto *Store) Ready() bool {
	sto.mu.RLock()
	defer sto.mu.RUnlock()
	return sto.current || sto.fold.version > 0
}

// Gap returns the records that were lost before they could be read; ok is false if there are none.
func (sto *Store) Gap() (gap Gap, ok bool) {
	sto.mu.RLock()
	defer sto.mu.RUnlock()
	return sto.gap, sto.gap != Gap{}
}

// Read folds records read from the log. Oldest is the offset of the oldest record that the log keeps, and next the
// offset of its next append. If records before oldest are missing, Read looks for a snapshot that covers them, adopts
// it and returns; the caller reads on from Version()+1. Without one the gap is kept for Gap, and the state stays as
// it is. The caller passes all records from oldest on, until one of them closes the gap.
func (sto *Store) Read(recs []Record, oldest, next int64) {
	sto.mu.Lock()
	defer sto.mu.Unlock()
	before := sto.fold.version
	if before < oldest-1 {
		sto.adoptCovering(recs, oldest)
	} else {
		for _, rec := range recs {
			if sto.apply(rec) != nil {
				break
			}
		}
	}
	switch {
	case sto.fold.version < oldest-1:
		sto.gap = Gap{First: sto.fold.version + 1, Last: oldest - 1}
	default:
		sto.gap = Gap{}
	}
	if sto.fold.version >= next-1 {
		sto.current = true
	}
	sto.notify(before)
}

func (sto *Store) adoptCovering(recs []Record, oldest int64) {
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

// adopt replaces the state by a newer one. The caller holds the lock.
func (sto *Store) adopt(raw []byte, upto int64) error {
	fol, err := Decode(raw)
	if err != nil {
		return err
	}
	if fol.version != upto || fol.version <= sto.fold.version {
		return trace.CompareFailed("state: snapshot of version %d is not newer than %d", fol.version, sto.fold.version)
	}
	sto.fold, sto.tail = fol, nil
	return nil
}

func (sto *Store) apply(rec Record) error {
	if rec.Offset <= sto.fold.version {
		return nil
	}
	if err := sto.fold.Apply(rec); err != nil {
		return err
	}
	sto.tail = append(sto.tail, rec.Data)
	if len(sto.tail) > 2*maxTail {
		sto.tail = slices.Clone(sto.tail[len(sto.tail)-maxTail:])
	}
	return nil
}

// notify wakes subscribers if the version has risen. The caller holds the lock.
func (sto *Store) notify(before int64) {
	if sto.fold.version == before {
		return
	}
	close(sto.changed)
	sto.changed = make(chan struct{})
}

// Ask returns the message that asks a peer for what follows this store's version.
func (sto *Store) Ask() proto.State { return proto.State{From: sto.Version()} }

// IsAsk tells a request for state from an answer.
func IsAsk(msg proto.State) bool { return len(msg.Snapshot) == 0 && len(msg.Records) == 0 }

// Answer returns what follows version from: records if the store still has all of them, the whole state otherwise. The
// result ok is false if the store has nothing newer.
func (sto *Store) Answer(from int64) (msg proto.State, ok bool, err error) {
	sto.mu.RLock()
	defer sto.mu.RUnlock()
	behind := sto.fold.version - from
	if behind <= 0 {
		return proto.State{}, false, nil
	}
	msg = proto.State{From: from, Upto: sto.fold.version}
	if behind <= int64(min(len(sto.tail), maxTail)) {
		msg.Records = slices.Clone(sto.tail[len(sto.tail)-int(behind):])
		return msg, true, nil
	}
	if msg.Snapshot, err = sto.fold.Encode(); err != nil {
		return proto.State{}, false, fmt.Errorf("state: answer: %w", err)
	}
	return msg, true, nil
}

// Merge takes a peer's answer. It returns a trace.CompareFailed error for an answer that is not newer or that leaves a
// gap; the store then keeps its state.
func (sto *Store) Merge(msg proto.State) error {
	sto.mu.Lock()
	defer sto.mu.Unlock()
	before := sto.fold.version
	defer func() {
		if sto.fold.version >= sto.gap.Last {
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
