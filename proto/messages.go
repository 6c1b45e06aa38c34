package proto

import (
	"crypto/rand"
	"encoding/hex"
	"time"
)

// AttemptID identifies one attempt to run a request on one upstream. It is unique across the deployment.
type AttemptID [16]byte

// NewAttemptID returns a random identifier.
func NewAttemptID() AttemptID {
	var aid AttemptID
	_, _ = rand.Read(aid[:]) // crypto/rand.Read never fails on supported platforms.
	return aid
}

// String returns the identifier in hexadecimal.
func (aid AttemptID) String() string { return hex.EncodeToString(aid[:]) }

// NewIncarnation returns a random identifier for one run of a process.
func NewIncarnation() string {
	buf := make([]byte, 8)
	_, _ = rand.Read(buf) // crypto/rand.Read never fails on supported platforms.
	return hex.EncodeToString(buf)
}

// Role is the role of a process.
type Role string

// Roles of processes.
const (
	RoleEntry Role = "entry"
	RoleAgent Role = "agent"
)

// UpstreamKind tells model engines from plain services.
type UpstreamKind string

// Kinds of upstreams.
const (
	UpstreamEngine UpstreamKind = "engine"
	UpstreamPlain  UpstreamKind = "plain"
)

// Peer describes a process to the other end of a connection.
type Peer struct {
	Name        string       `cbor:"1,keyasint"`
	Role        Role         `cbor:"2,keyasint"`
	Incarnation string       `cbor:"3,keyasint"`           // random for each start of the process
	DataCentre  string       `cbor:"4,keyasint"`           // from the process's settings
	Kind        UpstreamKind `cbor:"5,keyasint,omitempty"` // agents only
	Serves      string       `cbor:"6,keyasint,omitempty"` // agents only: model or service name
}

// Challenge opens the handshake, sent by the listening side.
type Challenge struct {
	Nonce []byte `cbor:"1,keyasint"`
}

// Hello answers a challenge. Proof is an HMAC-SHA256 keyed with the deployment's secret.
type Hello struct {
	Peer  Peer   `cbor:"1,keyasint"`
	Nonce []byte `cbor:"2,keyasint"`
	Proof []byte `cbor:"3,keyasint"`
}

// Welcome completes the handshake and proves that the listening side knows the secret as well.
type Welcome struct {
	Peer  Peer   `cbor:"1,keyasint"`
	Proof []byte `cbor:"2,keyasint"`
}

// Cost is the predicted cost of a request.
type Cost struct {
	PromptTokens int `cbor:"1,keyasint"`
	CachedTokens int `cbor:"2,keyasint,omitempty"` // part of the prompt expected in the upstream's prefix cache
	OutputTokens int `cbor:"3,keyasint"`           // upper bound
}

// Open starts an attempt. No body is sent until Accept.
type Open struct {
	Attempt     AttemptID         `cbor:"1,keyasint"`
	Kind        UpstreamKind      `cbor:"2,keyasint"`
	Account     string            `cbor:"3,keyasint"`
	Serves      string            `cbor:"4,keyasint"` // model or service name
	Cost        Cost              `cbor:"5,keyasint"`
	Remaining   time.Duration     `cbor:"6,keyasint"` // time left until the request's deadline
	Key         string            `cbor:"7,keyasint,omitempty"`
	Idempotent  bool              `cbor:"8,keyasint"`
	Method      string            `cbor:"9,keyasint"`
	Path        string            `cbor:"10,keyasint"` // with the query
	Header      map[string]string `cbor:"11,keyasint,omitempty"`
	BodyBytes   int64             `cbor:"12,keyasint"`
	ResumeFrom  int               `cbor:"13,keyasint,omitempty"` // tokens already delivered to the caller
	PrefixHash  []uint64          `cbor:"14,keyasint,omitempty"` // chained hashes of the prompt's leading blocks
	Fingerprint Fingerprint       `cbor:"15,keyasint,omitempty"` // of the whole request, for blame after crashes
	Stream      bool              `cbor:"16,keyasint,omitempty"`
	Suspected   bool              `cbor:"17,keyasint,omitempty"` // the entry knows it as a suspect
	Slots       int               `cbor:"18,keyasint,omitempty"` // the entry's number of slots of package once
	Segment     *Segment          `cbor:"20,keyasint,omitempty"` // set if several engines share the prompt
}

// Accept tells the entry that the request has left the queue and that its body is wanted.
type Accept struct {
	QueuedFor time.Duration `cbor:"1,keyasint"`
	Engine    string        `cbor:"20,keyasint,omitempty"` // address of the engine, for a segment
}

// Head carries status and headers of the upstream's response.
type Head struct {
	Status int               `cbor:"1,keyasint"`
	Header map[string]string `cbor:"2,keyasint,omitempty"`
	Replay bool              `cbor:"3,keyasint,omitempty"` // the answer of an earlier sending of the same key
	// Repeated are the headers that occur more than once, with their values in order.
	Repeated map[string][]string `cbor:"4,keyasint,omitempty"`
}

// Credit allows the other side to send that many further body bytes on the stream.
type Credit struct {
	Bytes int `cbor:"1,keyasint"`
}

// Cancel stops an attempt.
type Cancel struct {
	Reason string `cbor:"1,keyasint"`
}

// Outcome tells what became of an attempt.
type Outcome string

// Outcomes of an attempt. NotRun is given only if the attempt has not reached the upstream and never will.
const (
	OutcomeDone    Outcome = "done"
	OutcomeNotRun  Outcome = "not-run"
	OutcomeUnknown Outcome = "unknown"
	OutcomeFailed  Outcome = "failed" // the upstream ran it, at least in part, and failed
)

// Result ends an attempt.
type Result struct {
	Outcome    Outcome       `cbor:"1,keyasint"`
	Reason     string        `cbor:"2,keyasint,omitempty"` // stable code in kebab case, empty when done
	Detail     string        `cbor:"3,keyasint,omitempty"` // for people, without prompt text
	RetryAfter time.Duration `cbor:"4,keyasint,omitempty"`
}

// Report is an agent's load and state, sent every heartbeat interval and on change.
type Report struct {
	Queued        int           `cbor:"1,keyasint,omitempty"` // requests waiting
	Running       int           `cbor:"2,keyasint,omitempty"`
	QueuedPrefill time.Duration `cbor:"3,keyasint,omitempty"` // predicted prefill work ahead of a new request
	FreeTokens    int           `cbor:"4,keyasint,omitempty"` // KV memory not reserved
	TotalTokens   int           `cbor:"5,keyasint,omitempty"`
	PrefillRate   float64       `cbor:"6,keyasint,omitempty"` // observed tokens per second
	Draining      bool          `cbor:"7,keyasint,omitempty"`
	Healthy       bool          `cbor:"8,keyasint,omitempty"` // the upstream answers
	StateVersion  int64         `cbor:"9,keyasint,omitempty"`
	Entries       []PeerVersion `cbor:"10,keyasint,omitempty"` // entries connected to this agent
	WaitShort     time.Duration `cbor:"11,keyasint,omitempty"` // predicted wait of a short request
	Crashes       []Crash       `cbor:"12,keyasint,omitempty"` // crashes that are not in the log yet
	Version       string        `cbor:"13,keyasint,omitempty"` // of the model that the upstream has loaded
	LongPrefill   time.Duration `cbor:"20,keyasint,omitempty"` // part of QueuedPrefill of prompts over ShortLimit
	ShortLimit    int           `cbor:"21,keyasint,omitempty"` // longest prompt that the agent treats as short, tokens
	Demands       []EntryDemand `cbor:"22,keyasint,omitempty"` // of the connected entries that have any
	EntryCount    int           `cbor:"23,keyasint,omitempty"` // number of connected entries
	OutputTime    time.Duration `cbor:"24,keyasint,omitempty"` // predicted time of an output, for each token allowed
	FreeHold      int           `cbor:"30,keyasint,omitempty"` // largest segment that would be granted now, in tokens
	HoldMax       int           `cbor:"31,keyasint,omitempty"` // largest segment ever granted, in tokens
	PromptRatio   float64       `cbor:"32,keyasint,omitempty"` // prompt tokens counted, per token predicted
}

// PeerVersion is the configuration version that a process has in force.
type PeerVersion struct {
	Name    string `cbor:"1,keyasint"`
	Version int64  `cbor:"2,keyasint"`

	Draining bool `cbor:"3,keyasint,omitempty"` // it is stopping
}

// Beat is an entry's heartbeat.
type Beat struct {
	StateVersion int64   `cbor:"1,keyasint"`
	Draining     bool    `cbor:"2,keyasint,omitempty"`
	Crashes      []Crash `cbor:"3,keyasint,omitempty"` // crashes that are not in the log yet
	// Demand is that of accounts with a limit, the largest first, at most 16.
	Demand []AccountDemand `cbor:"20,keyasint,omitempty"`
}

// State carries configuration to a process that is behind. Snapshot is set when From is older than the sender's
// retained records; otherwise Records are those after From, in log order. A State with neither asks for what
// follows From.
type State struct {
	From     int64    `cbor:"1,keyasint"`
	Upto     int64    `cbor:"2,keyasint"`
	Snapshot []byte   `cbor:"3,keyasint,omitempty"`
	Records  [][]byte `cbor:"4,keyasint,omitempty"`
}
