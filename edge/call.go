// Package edge is the callers' interface: the HTTP API that clients of language models speak, and the pass-through of
// calls to plain services.
package edge

import (
	"time"

	"github.com/tarragonwheel/tarragonwheel/proto"
)

// Call is a caller's request after it has been checked.
type Call struct {
	Kind       proto.UpstreamKind
	Account    string
	Serves     string // model or service name
	Method     string
	Path       string // with the query
	Header     map[string]string
	Body       []byte
	Stream     bool
	Cost       proto.Cost
	Deadline   time.Time // on the local clock
	Key        string    // idempotency key, random if the call is not idempotent and the caller gave none
	Idempotent bool
	PrefixHash []uint64 // chained hashes of the prompt's leading blocks of PrefixBlock bytes
}

// Reply receives the response to a call. Head is called once and before any Write.
type Reply struct {
	Head  func(hed proto.Head) error
	Write func(body []byte) error
}
