package state

import (
	"fmt"
	"maps"

	"github.com/gravitational/trace"

	"github.com/tarragonwheel/tarragonwheel/crash"
	"github.com/tarragonwheel/tarragonwheel/proto"
)

// Bounds of the state. They are part of the fold: all processes must use the same.
const (
	maxHistory    = 100  // confirms kept
	maxChanges    = 2000 // changes kept over all confirms
	maxRemoved    = 1000 // versions of removed objects kept
	MaxOperations = 500  // operations of one confirm; keeps history and snapshot below the log's record size
)

// Object is a configured object with its origin.
type Object struct {
	Value    Value  `cbor:"1,keyasint" json:"value"`
	Version  int64  `cbor:"2,keyasint" json:"version"` // offset of the record that last changed it
	Operator string `cbor:"3,keyasint" json:"operator"`
	At       int64  `cbor:"4,keyasint" json:"at"`
	Plan     string `cbor:"5,keyasint" json:"plan"`
}

// Change is one operation of a confirm that took effect.
type Change struct {
	Key    Key   `cbor:"1,keyasint" json:"object"`
	Before Value `cbor:"2,keyasint" json:"before"`
	After  Value `cbor:"3,keyasint" json:"after"`
}

// Conflict is an object that has changed since a plan was made, and who changed it.
type Conflict struct {
	Key      Key    `cbor:"1,keyasint" json:"object"`
	Planned  int64  `cbor:"2,keyasint" json:"planned-from"`
	Version  int64  `cbor:"3,keyasint" json:"version"`
	Operator string `cbor:"4,keyasint" json:"operator"`
	Plan     string `cbor:"5,keyasint" json:"plan"`
}

// Past is a confirm in the history. It took effect if Reason is empty.
type Past struct {
	Offset    int64      `cbor:"1,keyasint" json:"version"`
	Record    string     `cbor:"2,keyasint" json:"record"`
	Plan      string     `cbor:"3,keyasint" json:"plan"`
	Operator  string     `cbor:"4,keyasint" json:"operator"`
	At        int64      `cbor:"5,keyasint" json:"at"`
	Reason    string     `cbor:"6,keyasint,omitempty" json:"reason,omitempty"`
	Changes   []Change   `cbor:"7,keyasint,omitempty" json:"changes,omitempty"`
	Conflicts []Conflict `cbor:"8,keyasint,omitempty" json:"conflicts,omitempty"`
}

// Reasons for which a confirm has no effect.
const (
	ReasonMoved     = "objects-have-moved"
	ReasonMalformed = "malformed-plan"
)

// Holding is the last effective claim of a duty. Its offset is the fencing token.
type Holding struct {
	Claim  Claim `cbor:"1,keyasint" json:"claim"`
	Offset int64 `cbor:"2,keyasint" json:"token"`
}

// Mark is the last snapshot that counts for the duty of republishing.
type Mark struct {
	Offset int64 `cbor:"1,keyasint"`
	Upto   int64 `cbor:"2,keyasint"`
	At     int64 `cbor:"3,keyasint"`
}

// Fold is the state after a number of records. It is not safe for concurrent use; see Store.
type Fold struct {
	version int64
	objects map[Key]Object
	removed []Key // objects that no longer exist, oldest removal first; their versions are kept in objects
	floor   int64 // highest version of a removed object that was forgotten
	history []Past
	duties  map[string]Holding
	mark    Mark
	blame   crash.Attribution

	placements map[string]Placement // by upstream

	accounts int // number of accounts that exist
}

type encoded struct {
	Version int64              `cbor:"1,keyasint"`
	Objects map[Key]Object     `cbor:"2,keyasint"`
	Removed []Key              `cbor:"3,keyasint"`
	Floor   int64              `cbor:"4,keyasint"`
	History []Past             `cbor:"5,keyasint"`
	Duties  map[string]Holding `cbor:"6,keyasint"`
	Mark    Mark               `cbor:"7,keyasint"`
	Blame   *crash.Attribution `cbor:"8,keyasint,omitempty"` // absent while it is empty

	Placements map[string]Placement `cbor:"9,keyasint,omitempty"`
}

// NewFold returns the state before the first record.
func NewFold() *Fold {
	return &Fold{
		objects: make(map[Key]Object), duties: make(map[string]Holding), placements: make(map[string]Placement),
	}
}

// Version returns the offset of the last record folded.
func (fol *Fold) Version() int64 { return fol.version }

// Encode returns the state in compressed, deterministic CBOR: equal states have equal bytes.
func (fol *Fold) Encode() ([]byte, error) {
	enc := encoded{
		Version: fol.version, Objects: fol.objects, Removed: fol.removed, Floor: fol.floor, History: fol.history,
		Duties: fol.duties, Mark: fol.mark, Placements: fol.placements,
	}
	if !fol.blame.Empty() {
		enc.Blame = &fol.blame
	}
	raw, err := proto.Marshal(enc)
	if err != nil {
		return nil, err
	}
	return pack(raw)
}

// Decode returns the state that Encode has written.
func Decode(packed []byte) (*Fold, error) {
	raw, err := unpack(packed)
	if err != nil {
		return nil, err
	}
	var enc encoded
	if err := proto.Unmarshal(raw, &enc); err != nil {
		return nil, fmt.Errorf("state: decode: %w", err)
	}
	fol := NewFold()
	fol.version, fol.floor, fol.mark = enc.Version, enc.Floor, enc.Mark
	fol.removed, fol.history = enc.Removed, enc.History
	if enc.Blame != nil {
		fol.blame = *enc.Blame
	}
	names := make(map[string]string) // operators and plans repeat over many objects
	share := func(text string) string {
		if old, ok := names[text]; ok {
			return old
		}
		names[text] = text
		return text
	}
	for key, obj := range enc.Objects {
		obj.Operator, obj.Plan, key.Kind = share(obj.Operator), share(obj.Plan), Kind(share(string(key.Kind)))
		fol.objects[key] = obj
		if obj.Value.Account != nil {
			fol.accounts++
		}
	}
	maps.Copy(fol.duties, enc.Duties)
	for name, pla := range enc.Placements {
		pla.Model, pla.Version = share(pla.Model), share(pla.Version)
		fol.placements[name] = pla
	}
	return fol, nil
}

// Apply folds the record that follows the state's version. A record that is folded already has no effect. A later one
// gives a trace.CompareFailed error and changes nothing, since the records between have not been seen. A record that
// cannot be parsed takes up its offset and has no other effect, the same on every process.
func (fol *Fold) Apply(rec Record) error {
	if rec.Offset <= fol.version {
		return nil
	}
	if rec.Offset != fol.version+1 {
		return trace.CompareFailed("state: record %d does not follow version %d", rec.Offset, fol.version)
	}
	fol.version = rec.Offset
	if ent, err := ParseEntry(rec.Data); err == nil {
		fol.take(rec.Offset, ent)
	}
	return nil
}

func (fol *Fold) take(offset int64, ent Entry) {
	switch {
	case ent.Confirm != nil:
		fol.confirm(offset, ent.ID, *ent.Confirm)
	case ent.Claim != nil:
		if cla := *ent.Claim; fol.duties[cla.Duty].Offset == cla.Previous {
			fol.duties[cla.Duty] = Holding{Claim: cla, Offset: offset}
		}
	case ent.Snapshot != nil:
		fol.noteSnapshot(offset, *ent.Snapshot)
	case ent.Step != nil:
		fol.step(offset, *ent.Step)
	case ent.StepEnd != nil:
		fol.stepEnd(*ent.StepEnd)
	default:
		fol.takeBlame(ent)
	}
}

// noteSnapshot ignores the snapshot of a writer that no longer holds the duty, so that a delayed snapshot never
// postpones the next one.
func (fol *Fold) noteSnapshot(offset int64, snp Snapshot) {
	if snp.Fence != fol.duties[DutySnapshot].Offset || snp.Upto < fol.mark.Upto || snp.Upto >= offset {
		return
	}
	fol.mark = Mark{Offset: offset, Upto: snp.Upto, At: snp.At}
}
