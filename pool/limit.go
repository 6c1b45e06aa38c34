package pool

import (
	"errors"
	"io"
	"math"
)

// Limits of what is read of a response before its body, in bytes.
const (
	maxHeadBytes    = 64 << 10  // status line and headers
	maxSkippedBytes = 256 << 10 // body of the response of another call
)

// Limits of the framing of a body, which takes processing time and carries nothing. A body may have maxFramingBytes of
// it, and framingPerByte more for each of its own bytes.
const (
	maxFramingBytes = 64 << 10
	framingPerByte  = 2
)

// Errors of replicas that send bytes that are no response.
var (
	ErrTooLong   = errors.New("pool: response is too long")
	ErrMalformed = errors.New("pool: response is malformed")
)

// limitedReader reads from a connection until a limit is reached.
type limitedReader struct {
	src   io.Reader
	left  int64 // bytes that may still be read
	ended bool  // the connection has ended, or reading from it has failed
}

// noLimit is the limit while the body of the call's own response is read, whose reader bounds it.
const noLimit = math.MaxInt64

// Read implements io.Reader.
func (rdr *limitedReader) Read(buf []byte) (int, error) {
	if rdr.left <= 0 {
		return 0, ErrTooLong
	}
	num, err := rdr.src.Read(buf[:min(int64(len(buf)), rdr.left)])
	rdr.left -= int64(num)
	rdr.ended = rdr.ended || err != nil
	return num, err //nolint:wrapcheck // The error of the connection, as io.Reader requires.
}

// framedBody is the body of the call's own response. Reading it returns ErrTooLong if its framing, such as that of
// chunks of single bytes, exceeds its limits.
type framedBody struct {
	io.ReadCloser
	wire *limitedReader // its limit was set to noLimit before the body
	size int64          // bytes read so far
}

// Read implements io.Reader.
func (bdy *framedBody) Read(buf []byte) (int, error) {
	num, err := bdy.ReadCloser.Read(buf)
	bdy.size += int64(num)
	if framing := noLimit - bdy.wire.left - bdy.size; framing > maxFramingBytes+framingPerByte*bdy.size {
		return num, ErrTooLong
	}
	return num, err //nolint:wrapcheck // The error of the body, as io.Reader requires.
}
