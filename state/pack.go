package state

import (
	"bytes"
	"compress/gzip"
	"fmt"
	"io"

	"github.com/gravitational/trace"
)

// maxUnpacked bounds the memory, in bytes, that a forged snapshot can take when it is decompressed. The state of a
// deployment of the target size takes about 2 MB.
const maxUnpacked = 64 << 20

// pack compresses an encoded state, because a snapshot must fit into one record of the log. Equal input gives equal
// output.
func pack(raw []byte) ([]byte, error) {
	var buf bytes.Buffer
	wri, err := gzip.NewWriterLevel(&buf, gzip.BestSpeed)
	if err != nil {
		return nil, fmt.Errorf("state: compress snapshot: %w", err)
	}
	if _, err := wri.Write(raw); err != nil {
		return nil, fmt.Errorf("state: compress snapshot: %w", err)
	}
	if err := wri.Close(); err != nil {
		return nil, fmt.Errorf("state: compress snapshot: %w", err)
	}
	return buf.Bytes(), nil
}

// unpack decompresses the output of pack. It returns a trace.BadParameter error for any other bytes.
func unpack(packed []byte) ([]byte, error) {
	rdr, err := gzip.NewReader(bytes.NewReader(packed))
	if err != nil {
		return nil, trace.BadParameter("state: decompress snapshot: %v", err)
	}
	raw, err := io.ReadAll(io.LimitReader(rdr, maxUnpacked+1))
	if err != nil {
		return nil, trace.BadParameter("state: decompress snapshot: %v", err)
	}
	if len(raw) > maxUnpacked {
		return nil, trace.BadParameter("state: decompress snapshot: more than %d bytes", maxUnpacked)
	}
	return raw, nil
}
