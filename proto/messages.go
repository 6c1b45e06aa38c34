package proto

import (
	"crypto/rand"
	"encoding/hex"
	"time"
)

// AttemptID identifies one attempt to run a request on one upstream. It is unique within the deployment.
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

// UpstreamKind is the kind of an upstream: a model engine or a plain service.
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

// Challenge starts the handshake. The listening side sends it.
type Challenge struct {
	Nonce []byte `cbor:"1,keyasint"`
}

// Hello answers a challenge. Proof is an HMAC-SHA256 keyed with the deployment's secret.
type Hello struct {
	Peer  Peer   `cbor:"1,keyasint"`
	Nonce []byte `cbor:"2,keyasint"`
	Proof []byte `cbor:"3,keyasint"`
}

// Welcome completes the handshake and proves that the listening side knows the secret too.
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

// Open starts an attempt. The body of the request is not sent before Accept.
type Open struct {
	Attempt        AttemptID         `cbor:"1,keyasint"`
	Kind           UpstreamKind      `cbor:"2,keyasint"`
	Account        string            `cbor:"3,keyasint"`
	Serves         string            `cbor:"4,keyasint"` // model or service name
	Cost           Cost              `cbor:"5,keyasint"`
	Remaining      time.Duration     `cbor:"6,keyasint"`           // time left until the request's deadline
	IdempotencyKey string            `cbor:"7,keyasint,omitempty"` // idempotency key
	Idempotent     bool              `cbor:"8,keyasint"`
	Method         string            `cbor:"9,keyasint"`
	Path           string            `cbor:"10,keyasint"` // with the query
	Header         map[string]string `cbor:"11,keyasint,omitempty"`
	BodyBytes      int64             `cbor:"12,keyasint"`
	ResumeFrom     int               `cbor:"13,keyasint,omitempty"` // tokens already delivered to the caller
	PrefixHash     []uint64          `cbor:"14,keyasint,omitempty"` // chained hashes of the prompt's leading blocks
	Fingerprint    Fingerprint       `cbor:"15,keyasint,omitempty"` // of the whole request, for crash attribution
	Stream         bool              `cbor:"16,keyasint,omitempty"`
	Suspected      bool              `cbor:"17,keyasint,omitempty"` // the entry knows it as a suspect of a crash
	OnceSlots      int               `cbor:"18,keyasint,omitempty"` // slots of package once, as set at the entry
	Segment        *Segment          `cbor:"20,keyasint,omitempty"` // set if several engines share the prompt
}

// Accept tells the entry that the request has left the queue and that the entry may send the body.
type Accept struct {
	QueuedFor time.Duration `cbor:"1,keyasint"`
	Engine    string        `cbor:"20,keyasint,omitempty"` // address of the engine, for a segment
}

// Head carries the status and the headers of the upstream's response.
type Head struct {
	Status int               `cbor:"1,keyasint"`
	Header map[string]string `cbor:"2,keyasint,omitempty"`
	Replay bool              `cbor:"3,keyasint,omitempty"` // stored response to an earlier request with the same key
	// Repeated has the headers that occur more than once, with their values in order.
	Repeated map[string][]string `cbor:"4,keyasint,omitempty"`
}

// Credit allows the other side to send the given number of further body bytes on the stream (flow control).
type Credit struct {
	Bytes int `cbor:"1,keyasint"`
}

// Cancel stops an attempt.
type Cancel struct {
	Reason string `cbor:"1,keyasint"`
}

// Outcome is the result of an attempt.
type Outcome string

// Outcomes of an attempt. OutcomeNotRun means that the attempt has not reached the upstream and never will.
const (
	OutcomeDone    Outcome = "done"
	OutcomeNotRun  Outcome = "not-run"
	OutcomeUnknown Outcome = "unknown"
	OutcomeFailed  Outcome = "failed" // the upstream ran the attempt, at least in part, and failed
)

// Result ends an attempt.
type Result struct {
	Outcome    Outcome       `cbor:"1,keyasint"`
	Reason     string        `cbor:"2,keyasint,omitempty"` // stable code in kebab case, empty for OutcomeDone
	Detail     string        `cbor:"3,keyasint,omitempty"` // human-readable, without text of the prompt
	RetryAfter time.Duration `cbor:"4,keyasint,omitempty"`
}

// Report is the load and the state of an agent. The agent sends it at every heartbeat interval and on changes.
type Report struct {
	Queued            int           `cbor:"1,keyasint,omitempty"` // requests in the queue
	Running           int           `cbor:"2,keyasint,omitempty"`
	QueuedPrefill     time.Duration `cbor:"3,keyasint,omitempty"` // predicted prefill time before a new request
	FreeTokens        int           `cbor:"4,keyasint,omitempty"` // KV memory that is not reserved, in tokens
	TotalTokens       int           `cbor:"5,keyasint,omitempty"`
	PrefillRate       float64       `cbor:"6,keyasint,omitempty"` // tokens per second, observed
	Draining          bool          `cbor:"7,keyasint,omitempty"`
	Healthy           bool          `cbor:"8,keyasint,omitempty"` // the upstream responds
	StateVersion      int64         `cbor:"9,keyasint,omitempty"`
	Entries           []PeerVersion `cbor:"10,keyasint,omitempty"` // entries connected to this agent
	ShortWait         time.Duration `cbor:"11,keyasint,omitempty"` // predicted queueing time of a short request
	Crashes           []Crash       `cbor:"12,keyasint,omitempty"` // crashes that are not in the log yet
	Version           string        `cbor:"13,keyasint,omitempty"` // model version that the upstream has loaded
	KnownCrashes      []string      `cbor:"14,keyasint,omitempty"` // IDs of the crashes received lately, newest last
	HeldSuspects      []Fingerprint `cbor:"15,keyasint,omitempty"` // suspects that the upstream runs or may still run
	LongPrefill       time.Duration `cbor:"20,keyasint,omitempty"` // part of QueuedPrefill for prompts over ShortLimit
	ShortLimit        int           `cbor:"21,keyasint,omitempty"` // longest prompt that counts as short, in tokens
	Demands           []EntryDemand `cbor:"22,keyasint,omitempty"` // of connected entries with any demand
	EntryCount        int           `cbor:"23,keyasint,omitempty"` // number of connected entries
	OutputTime        time.Duration `cbor:"24,keyasint,omitempty"` // predicted decode time per output token allowed
	FreeSegmentTokens int           `cbor:"30,keyasint,omitempty"` // largest segment that can be reserved now
	MaxSegmentTokens  int           `cbor:"31,keyasint,omitempty"` // KV memory that segments may reserve, in tokens
	PromptRatio       float64       `cbor:"32,keyasint,omitempty"` // prompt tokens counted, per predicted token
}

// PeerVersion is the active configuration version of a process.
type PeerVersion struct {
	Name    string `cbor:"1,keyasint"`
	Version int64  `cbor:"2,keyasint"`

	Draining bool `cbor:"3,keyasint,omitempty"` // it is stopping
}

// Heartbeat is the message that an entry sends periodically.
type Heartbeat struct {
	StateVersion int64   `cbor:"1,keyasint"`
	Draining     bool    `cbor:"2,keyasint,omitempty"`
	Crashes      []Crash `cbor:"3,keyasint,omitempty"` // crashes that are not in the log yet
	// Demand has the client accounts that have a limit, highest rate first, at most 16.
	Demand []AccountDemand `cbor:"20,keyasint,omitempty"`
}

// State carries the configuration to a process that is behind. It has either the Records after version From, in log
// order, or a Snapshot if the sender no longer keeps all of these records. A State with neither requests what follows
// From.
type State struct {
	From     int64    `cbor:"1,keyasint"` // version of the receiver, or of the requester
	Upto     int64    `cbor:"2,keyasint"` // version after the Records or of the Snapshot
	Snapshot []byte   `cbor:"3,keyasint,omitempty"`
	Records  [][]byte `cbor:"4,keyasint,omitempty"`
}
