// Package admin is the operator API of an entry, and its client.
package admin

import (
	"time"

	"github.com/tarragonwheel/tarragonwheel/duty"
	"github.com/tarragonwheel/tarragonwheel/intent"
	"github.com/tarragonwheel/tarragonwheel/state"
)

// Paths of the operator API. Requests and responses are JSON.
const (
	PathPlan    = "/v1/plan"
	PathUndo    = "/v1/undo"
	PathConfirm = "/v1/confirm"
	PathOutcome = "/v1/outcome"
	PathStatus  = "/v1/status"
	PathHistory = "/v1/history"
	PathExplain = "/v1/explain"
)

// Outcomes of a confirm.
const (
	InForce     = "in-force"
	NotInForce  = "not-in-force"
	NotKnownYet = "not-known-yet"
)

// Reason codes of refusals.
const (
	ReasonUnknownKey     = "unknown-operator-key"
	ReasonMalformed      = "malformed-request"
	ReasonLogUnavailable = "log-unavailable"
	ReasonLogBusy        = "append-rate-exceeded"
	ReasonNotReady       = "no-configuration"
	ReasonNotFound       = "not-found"
	ReasonStale          = "objects-have-moved"
)

// Declaration is the content of a declaration file.
type Declaration struct {
	File string `json:"file"`
	Text string `json:"text"`
}

// UndoRequest names the plan to undo.
type UndoRequest struct {
	Plan string `json:"plan"`
}

// Outcome tells what became of a confirm.
type Outcome struct {
	Outcome   string           `json:"outcome"`
	Plan      string           `json:"plan"`
	Version   int64            `json:"version,omitempty"` // offset of the confirm's record, once known
	Operator  string           `json:"operator,omitempty"`
	Reason    string           `json:"reason,omitempty"`
	Detail    string           `json:"detail,omitempty"`
	Repeated  bool             `json:"repeated,omitempty"` // the plan had been confirmed before
	Conflicts []state.Conflict `json:"conflicts,omitempty"`
}

// ProcessStatus is the configuration version of a process.
type ProcessStatus struct {
	Name    string        `json:"name"`
	Role    string        `json:"role"`
	Version int64         `json:"version"`
	Lag     time.Duration `json:"lag"`   // time since a newer version is known; 0 if level
	Heard   time.Duration `json:"heard"` // time since the process was last heard of

	Draining bool `json:"draining,omitempty"` // it is stopping
}

// Status is the state of the configuration.
type Status struct {
	Version   int64           `json:"version"`
	Ready     bool            `json:"ready"`
	Gap       *state.Gap      `json:"gap,omitempty"`
	Processes []ProcessStatus `json:"processes"`
	Objects   []state.Named   `json:"objects"`
	RollOuts  []duty.Progress `json:"roll-outs,omitempty"`
}

// History lists confirms, oldest first.
type History struct {
	Confirms []state.Past `json:"confirms"`
}

// Explanation lists the objects of a name with their origin.
type Explanation struct {
	Objects []state.Named `json:"objects"`
}

// Fault is the body of an error response.
type Fault struct {
	Reason string `json:"reason"`
	Detail string `json:"detail"`
}

// Source is what the API shows and changes.
type Source struct {
	Name      string // of this process
	Store     *state.Store
	Exchange  *state.Exchange
	Upstreams func() []intent.Upstream
	Suspects  *state.Suspects // nil to show only what is in the log
	RollOuts  func() []duty.Progress
}
