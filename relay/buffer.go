package relay

import (
	"errors"
	"io"
	"sync/atomic"
)

// Limits of what is held in memory, in bytes.
const (
	defaultBufferBytes = 64 << 20 // of all calls together
	maxReplyBytes      = 16 << 20 // body of a response that is not a stream
	firstBufferBytes   = 4 << 10  // with which a body starts to be read
)

var (
	errTooLarge    = errors.New("relay: too large")
	errBuffersFull = errors.New("relay: the bodies of other calls take all memory for bodies")
)

// buffers limits the memory for bodies and events of all calls together. A body whose announced length is not sent, or
// that does not end, takes no more of it than what has arrived.
type buffers struct {
	limit int64
	used  atomic.Int64
	ahead atomic.Int64 // of used, for events that clients have not taken
}

// Shares of the limit that events may take which clients have not taken: of all calls, and of one call. The rest is
// left for the bodies of other calls.
const (
	aheadDivisor     = 2
	callAheadDivisor = 32
)

func newBuffers(limit int64) *buffers {
	if limit <= 0 {
		limit = defaultBufferBytes
	}
	return &buffers{limit: limit}
}

// expose makes what is held readable as metrics.
func (bfs *buffers) expose(opts Options) {
	err := errors.Join(
		opts.Metrics.AddGauge("buffer_bytes", "Memory for bodies and events of calls.", bfs.used.Load),
		opts.Metrics.AddGauge("read_ahead_bytes", "Part of buffer_bytes for events that clients have not taken.",
			bfs.ahead.Load))
	if err != nil {
		opts.Log.Error(err, "relay: no metrics of the memory for bodies") // They are of another relay.
	}
}

// callBuffers is the memory that one call holds. It is used by one goroutine at a time.
type callBuffers struct {
	buffers *buffers
	held    int64
}

// take takes memory for the call, or returns errBuffersFull.
func (cbf *callBuffers) take(num int64) error {
	if cbf.buffers.used.Add(num) > cbf.buffers.limit {
		cbf.buffers.used.Add(-num)
		return errBuffersFull
	}
	cbf.held += num
	return nil
}

// takeAhead takes memory for an event that the client has not taken. It returns false if there is none, unless the
// event must be held in any case.
func (cbf *callBuffers) takeAhead(num int64, must bool) bool {
	bfs := cbf.buffers
	isFree := cbf.held+num <= bfs.limit/callAheadDivisor
	isFree = bfs.ahead.Add(num) <= bfs.limit/aheadDivisor && isFree
	isFree = bfs.used.Add(num) <= bfs.limit && isFree
	cbf.held += num
	if !isFree && !must {
		cbf.giveAhead(num)
		return false
	}
	return true
}

// giveAhead gives back memory that was taken with takeAhead.
func (cbf *callBuffers) giveAhead(num int64) {
	cbf.buffers.ahead.Add(-num)
	cbf.buffers.used.Add(-num)
	cbf.held -= num
}

// release gives back all memory that the call holds.
func (cbf *callBuffers) release() {
	cbf.buffers.used.Add(-cbf.held)
	cbf.held = 0
}

// readAll reads a body of at most the given size. It returns errTooLarge if the body is longer, and errBuffersFull if
// there is no memory for it.
func (cbf *callBuffers) readAll(src io.Reader, maxBytes int64) ([]byte, error) {
	if err := cbf.take(firstBufferBytes); err != nil {
		return nil, err
	}
	body := make([]byte, 0, firstBufferBytes)
	for {
		num, err := src.Read(body[len(body):cap(body)])
		body = body[:len(body)+num]
		switch {
		case int64(len(body)) > maxBytes:
			return nil, errTooLarge
		case errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF):
			return body, nil
		case err != nil:
			return nil, err //nolint:wrapcheck // Callers tell the errors of the source apart.
		case len(body) == cap(body):
			if err := cbf.take(int64(cap(body))); err != nil {
				return nil, err
			}
			body = append(make([]byte, 0, 2*cap(body)), body...)
		}
	}
}
