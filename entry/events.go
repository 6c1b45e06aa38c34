package entry

import (
	"bytes"

	"github.com/gravitational/trace"
)

// maxEventBytes bounds an event of a token stream, so that an upstream that never ends one cannot exhaust memory.
const maxEventBytes = 1 << 20

var (
	eventEnd  = []byte("\n\n")
	doneEvent = []byte("data: [DONE]\n\n")
	dataField = []byte("data:")
)

// events cuts a token stream into whole server-sent events and counts those that carry a token.
type events struct {
	rest   []byte
	tokens int
	done   bool // the closing event has passed
}

// whole takes in bytes of the stream and returns the whole events among them.
func (evs *events) whole(part []byte) ([]byte, error) {
	evs.rest = append(evs.rest, part...)
	end := bytes.LastIndex(evs.rest, eventEnd)
	if end < 0 {
		if len(evs.rest) > maxEventBytes {
			return nil, trace.LimitExceeded("entry: an event is longer than %d bytes", maxEventBytes)
		}
		return nil, nil
	}
	out := evs.rest[:end+len(eventEnd)]
	evs.rest = bytes.Clone(evs.rest[end+len(eventEnd):])
	for _, evt := range bytes.SplitAfter(out, eventEnd) {
		switch {
		case bytes.Equal(evt, doneEvent):
			evs.done = true
		case bytes.HasPrefix(evt, dataField):
			evs.tokens++
		}
	}
	return out, nil
}

// restart drops the part of an event that a broken stream has left behind.
func (evs *events) restart() { evs.rest = nil }
