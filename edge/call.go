// Package edge is the HTTP API for callers: completions in the format that clients of language models use, and calls
// to plain services, which are passed through.
package edge

import (
	"time"

	"github.com/tarragonwheel/tarragonwheel/proto"
)

// Call is a parsed and validated request of a caller.
type Call struct {
	Kind           proto.UpstreamKind
	Account        string
	Serves         string // model or service name
	Method         string
	Path           string // with the query string
	Header         map[string]string
	Body           []byte
	Stream         bool
	Cost           proto.Cost
	Deadline       time.Time // by the clock of this process
	IdempotencyKey string    // idempotency key; random if the caller sent none and the call is not idempotent
	Idempotent     bool
	PrefixHashes   []uint64 // chained hashes of the prompt's leading blocks of PrefixBlockBytes bytes
}

// Reply receives the response to a call. Head is called once, before the first Write.
type Reply struct {
	Head  func(hed proto.Head) error
	Write func(body []byte) error
}
