package entry

import (
	"bytes"

	"github.com/gravitational/trace"
)

// maxEventBytes bounds an event of a token stream, so that an upstream that never ends an event cannot exhaust memory.
const maxEventBytes = 1 << 20

var (
	eventEnd  = []byte("\n\n")
	doneEvent = []byte("data: [DONE]\n\n")
	dataField = []byte("data:")
)

// eventSplitter splits a token stream into complete server-sent events and counts those that carry a token.
type eventSplitter struct {
	partial []byte // the bytes of an event that is not complete yet
	tokens  int    // number of events with a token, over all attempts of a call
	ended   bool   // the closing event has been received
}

// feed appends bytes of the stream and returns the events that are complete with them.
func (spl *eventSplitter) feed(part []byte) ([]byte, error) {
	spl.partial = append(spl.partial, part...)
	end := bytes.LastIndex(spl.partial, eventEnd)
	if end < 0 {
		if len(spl.partial) > maxEventBytes {
			return nil, trace.LimitExceeded("entry: an event is longer than %d bytes", maxEventBytes)
		}
		return nil, nil
	}
	out := spl.partial[:end+len(eventEnd)]
	spl.partial = bytes.Clone(spl.partial[end+len(eventEnd):])
	for _, evt := range bytes.SplitAfter(out, eventEnd) {
		switch {
		case bytes.Equal(evt, doneEvent):
			spl.ended = true
		case bytes.HasPrefix(evt, dataField):
			spl.tokens++
		}
	}
	return out, nil
}

// discardPartial drops the incomplete event at the end of a stream that was cut off.
func (spl *eventSplitter) discardPartial() { spl.partial = nil }
