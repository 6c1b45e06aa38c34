package relay

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"testing"
)

// FuzzEvents looks for streams whose events are not passed on byte by byte, or of which more than the complete events
// is passed on.
func FuzzEvents(f *testing.F) {
	f.Add([]byte("id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\nda"))
	f.Add([]byte("\r\n\r\n\n\n"))
	f.Add([]byte("id:\nid: x\n\n"))
	f.Fuzz(func(t *testing.T, stream []byte) {
		evr := &eventReader{src: bufio.NewReaderSize(bytes.NewReader(stream), 16)}
		var got []byte
		for {
			evt, err := evr.next()
			if err != nil {
				whole := errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF)
				if whole && len(got) != len(stream) {
					t.Errorf("ends as whole after %d of %d bytes", len(got), len(stream))
				}
				break
			}
			got = append(got, evt.raw...)
		}
		if !bytes.HasPrefix(stream, got) {
			t.Errorf("passed on %q of %q", got, stream)
		}
	})
}
