// Package call holds the messages of one forwarded call: what a client asked, and what a replica answered.
//
// The adapter of the platform fills them in, so that the rest of the program never sees names of the wire.
package call

import (
	"net/http"
	"time"
)

// Call is one request of a client. Its body has been read whole.
type Call struct {
	ID      string // request ID; each attempt of a client has its own
	Method  string
	Host    string
	Target  string      // path and query, exactly as the client sent them
	Header  http.Header // headers to pass on unchanged
	Body    []byte
	APIKey  string // empty if the client sent none
	Arrived time.Time
	// TimeLeft is how long the client waits, counted from Arrived; 0 if it did not say.
	TimeLeft time.Duration
	Prompt   Prompt
	// LastEventID is the ID of the last stream event that the client has; Resumes tells whether it sent one.
	LastEventID int64
	Resumes     bool
}

// Prompt is what a call to a model engine says about its size, in tokens.
type Prompt struct {
	Tokens     int // of the prompt
	MaxOutput  int // longest output that the client allows
	OutputHint int // the client's estimate of the output, often far off; 0 for none
}

// Attempt is one send of a call to a replica.
type Attempt struct {
	Replica  string        // ID of the replica that the call is meant for
	Account  string        // name of the client account; empty where the route is open to all
	TimeLeft time.Duration // until the replica should give up; at least a millisecond
	Helpers  []Helper      // replicas that read parts of the prompt
	Priority int           // 0 is the most urgent, 9 the least
	// LastEventID is the ID of the last event that the client has got, if Resumes is set.
	LastEventID int64
	Resumes     bool
}

// Helper is a replica that reads a part of a prompt.
type Helper struct {
	Address       string
	ReservationID string // of the memory that holds the part; empty if the primary replica holds it
}

// Reply is the head of a replica's answer.
type Reply struct {
	Status int
	Header http.Header // headers to pass on unchanged
	// CallID is the request ID that the replica echoes; an answer with another ID belongs to another call.
	CallID string
	// Signed tells that the replica vouches for the answer. A success without it does not come from a replica.
	Signed bool
	// NotExecuted states that the replica did not run the call and never will.
	NotExecuted bool
	// Encoded tells that something on the way has changed the encoding of the body.
	Encoded bool
	// FaultyReplica is the address of another replica because of which this one refused; empty if none is named.
	FaultyReplica string
}
