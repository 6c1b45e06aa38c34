// Package call defines the messages of a forwarded call: the client's request, an attempt at a replica and the
// replica's reply.
//
// Package platform translates between these messages and HTTP, so that no other package depends on names of headers.
package call

import (
	"net/http"
	"time"
)

// Call is a client's request. Its body is buffered in full.
type Call struct {
	ID      string // request ID; a client that retries uses a new one
	Method  string
	Host    string
	Target  string      // path and query, exactly as the client sent them
	Header  http.Header // headers to forward unchanged
	Body    []byte
	APIKey  string // empty if the client sent none
	Arrived time.Time
	// TimeLeft is how long the client waits, counted from Arrived; 0 if the client did not state it.
	TimeLeft time.Duration
	Prompt   Prompt
	// LastEventID is the ID of the last stream event that the client has received, if HasLastEventID is set.
	LastEventID    int64
	HasLastEventID bool
}

// Prompt holds what a call to a model engine states about its prompt and output. Sizes are in tokens.
type Prompt struct {
	Tokens         int // length of the prompt
	MaxOutput      int // longest output that the client allows
	OutputEstimate int // the client's estimate of the output, often inaccurate; 0 for none
	// Parts are the IDs of the parts of the prompt, in order. Calls share parts; the last one is the call's own.
	Parts []string
}

// SharedParts returns the IDs of the parts of the prompt that other calls may have too.
func (prm *Prompt) SharedParts() []string {
	if len(prm.Parts) == 0 {
		return nil
	}
	return prm.Parts[:len(prm.Parts)-1]
}

// Attempt holds what a call carries in addition when it is sent to a replica.
type Attempt struct {
	Replica  string        // ID of the primary replica, to which the call is sent
	Account  string        // name of the client account; empty if the route needs no API key
	TimeLeft time.Duration // until the replica should abort the call; less than a millisecond is sent as one
	Helpers  []Helper      // replicas that prefill parts of the prompt
	Priority int           // 0 is the most urgent, 9 the least
	// LastEventID is the ID of the last event that the client has received, if HasLastEventID is set.
	LastEventID    int64
	HasLastEventID bool
}

// Helper is a replica that prefills a part of a prompt.
type Helper struct {
	Address       string
	ReservationID string // of the KV memory that holds the part; empty if the primary replica holds it
}

// Reply is the status and the headers of a replica's response.
type Reply struct {
	Status int
	Header http.Header // headers to forward unchanged
	// CallID is the request ID that the replica echoes; a response with another ID belongs to another call.
	CallID string
	// Signed tells whether the response has a signature of the replica. A success response without one does not come
	// from a replica.
	Signed bool
	// NotExecuted tells whether the replica states that it did not run the call and never will.
	NotExecuted bool
	// Encoded tells whether the body has a Content-Encoding, added by something between the replica and this process.
	Encoded bool
	// FaultyReplica is the address of the replica whose failure made this one refuse the call; empty if none is named.
	FaultyReplica string
	Notice        Notice
}

// Notice is what a replica says of its own state in a response to any request.
type Notice struct {
	Leaving bool          // it is about to leave and wants no new calls
	Pause   time.Duration // for which it wants no calls from this process; 0 for none
	// ColdLeft is how long it stays cold, so that it can handle few calls a second; 0 for one that is not.
	ColdLeft time.Duration
}

// IsZero tells whether the replica says nothing of its state.
func (ntc Notice) IsZero() bool { return ntc == Notice{} }
