// Package pool keeps connections to replicas and sends one call at a time on each.
//
// Replicas may send bytes that belong to no call, close a connection at any moment, or become unresponsive. A
// connection is reused only if none of this has been seen on it, and each response must carry the ID of its call.
package pool

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/gravitational/trace"
	"golang.org/x/sys/unix"

	"github.com/tarragonwheel/tarragonwheel/timer"
	"github.com/tarragonwheel/tarragonwheel/wire"
)

// Time limits of connections.
const (
	dialTimeout = 300 * time.Millisecond
	// ackTimeout is the TCP user timeout: a connection ends when bytes stay unacknowledged for this long. It bounds
	// the time until the failure of a replica's machine is detected.
	ackTimeout        = 900 * time.Millisecond
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 2
	// defaultIdleTimeout applies to replicas that do not state how long they keep idle connections.
	defaultIdleTimeout = 4 * time.Second
	maxIdleTimeout     = 15 * time.Second
	maxIdleConns       = 8 // to one replica
	// idleMargin is subtracted from the idle timeout of a replica, so that no call is sent while the replica
	// closes the connection.
	idleMargin      = 500 * time.Millisecond
	readBufferBytes = 4 << 10
)

// ErrMismatchedResponse is returned when a connection carries responses that belong to other calls.
var ErrMismatchedResponse = errors.New("pool: response carries the ID of another call")

// Pool holds the idle connections of one process. It is safe for concurrent use.
type Pool struct {
	clock  *timer.Service
	dialer net.Dialer
	mu     sync.Mutex
	idle   map[string][]*Conn           // by replica ID, oldest first
	checks map[string][]func(err error) // in progress, by replica ID: what awaits their results
}

// New returns an empty Pool.
func New(clk *timer.Service) *Pool {
	pol := &Pool{clock: clk, idle: make(map[string][]*Conn), checks: make(map[string][]func(error))}
	pol.dialer = Dialer(dialTimeout)
	return pol
}

// Dialer returns a dialer whose connections fail when the other side stops acknowledging data or keep-alive probes.
func Dialer(timeout time.Duration) net.Dialer {
	return net.Dialer{
		Timeout: timeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
		},
		Control: func(_, _ string, raw syscall.RawConn) error {
			var err error
			ctlErr := raw.Control(func(fd uintptr) {
				err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT,
					int(ackTimeout.Milliseconds()))
			})
			return errors.Join(ctlErr, err)
		},
	}
}

// Conn is a connection to a replica as one call uses it. Once it is released, the call cannot close it any more, since
// another one may use it.
type Conn struct {
	*wire.Conn
	mu          sync.Mutex // held by Close and Release, which may be called concurrently
	released    bool
	pool        *Pool
	replica     string
	limit       *limitedReader // of what reader reads
	reader      *bufio.Reader
	writeResult chan error // receives the result of sending the current request
	idleSince   time.Time  // when it became idle
	idleTimeout time.Duration
	reused      bool
	reusable    bool // the last exchange was complete and the replica did not ask for a close
}

// Get returns a connection to a replica. With forceNew it never returns an idle one, so that a failure on the
// connection cannot be due to the replica's idle timeout. It returns a trace.ConnectionProblem error if the replica
// cannot be reached.
func (pol *Pool) Get(ctx context.Context, replica, address string, forceNew bool) (*Conn, error) {
	if !forceNew {
		if con := pol.takeIdle(replica); con != nil {
			return con, nil
		}
	}
	raw, err := pol.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("pool: connect: %w", trace.ConnectionProblem(err, "replica at %s", address))
	}
	wir := wire.NewConn(raw)
	limit := &limitedReader{src: wir}
	return &Conn{
		Conn: wir, pool: pol, replica: replica, idleTimeout: defaultIdleTimeout, limit: limit,
		reader: bufio.NewReaderSize(limit, readBufferBytes), writeResult: make(chan error, 1),
	}, nil
}

// takeIdle removes the newest idle connection to a replica that can be reused, and returns it, or nil if there is none.
// It closes the connections that cannot be reused.
func (pol *Pool) takeIdle(replica string) *Conn {
	for {
		con := pol.popIdle(replica)
		if con == nil {
			return nil
		}
		if pol.clock.Since(con.idleSince) < con.idleTimeout-idleMargin && con.isOpenAndDrained() {
			con.reused = true
			return con
		}
		_ = con.Close() // It has expired, was closed by the replica, or holds unexpected bytes.
	}
}

func (pol *Pool) popIdle(replica string) *Conn {
	pol.mu.Lock()
	defer pol.mu.Unlock()
	list := pol.idle[replica]
	if len(list) == 0 {
		return nil
	}
	con := list[len(list)-1]
	pol.idle[replica] = list[:len(list)-1]
	return con
}

// CloseIdle closes the idle connections of a replica that has been removed.
func (pol *Pool) CloseIdle(replica string) {
	pol.mu.Lock()
	list := pol.idle[replica]
	delete(pol.idle, replica)
	pol.mu.Unlock()
	for _, con := range list {
		_ = con.Close() // Nothing is in flight on an idle connection.
	}
}

// isOpenAndDrained reports whether the connection is open and has no unread bytes.
func (con *Conn) isOpenAndDrained() bool {
	if con.reader.Buffered() > 0 {
		return false
	}
	open, drained := con.peek()
	return open && drained
}

// peek reports whether the connection is open, and whether no bytes have been received on it that were not read.
func (con *Conn) peek() (open, drained bool) {
	raw, err := con.SyscallConn()
	if err != nil {
		return false, false
	}
	var one [1]byte
	err = raw.Control(func(fd uintptr) {
		num, _, err := unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		drained = errors.Is(err, unix.EAGAIN)
		open = drained || num > 0 // A closed connection reads 0 bytes without an error.
	})
	return err == nil && open, err == nil && drained
}

// Ended reports whether the replica has closed the connection, or reading from it has failed.
func (con *Conn) Ended() bool { return con.limit.ended }

// Reused reports whether the connection has carried a call before.
func (con *Conn) Reused() bool { return con.reused }

// backgroundWriteBytes is the size from which a request is sent in the background, since replicas may respond before
// they have read it completely.
const backgroundWriteBytes = 8 << 10

// WriteRequest sends the bytes of a request. It returns at once if they are many, and sends them in the background.
func (con *Conn) WriteRequest(msg []byte) error {
	con.reusable = false
	if len(msg) < backgroundWriteBytes {
		_, err := con.Write(msg)
		con.writeResult <- err
		if err != nil {
			return fmt.Errorf("pool: send: %w", trace.ConnectionProblem(err, "replica %s", con.replica))
		}
		return nil
	}
	go func() {
		_, err := con.Write(msg)
		con.writeResult <- err
	}()
	return nil
}

// ReadResponse reads the header of the response to the call that was sent. The function isOurs reports whether a
// response belongs to that call; other responses are read and dropped. It returns ErrMismatchedResponse if none of the
// first maxResponses belongs to the call, an error that wraps ErrTooLong or ErrMalformed if the replica sends bytes
// that are no response, and a trace.ConnectionProblem error if the connection ends first, also within a line of the
// header.
func (con *Conn) ReadResponse(method string, isOurs func(res *http.Response) bool) (*http.Response, error) {
	const maxResponses = 3
	req := &http.Request{Method: method}
	for range maxResponses {
		res, isFinal, err := con.readHead(req)
		if err != nil {
			return nil, err
		}
		if !isFinal {
			continue
		}
		if isOurs(res) {
			con.limit.left = noLimit
			res.Body = &framedBody{ReadCloser: res.Body, wire: con.limit}
			return res, nil
		}
		con.limit.left = maxSkippedBytes
		if _, err := io.Copy(io.Discard, res.Body); err != nil {
			return nil, fmt.Errorf("pool: skip response of another call: %w", err)
		}
	}
	return nil, ErrMismatchedResponse
}

// readHead reads the head of a response, and returns whether it is that of a final response.
func (con *Conn) readHead(req *http.Request) (res *http.Response, isFinal bool, err error) {
	con.limit.left = maxHeadBytes
	start, _ := con.reader.Peek(len(responseStart)) // What ends sooner is an error of ReadResponse too.
	isResponse := strings.HasPrefix(responseStart, string(start))
	buffered, _ := con.reader.Peek(con.reader.Buffered()) // What is buffered can be read without an error.
	con.RecordHead(buffered)
	res, err = http.ReadResponse(con.reader, req)
	head := con.Head()
	if err != nil {
		return nil, false, con.headerError(err, isResponse)
	}
	isFinal, _, err = wire.CheckHead(head)
	if err != nil {
		return nil, false, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	return res, isFinal, nil
}

// responseStart is how each response starts.
const responseStart = "HTTP/"

// headerError describes why the header of a response cannot be read, of which the start was that of a response or not.
// A line that is cut off may be reported as a malformed one.
func (con *Conn) headerError(err error, isResponse bool) error {
	var netErr net.Error
	switch {
	case errors.Is(err, ErrTooLong):
		return fmt.Errorf("pool: receive header: %w", err)
	case con.limit.ended && isResponse, errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF),
		errors.Is(err, net.ErrClosed), errors.As(err, &netErr):
		return fmt.Errorf("pool: receive: %w", trace.ConnectionProblem(err, "replica %s", con.replica))
	}
	return fmt.Errorf("%w: %w", ErrMalformed, err)
}
