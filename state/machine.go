package state

import (
	"fmt"
	"maps"

	"github.com/gravitational/trace"

	"github.com/tarragonwheel/tarragonwheel/crash"
	"github.com/tarragonwheel/tarragonwheel/proto"
)

// Bounds of the state. All processes must use the same values, because the result of applying the records depends on
// them.
const (
	maxHistory    = 100  // confirms kept
	maxChanges    = 2000 // changes kept over all confirms
	maxRemoved    = 1000 // removed objects whose versions are kept
	MaxOperations = 500  // operations of one confirm; keeps history and snapshot below the log's record size
)

// Object is a configured object and the confirm that last changed it.
type Object struct {
	Value    Value  `cbor:"1,keyasint" json:"value"`
	Version  int64  `cbor:"2,keyasint" json:"version"` // offset of the record that last changed it
	Operator string `cbor:"3,keyasint" json:"operator"`
	At       int64  `cbor:"4,keyasint" json:"at"` // milliseconds since the epoch
	Plan     string `cbor:"5,keyasint" json:"plan"`
}

// Change is one operation of a confirm that took effect.
type Change struct {
	Key    Key   `cbor:"1,keyasint" json:"object"`
	Before Value `cbor:"2,keyasint" json:"before"`
	After  Value `cbor:"3,keyasint" json:"after"`
}

// Conflict is an object that has changed since a plan was made, with the operator and the plan that changed it.
type Conflict struct {
	Key      Key    `cbor:"1,keyasint" json:"object"`
	Planned  int64  `cbor:"2,keyasint" json:"planned-from"` // version from which the plan was made
	Version  int64  `cbor:"3,keyasint" json:"version"`
	Operator string `cbor:"4,keyasint" json:"operator"`
	Plan     string `cbor:"5,keyasint" json:"plan"`
}

// ConfirmResult is a confirm in the history and its result. It took effect if Reason is empty.
type ConfirmResult struct {
	Offset    int64      `cbor:"1,keyasint" json:"version"`
	Record    string     `cbor:"2,keyasint" json:"record"` // ID of the record
	Plan      string     `cbor:"3,keyasint" json:"plan"`
	Operator  string     `cbor:"4,keyasint" json:"operator"`
	At        int64      `cbor:"5,keyasint" json:"at"` // milliseconds since the epoch
	Reason    string     `cbor:"6,keyasint,omitempty" json:"reason,omitempty"`
	Changes   []Change   `cbor:"7,keyasint,omitempty" json:"changes,omitempty"`
	Conflicts []Conflict `cbor:"8,keyasint,omitempty" json:"conflicts,omitempty"`
}

// Reasons why a confirm has no effect.
const (
	ReasonConflict  = "objects-have-moved"
	ReasonMalformed = "malformed-plan"
)

// DutyClaim is the last effective claim of a duty. Its offset is the fencing token.
type DutyClaim struct {
	Claim  Claim `cbor:"1,keyasint" json:"claim"`
	Offset int64 `cbor:"2,keyasint" json:"token"`
}

// LastSnapshot is the last snapshot that the holder of DutySnapshot has written to the log.
type LastSnapshot struct {
	Offset int64 `cbor:"1,keyasint"` // of its record
	Upto   int64 `cbor:"2,keyasint"` // last record that it covers
	At     int64 `cbor:"3,keyasint"` // milliseconds since the epoch
}

// Machine is a state machine that applies the records of the config stream in order. It is not safe for concurrent use;
// see Store.
type Machine struct {
	version        int64
	objects        map[Key]Object
	removed        []Key // objects that no longer exist, oldest removal first; their versions are kept in objects
	trimmedVersion int64 // highest version of a removed object that is no longer kept
	history        []ConfirmResult
	duties         map[string]DutyClaim
	lastSnapshot   LastSnapshot
	attribution    crash.Attribution

	placements map[string]Placement // by upstream

	accounts int // number of accounts that exist
}

// encodedMachine is the content of a snapshot.
type encodedMachine struct {
	Version        int64                `cbor:"1,keyasint"`
	Objects        map[Key]Object       `cbor:"2,keyasint"`
	Removed        []Key                `cbor:"3,keyasint"`
	TrimmedVersion int64                `cbor:"4,keyasint"`
	History        []ConfirmResult      `cbor:"5,keyasint"`
	Duties         map[string]DutyClaim `cbor:"6,keyasint"`
	LastSnapshot   LastSnapshot         `cbor:"7,keyasint"`
	Attribution    *crash.Attribution   `cbor:"8,keyasint,omitempty"` // nil if it is empty

	Placements map[string]Placement `cbor:"9,keyasint,omitempty"`
}

// NewMachine returns the state before the first record.
func NewMachine() *Machine {
	return &Machine{
		objects: make(map[Key]Object), duties: make(map[string]DutyClaim), placements: make(map[string]Placement),
	}
}

// Version returns the offset of the last record applied.
func (mch *Machine) Version() int64 { return mch.version }

// Encode returns the state as a compressed snapshot. The encoding is deterministic: equal states have equal bytes.
func (mch *Machine) Encode() ([]byte, error) {
	enc := encodedMachine{
		Version: mch.version, Objects: mch.objects, Removed: mch.removed, TrimmedVersion: mch.trimmedVersion,
		History: mch.history, Duties: mch.duties, LastSnapshot: mch.lastSnapshot, Placements: mch.placements,
	}
	if !mch.attribution.Empty() {
		enc.Attribution = &mch.attribution
	}
	raw, err := proto.Marshal(enc)
	if err != nil {
		return nil, err
	}
	return pack(raw)
}

// Decode returns the state of a snapshot written by Encode. It returns a trace.BadParameter error for invalid bytes.
func Decode(packed []byte) (*Machine, error) {
	raw, err := unpack(packed)
	if err != nil {
		return nil, err
	}
	var enc encodedMachine
	if err := proto.Unmarshal(raw, &enc); err != nil {
		return nil, fmt.Errorf("state: decode snapshot: %w", err)
	}
	mch := NewMachine()
	mch.version, mch.trimmedVersion, mch.lastSnapshot = enc.Version, enc.TrimmedVersion, enc.LastSnapshot
	mch.removed, mch.history = enc.Removed, enc.History
	if enc.Attribution != nil {
		mch.attribution = *enc.Attribution
	}
	names := make(map[string]string) // interned, because operators and plans are the same for many objects
	intern := func(text string) string {
		if old, ok := names[text]; ok {
			return old
		}
		names[text] = text
		return text
	}
	for key, obj := range enc.Objects {
		obj.Operator, obj.Plan, key.Kind = intern(obj.Operator), intern(obj.Plan), Kind(intern(string(key.Kind)))
		mch.objects[key] = obj
		if obj.Value.Account != nil {
			mch.accounts++
		}
	}
	maps.Copy(mch.duties, enc.Duties)
	for name, pla := range enc.Placements {
		pla.Model, pla.Version = intern(pla.Model), intern(pla.Version)
		mch.placements[name] = pla
	}
	return mch, nil
}

// Apply applies the record that follows the state's version. A record that was applied before has no effect. For a
// later record, Apply returns a trace.CompareFailed error and changes nothing, since the records in between are
// missing. A record that cannot be parsed only advances the version, the same on every process.
func (mch *Machine) Apply(rec Record) error {
	if rec.Offset <= mch.version {
		return nil
	}
	if rec.Offset != mch.version+1 {
		return trace.CompareFailed("state: record %d does not follow version %d", rec.Offset, mch.version)
	}
	mch.version = rec.Offset
	if ent, err := ParseEntry(rec.Data); err == nil {
		mch.applyEntry(rec.Offset, ent)
	}
	return nil
}

func (mch *Machine) applyEntry(offset int64, ent Entry) {
	switch {
	case ent.Confirm != nil:
		mch.applyConfirm(offset, ent.ID, *ent.Confirm)
	case ent.Claim != nil:
		if cla := *ent.Claim; mch.duties[cla.Duty].Offset == cla.Previous {
			mch.duties[cla.Duty] = DutyClaim{Claim: cla, Offset: offset}
		}
	case ent.Snapshot != nil:
		mch.recordSnapshot(offset, *ent.Snapshot)
	case ent.Step != nil:
		mch.applyStep(offset, *ent.Step)
	case ent.StepEnd != nil:
		mch.applyStepEnd(*ent.StepEnd)
	default:
		mch.applyCrashEntry(ent)
	}
}

// recordSnapshot records that a snapshot was written. It ignores the snapshot of a writer that no longer holds the
// duty, so that a delayed snapshot never postpones the next one.
func (mch *Machine) recordSnapshot(offset int64, snp Snapshot) {
	if snp.Fence != mch.duties[DutySnapshot].Offset || snp.Upto < mch.lastSnapshot.Upto || snp.Upto >= offset {
		return
	}
	mch.lastSnapshot = LastSnapshot{Offset: offset, Upto: snp.Upto, At: snp.At}
}
