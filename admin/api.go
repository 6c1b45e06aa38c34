// Package admin is the HTTP API of an entry for operators, and its client. Operators plan and confirm changes of the
// configuration, see its state and history, and unblock requests that crashed engines.
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
	OutcomeActive    = "in-force"      // the plan has taken effect
	OutcomeNotActive = "not-in-force"  // the plan has not taken effect; the reason says why
	OutcomeUnknown   = "not-known-yet" // the record of the confirm has not been read from the log
)

// Reason codes of refusals.
const (
	ReasonUnknownKey         = "unknown-operator-key"
	ReasonMalformed          = "malformed-request"
	ReasonLogUnavailable     = "log-unavailable"
	ReasonAppendRateExceeded = "append-rate-exceeded"
	ReasonNotReady           = "no-configuration"
	ReasonNotFound           = "not-found"
	ReasonObjectsChanged     = "objects-have-moved"
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

// Outcome is the result of confirming a plan.
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

// ProcessStatus is the configuration version that a process has applied.
type ProcessStatus struct {
	Name        string        `json:"name"`
	Role        string        `json:"role"`
	Version     int64         `json:"version"`
	Lag         time.Duration `json:"lag"`   // time since this entry reached a newer version; 0 if there is none
	SinceUpdate time.Duration `json:"heard"` // time since the last update on the process

	Draining bool `json:"draining,omitempty"` // the process is stopping
}

// Status is the state of the configuration.
type Status struct {
	Version   int64               `json:"version"`
	Ready     bool                `json:"ready"`
	Gap       *state.Gap          `json:"gap,omitempty"`
	Processes []ProcessStatus     `json:"processes"`
	Objects   []state.NamedObject `json:"objects"`
	RollOuts  []duty.Progress     `json:"roll-outs,omitempty"`
}

// History lists the confirms that the entry keeps, oldest first.
type History struct {
	Confirms []state.ConfirmResult `json:"confirms"`
}

// Explanation lists the configuration objects of a name, each with the operator and plan that last changed it.
type Explanation struct {
	Objects []state.NamedObject `json:"objects"`
}

// ErrorResponse is the body of an error response.
type ErrorResponse struct {
	Reason string `json:"reason"`
	Detail string `json:"detail"`
}

// Source gives the API access to the state of the entry.
type Source struct {
	Name      string // name of this process
	Store     *state.Store
	Exchange  *state.Exchange
	Upstreams func() []intent.Upstream
	Suspects  *state.Suspects // nil to show only the crash attribution that is in the log
	RollOuts  func() []duty.Progress
}
