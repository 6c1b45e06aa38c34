package state

import (
	"bytes"
	"compress/gzip"
	"fmt"
	"io"

	"github.com/gravitational/trace"
)

// maxUnpacked bounds the memory that a forged snapshot can take, in bytes. The state of the target's size takes about
// 2 MB.
const maxUnpacked = 64 << 20

// pack compresses an encoded state, since a snapshot must fit into one record of the log. Equal input gives equal
// output.
func pack(raw []byte) ([]byte, error) {
	var buf bytes.Buffer
	wri, err := gzip.NewWriterLevel(&buf, gzip.BestSpeed)
	if err != nil {
		return nil, fmt.Errorf("state: pack: %w", err)
	}
	if _, err := wri.Write(raw); err != nil {
		return nil, fmt.Errorf("state: pack: %w", err)
	}
	if err := wri.Close(); err != nil {
		return nil, fmt.Errorf("state: pack: %w", err)
	}
	return buf.Bytes(), nil
}

// unpack reverses pack. It returns a trace.BadParameter error for bytes that are no packed state.
func unpack(packed []byte) ([]byte, error) {
	rdr, err := gzip.NewReader(bytes.NewReader(packed))
	if err != nil {
		return nil, trace.BadParameter("state: unpack: %v", err)
	}
	raw, err := io.ReadAll(io.LimitReader(rdr, maxUnpacked+1))
	if err != nil {
		return nil, trace.BadParameter("state: unpack: %v", err)
	}
	if len(raw) > maxUnpacked {
		return nil, trace.BadParameter("state: unpack: more than %d bytes", maxUnpacked)
	}
	return raw, nil
}
