// Package state holds the configuration that results from applying the records of the log's config stream in order.
// Applying is deterministic: every process that has applied the same records holds the same configuration. Processes
// read the records from the log or receive them from their peers, and skip old records with the help of snapshots.
package state

import (
	"fmt"
	"time"

	"github.com/gravitational/trace"

	"github.com/tarragonwheel/tarragonwheel/crash"
	"github.com/tarragonwheel/tarragonwheel/proto"
)

// Stream is the name of the log stream that holds the configuration.
const Stream = "config"

// Kind is the kind of a configured object.
type Kind string

// Kinds of objects.
const (
	KindAccount  Kind = "account"
	KindUpstream Kind = "upstream"
	KindStop     Kind = "planned-stop"
	KindModel    Kind = "model"
	KindService  Kind = "service"
)

// Key names an object. Objects of different kinds may share a name.
type Key struct {
	_    struct{} `cbor:",toarray"`
	Kind Kind     `json:"kind"`
	Name string   `json:"name"`
}

// NewKey returns the key of an object.
func NewKey(knd Kind, name string) Key { return Key{Kind: knd, Name: name} }

// String returns kind and name, separated by a space, as in the section headers that package intent reads.
func (key Key) String() string { return string(key.Kind) + " " + key.Name }

// Account is the configuration of a client account.
type Account struct {
	Models []string `cbor:"1,keyasint,omitempty" json:"models"`
	Limit  int      `cbor:"2,keyasint,omitempty" json:"limit"` // cost units per second; 0 for no limit
}

// Upstream is the configuration of a model engine or plain service.
type Upstream struct {
	Drained       bool `cbor:"1,keyasint,omitempty" json:"drained"`
	ChecksFencing bool `cbor:"2,keyasint,omitempty" json:"checks-fencing"`
}

// Stop is a planned stop of upstreams.
type Stop struct {
	Upstreams []string `cbor:"1,keyasint,omitempty" json:"upstreams"`
	At        int64    `cbor:"2,keyasint,omitempty" json:"at"` // seconds since the epoch
}

// Model is the desired version and replica count of a model.
type Model struct {
	Version  string `cbor:"1,keyasint,omitempty" json:"version"`
	Replicas int    `cbor:"2,keyasint,omitempty" json:"replicas"`
}

// Service is the configuration of a plain service. Retryable lists its idempotent calls as "METHOD path".
type Service struct {
	Retryable []string `cbor:"1,keyasint,omitempty" json:"repeatable"`
}

// Value is the content of an object. Only the field of its kind is set, or none for an object that is removed.
type Value struct {
	Account  *Account  `cbor:"1,keyasint,omitempty" json:"account,omitempty"`
	Upstream *Upstream `cbor:"2,keyasint,omitempty" json:"upstream,omitempty"`
	Stop     *Stop     `cbor:"3,keyasint,omitempty" json:"planned-stop,omitempty"`
	Model    *Model    `cbor:"4,keyasint,omitempty" json:"model,omitempty"`
	Service  *Service  `cbor:"5,keyasint,omitempty" json:"service,omitempty"`
}

// Absent reports whether the object does not exist.
func (val Value) Absent() bool { return val == Value{} }

// matches reports whether val is absent, or only the field of the given kind is set.
func (val Value) matches(knd Kind) bool {
	kinds := map[Kind]bool{
		KindAccount: val.Account != nil, KindUpstream: val.Upstream != nil, KindStop: val.Stop != nil,
		KindModel: val.Model != nil, KindService: val.Service != nil,
	}
	set := 0
	for _, has := range kinds {
		if has {
			set++
		}
	}
	return set == 0 || set == 1 && kinds[knd]
}

// Operation sets an object to a value, or removes it if the value is absent.
type Operation struct {
	Key   Key   `cbor:"1,keyasint" json:"object"`
	Value Value `cbor:"2,keyasint" json:"value"`
}

// Basis is an object and its version from which a plan was made; the version is 0 if the object had never existed.
type Basis struct {
	Key     Key   `cbor:"1,keyasint" json:"object"`
	Version int64 `cbor:"2,keyasint" json:"version"`
}

// Confirm makes a plan active if each object of its basis still has the version from which the plan was made.
type Confirm struct {
	Plan       string      `cbor:"1,keyasint" json:"plan"`
	Operator   string      `cbor:"2,keyasint" json:"operator"`
	At         int64       `cbor:"3,keyasint" json:"at"`           // milliseconds since the epoch
	From       int64       `cbor:"4,keyasint" json:"from-version"` // state version from which the plan was made
	Basis      []Basis     `cbor:"5,keyasint" json:"basis"`
	Operations []Operation `cbor:"6,keyasint" json:"operations"`
}

// Claim claims a duty: a role that one process holds at a time, such as writing snapshots. It takes effect if Previous
// is the offset of the duty's last effective claim, or 0 if there is none.
type Claim struct {
	Duty     string        `cbor:"1,keyasint" json:"duty"`
	Holder   string        `cbor:"2,keyasint" json:"holder"` // process name and incarnation
	Previous int64         `cbor:"3,keyasint" json:"previous"`
	Lease    time.Duration `cbor:"4,keyasint" json:"lease"`
}

// Snapshot is the whole state up to an offset.
type Snapshot struct {
	Upto  int64  `cbor:"1,keyasint"` // offset of the last record applied
	Fence int64  `cbor:"2,keyasint"` // offset of the writer's claim
	At    int64  `cbor:"3,keyasint"` // milliseconds since the epoch
	State []byte `cbor:"4,keyasint"` // as returned by Machine.Encode
}

// Entry is the content of one record of the config stream. Exactly one of its fields besides the ID is set.
type Entry struct {
	ID       string         `cbor:"1,keyasint"` // unique for each append
	Confirm  *Confirm       `cbor:"2,keyasint,omitempty"`
	Claim    *Claim         `cbor:"3,keyasint,omitempty"`
	Snapshot *Snapshot      `cbor:"4,keyasint,omitempty"`
	Crash    *proto.Crash   `cbor:"5,keyasint,omitempty"`
	Clears   []proto.Clear  `cbor:"6,keyasint,omitempty"`
	Unblock  *crash.Unblock `cbor:"7,keyasint,omitempty"`
	Step     *Step          `cbor:"8,keyasint,omitempty"`
	StepEnd  *StepEnd       `cbor:"9,keyasint,omitempty"`
}

// Record is a record of the log: its offset and an encoded Entry.
type Record struct {
	Offset int64
	Data   []byte
}

// Encode returns the entry as the data of a record.
func (ent Entry) Encode() ([]byte, error) { return proto.Marshal(ent) }

// ParseEntry decodes the data of a record. It returns a trace.BadParameter error for data that is not a valid entry.
func ParseEntry(raw []byte) (Entry, error) {
	var ent Entry
	if err := proto.Unmarshal(raw, &ent); err != nil {
		return Entry{}, fmt.Errorf("state: parse record: %w", err)
	}
	set := 0
	for _, has := range []bool{
		ent.Confirm != nil, ent.Claim != nil, ent.Snapshot != nil, ent.Crash != nil, len(ent.Clears) > 0,
		ent.Unblock != nil, ent.Step != nil, ent.StepEnd != nil,
	} {
		if has {
			set++
		}
	}
	if ent.ID == "" || set != 1 {
		return Entry{}, fmt.Errorf("state: parse record: %w", trace.BadParameter("no ID, or not exactly one field set"))
	}
	return ent, nil
}
