package peers

import (
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/tarragonwheel/tarragonwheel/fleet"
)

// message is the content of a datagram. Traffic between processes costs money, so fields that are not used are left
// out, and a change of a task that the peers have already received is sent as a progressUpdate, which is smaller than a
// taskUpdate.
type message struct {
	RunID      uint32           `cbor:"1,keyasint"` // random number of the sender's run; earlier runs have ended
	Name       string           `cbor:"2,keyasint,omitempty"`
	DataCentre string           `cbor:"3,keyasint,omitempty"` // of the sender; sent together with the name
	Tasks      []taskUpdate     `cbor:"4,keyasint,omitempty"`
	Progress   []progressUpdate `cbor:"5,keyasint,omitempty"`
	// Earlier versions used key 6.
	ConfigVersion int64            `cbor:"7,keyasint,omitempty"` // that is active at the sender
	Summaries     []replicaSummary `cbor:"8,keyasint,omitempty"` // of replicas in the sender's cell
	Live          int              `cbor:"9,keyasint,omitempty"` // processes in the sender's data centre
	Digest        *storeDigest     `cbor:"10,keyasint,omitempty"`
	StoreAnswers  bool             `cbor:"11,keyasint,omitempty"` // again, after an outage
	Crashes       []crashReport    `cbor:"12,keyasint,omitempty"`
	Answers       []answer         `cbor:"13,keyasint,omitempty"` // of calls that had been suspected
	Leaving       []leavingNotice  `cbor:"14,keyasint,omitempty"` // replicas that say that they leave
	StoreEra      int64            `cbor:"15,keyasint,omitempty"` // that of the digest, or the last one known
	ConfigRequest *configRequest   `cbor:"16,keyasint,omitempty"`
	ConfigPart    *configPart      `cbor:"17,keyasint,omitempty"`
	LateCrashes   []crashReport    `cbor:"18,keyasint,omitempty"` // of calls whose answers had advanced
	Progressing   []answer         `cbor:"19,keyasint,omitempty"` // answers that are not complete
	Evacuations   *evacuationState `cbor:"20,keyasint,omitempty"`
	Stopped       bool             `cbor:"21,keyasint,omitempty"` // the sender sends no more calls to replicas
	Cold          []coldReplica    `cbor:"22,keyasint,omitempty"` // replicas that say that they are cold
}

// replicaSummary is a fleet.Summary.
type replicaSummary struct {
	_                  struct{} `cbor:",toarray"`
	Replica            uint32
	Calls              int
	ShortCalls         int
	DecodeStreams      int
	DecodeTokens       int
	KVTokens           int
	PrefillBacklogMs   int64
	SplitBacklogMs     int64
	DecodeValueTenths  int
	GapTargetMs        int64
	PrefillValueTenths int
	FirstEventDueInMs  int64
}

func toReplicaSummary(sum *fleet.Summary) replicaSummary {
	return replicaSummary{
		Replica: sum.Replica, Calls: sum.Calls, ShortCalls: sum.ShortCalls, DecodeStreams: sum.DecodeStreams,
		DecodeTokens: sum.DecodeTokens, KVTokens: sum.KVTokens, PrefillBacklogMs: sum.PrefillBacklog.Milliseconds(),
		SplitBacklogMs: sum.SplitBacklog.Milliseconds(), DecodeValueTenths: int(sum.DecodeValue * 10),
		GapTargetMs: sum.GapTarget.Milliseconds(), PrefillValueTenths: int(sum.PrefillValue * 10),
		FirstEventDueInMs: sum.DueIn.Milliseconds(),
	}
}

func (rsm *replicaSummary) toSummary() fleet.Summary {
	return fleet.Summary{
		Replica: rsm.Replica, Calls: toCount(rsm.Calls), ShortCalls: toCount(rsm.ShortCalls),
		DecodeStreams: toCount(rsm.DecodeStreams), DecodeTokens: toCount(rsm.DecodeTokens),
		KVTokens: toCount(rsm.KVTokens), PrefillBacklog: toDuration(rsm.PrefillBacklogMs),
		SplitBacklog: toDuration(rsm.SplitBacklogMs), DecodeValue: float64(toCount(rsm.DecodeValueTenths)) / 10,
		GapTarget: toDuration(rsm.GapTargetMs), PrefillValue: float64(toCount(rsm.PrefillValueTenths)) / 10,
		DueIn: toDuration(rsm.FirstEventDueInMs),
	}
}

// progressUpdate is a change of a task for which a taskUpdate was sent before.
type progressUpdate struct {
	_       struct{} `cbor:",toarray"`
	Replica uint32
	ID      uint32
	Flags   uint8
}

// taskUpdate describes a task at a replica. Times are sent as durations, since the clocks of processes differ.
type taskUpdate struct {
	_           struct{} `cbor:",toarray"`
	Replica     uint32
	ID          uint32
	Flags       uint8
	KVTokens    int
	PrefillMs   int64
	GapTargetMs int64
	DueMs       int64 // from the start of the task until its first event is due; 0 for none
	ExpectedMs  int64 // from the start of the task until its first event is predicted; 0 for none
	AgeMs       int64 // since the start of the task
	ValueTenths int   // tenths of a unit of value
}

// Flags of a taskUpdate or progressUpdate.
const (
	flagDecode = 1 << iota
	flagPart
	flagTargetMissed
	flagEnded
	flagSplitPrompt
)

// toTaskUpdate describes a task for other processes.
func toTaskUpdate(rem fleet.RemoteTask, now time.Time) taskUpdate {
	tsk := &rem.Task
	upd := taskUpdate{
		Replica: rem.Replica, ID: tsk.ID, Flags: taskFlags(rem), KVTokens: tsk.KVTokens,
		PrefillMs:   tsk.PrefillTime.Milliseconds(),
		GapTargetMs: tsk.GapTarget.Milliseconds(), AgeMs: now.Sub(tsk.StartedAt).Milliseconds(),
		ValueTenths: int(tsk.Value * 10),
	}
	if !tsk.DueAt.IsZero() {
		upd.DueMs = tsk.DueAt.Sub(tsk.StartedAt).Milliseconds()
	}
	if !tsk.ExpectedAt.IsZero() {
		upd.ExpectedMs = tsk.ExpectedAt.Sub(tsk.StartedAt).Milliseconds()
	}
	return upd
}

func taskFlags(rem fleet.RemoteTask) (flags uint8) {
	tsk := &rem.Task
	for _, flg := range []struct {
		bit uint8
		set bool
	}{
		{flagDecode, tsk.Phase == fleet.Decode},
		{flagPart, tsk.IsPart},
		{flagTargetMissed, tsk.TargetMissed},
		{flagEnded, rem.Ended},
		{flagSplitPrompt, tsk.SplitPrompt},
	} {
		if flg.set {
			flags |= flg.bit
		}
	}
	return flags
}

// toRemoteTask returns the described task, with times on this process's clock.
func (upd *taskUpdate) toRemoteTask(now time.Time) fleet.RemoteTask {
	tsk := fleet.Task{
		ID: upd.ID, KVTokens: toCount(upd.KVTokens), PrefillTime: toDuration(upd.PrefillMs),
		GapTarget: toDuration(upd.GapTargetMs), Value: float64(toCount(upd.ValueTenths)) / 10,
		IsPart: upd.Flags&flagPart != 0, TargetMissed: upd.Flags&flagTargetMissed != 0,
		SplitPrompt: upd.Flags&flagSplitPrompt != 0,
		StartedAt:   now.Add(-toDuration(upd.AgeMs)),
	}
	if upd.Flags&flagDecode != 0 {
		tsk.Phase = fleet.Decode
	}
	if upd.DueMs != 0 {
		tsk.DueAt = tsk.StartedAt.Add(toOffset(upd.DueMs))
	}
	if upd.ExpectedMs != 0 {
		tsk.ExpectedAt = tsk.StartedAt.Add(toOffset(upd.ExpectedMs))
	}
	return fleet.RemoteTask{Replica: upd.Replica, Task: tsk, Ended: upd.Flags&flagEnded != 0}
}

// toRemoteTask returns the change of a task, of which only the phase, the missed target and the end are known.
func (upd *progressUpdate) toRemoteTask() fleet.RemoteTask {
	rem := fleet.RemoteTask{Replica: upd.Replica, Ended: upd.Flags&flagEnded != 0, ProgressOnly: true}
	rem.Task.ID, rem.Task.TargetMissed = upd.ID, upd.Flags&flagTargetMissed != 0
	if upd.Flags&flagDecode != 0 {
		rem.Task.Phase = fleet.Decode
	}
	return rem
}

// splitMessage distributes tasks over copies of msg, each small enough for one packet. They may arrive in any order.
func splitMessage(msg message, tasks []fleet.RemoteTask, now time.Time) []message {
	var out []message
	for first := true; first || len(tasks) > 0; first = false {
		num := min(len(tasks), maxTasksPerMessage)
		part := msg
		for _, rem := range tasks[:num] {
			if rem.ProgressOnly {
				part.Progress = append(part.Progress,
					progressUpdate{Replica: rem.Replica, ID: rem.Task.ID, Flags: taskFlags(rem)})
			} else {
				part.Tasks = append(part.Tasks, toTaskUpdate(rem, now))
			}
		}
		tasks = tasks[num:]
		out = append(out, part)
	}
	return out
}

func encode(msg *message) ([]byte, error) {
	raw, err := cbor.Marshal(msg)
	if err != nil {
		return nil, fmt.Errorf("peers: encode message: %w", err)
	}
	return raw, nil
}

func decode(raw []byte) (message, error) {
	var msg message
	if err := cbor.Unmarshal(raw, &msg); err != nil {
		return message{}, fmt.Errorf("peers: decode message: %w", err)
	}
	return msg, nil
}
