package peers

import (
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/tarragonwheel/tarragonwheel/fleet"
)

// message is one datagram. Its size is paid for, so that a change of a known work is sent as a move.
type message struct {
	_       struct{} `cbor:",toarray"`
	Name    string   // of the sending process; empty with changes
	Run     uint32   // differs between runs of a process, whose works end with it
	Items   []item
	Moves   []move
	Crashes []uint64 // fingerprints of calls at whose start replicas broke off
}

// move is a change of a work whose item was sent before.
type move struct {
	_       struct{} `cbor:",toarray"`
	Replica uint32
	ID      uint32
	Flags   uint8
}

// item is a work at a replica. Times are spans, since clocks of processes differ.
type item struct {
	_       struct{} `cbor:",toarray"`
	Replica uint32
	ID      uint32
	Flags   uint8
	Tokens  int
	ReadMs  int64
	GapMs   int64
	GoalMs  int64 // from the beginning of the work; 0 for none
	AgeMs   int64 // since the beginning of the work
	Tenths  int   // of its value
}

// Flags of an item.
const (
	flagWriting = 1 << iota
	flagPart
	flagLate
	flagEnded
	flagAhead
)

func toItem(rem fleet.RemoteTask, now time.Time) item {
	wrk := &rem.Task
	itm := item{
		Replica: rem.Replica, ID: wrk.ID, Flags: flagsOf(rem), Tokens: wrk.KVTokens,
		ReadMs: wrk.PrefillTime.Milliseconds(),
		GapMs:  wrk.GapTarget.Milliseconds(), AgeMs: now.Sub(wrk.StartedAt).Milliseconds(), Tenths: int(wrk.Value * 10),
	}
	if !wrk.DueAt.IsZero() {
		itm.GoalMs = wrk.DueAt.Sub(wrk.StartedAt).Milliseconds()
	}
	return itm
}

func flagsOf(rem fleet.RemoteTask) (flags uint8) {
	wrk := &rem.Task
	for _, flg := range []struct {
		bit uint8
		set bool
	}{
		{flagWriting, wrk.Phase == fleet.Decode},
		{flagPart, wrk.IsPart},
		{flagLate, wrk.TargetMissed},
		{flagEnded, rem.Ended},
		{flagAhead, wrk.SplitPrompt},
	} {
		if flg.set {
			flags |= flg.bit
		}
	}
	return flags
}

func (itm *item) work(now time.Time) fleet.RemoteTask {
	wrk := fleet.Task{
		ID: itm.ID, KVTokens: itm.Tokens, PrefillTime: time.Duration(itm.ReadMs) * time.Millisecond,
		GapTarget: time.Duration(itm.GapMs) * time.Millisecond, Value: float64(itm.Tenths) / 10,
		IsPart: itm.Flags&flagPart != 0, TargetMissed: itm.Flags&flagLate != 0,
		SplitPrompt: itm.Flags&flagAhead != 0,
		StartedAt:   now.Add(-time.Duration(itm.AgeMs) * time.Millisecond),
	}
	if itm.Flags&flagWriting != 0 {
		wrk.Phase = fleet.Decode
	}
	if itm.GoalMs != 0 {
		wrk.DueAt = wrk.StartedAt.Add(time.Duration(itm.GoalMs) * time.Millisecond)
	}
	return fleet.RemoteTask{Replica: itm.Replica, Task: wrk, Ended: itm.Flags&flagEnded != 0}
}

// work returns the work of a move, of which only the stage, lateness and end are known.
func (mov *move) work() fleet.RemoteTask {
	rem := fleet.RemoteTask{Replica: mov.Replica, Ended: mov.Flags&flagEnded != 0, ProgressOnly: true}
	rem.Task.ID, rem.Task.TargetMissed = mov.ID, mov.Flags&flagLate != 0
	if mov.Flags&flagWriting != 0 {
		rem.Task.Phase = fleet.Decode
	}
	return rem
}

// split returns the messages for a list of works, each small enough for one packet. They may arrive in any order.
func split(msg message, list []fleet.RemoteTask, now time.Time) []message {
	var out []message
	for first := true; first || len(list) > 0; first = false {
		num := min(len(list), mostItems)
		part := message{Name: msg.Name, Run: msg.Run}
		if first {
			part.Crashes = msg.Crashes
		}
		for _, rem := range list[:num] {
			if rem.ProgressOnly {
				part.Moves = append(part.Moves, move{Replica: rem.Replica, ID: rem.Task.ID, Flags: flagsOf(rem)})
			} else {
				part.Items = append(part.Items, toItem(rem, now))
			}
		}
		list = list[num:]
		out = append(out, part)
	}
	return out
}

func encode(msg *message) ([]byte, error) {
	raw, err := cbor.Marshal(msg)
	if err != nil {
		return nil, fmt.Errorf("peers: encode: %w", err)
	}
	return raw, nil
}

func decode(raw []byte) (message, error) {
	var msg message
	if err := cbor.Unmarshal(raw, &msg); err != nil {
		return message{}, fmt.Errorf("peers: decode: %w", err)
	}
	return msg, nil
}
