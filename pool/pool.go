// Package pool keeps connections to replicas and exchanges one call at a time on each.
//
// Replicas may leave bytes on a connection that belong to no call, close it at any moment, or fall silent. A connection
// is used again only while nothing of that kind is seen, and each answer must carry the ID of its call.
package pool

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/gravitational/trace"
	"golang.org/x/sys/unix"

	"github.com/tarragonwheel/tarragonwheel/timer"
)

// Time limits of connections.
const (
	dialTimeout = 300 * time.Millisecond
	// silenceTimeout ends a connection whose bytes are not acknowledged. It bounds how long a dark machine is noticed
	// late.
	silenceTimeout    = 900 * time.Millisecond
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 2
	// defaultIdle is used where a replica does not state how long it keeps idle connections.
	defaultIdle = 4 * time.Second
	mostIdle    = 15 * time.Second
	mostKept    = 8 // idle connections to one replica
	// idleMargin is left between the idle time that a replica states and the last use of the connection.
	idleMargin = 500 * time.Millisecond
	bufferSize = 4 << 10 // bytes
)

// ErrForeignResponse is returned when a connection carries a response that belongs to another call.
var ErrForeignResponse = errors.New("pool: answer of another call")

// Pool holds the idle connections of one process. It is safe for concurrent use.
type Pool struct {
	clock  *timer.Service
	dialer net.Dialer
	mu     sync.Mutex
	idle   map[string][]*Conn // by replica ID, oldest first
}

// New returns an empty Pool.
func New(clk *timer.Service) *Pool {
	pol := &Pool{clock: clk, idle: make(map[string][]*Conn)}
	pol.dialer = Dialer(dialTimeout)
	return pol
}

// Dialer returns a dialer whose connections end by themselves when the other side falls silent.
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
					int(silenceTimeout.Milliseconds()))
			})
			return errors.Join(ctlErr, err)
		},
	}
}

// Conn is a connection to a replica, used by one call at a time.
type Conn struct {
	net.Conn
	pool    *Pool
	replica string
	reader  *bufio.Reader
	writing chan error // receives the result of sending the current call
	since   time.Time  // when it became idle
	keep    time.Duration
	reused  bool
	clean   bool // the last answer was read to its end and asked for no close
}

// Get returns a connection to a replica. A fresh one has never been used, so that a failure on it is not due to an idle
// connection that the replica has closed. It returns a trace.ConnectionProblem error if none can be made.
func (pol *Pool) Get(ctx context.Context, replica, address string, fresh bool) (*Conn, error) {
	if !fresh {
		if con := pol.take(replica); con != nil {
			return con, nil
		}
	}
	raw, err := pol.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("pool: connect: %w", trace.ConnectionProblem(err, "replica at %s", address))
	}
	return &Conn{
		Conn: raw, pool: pol, replica: replica, keep: defaultIdle,
		reader: bufio.NewReaderSize(raw, bufferSize), writing: make(chan error, 1),
	}, nil
}

func (pol *Pool) take(replica string) *Conn {
	for {
		con := pol.pop(replica)
		if con == nil {
			return nil
		}
		if pol.clock.Since(con.since) < con.keep-idleMargin && con.quiet() {
			con.reused = true
			return con
		}
		_ = con.Close() // It is of no use any more.
	}
}

func (pol *Pool) pop(replica string) *Conn {
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

// quiet tells whether the connection is open and holds no bytes.
func (con *Conn) quiet() bool {
	if con.reader.Buffered() > 0 {
		return false
	}
	sys, ok := con.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sys.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	var one [1]byte
	err = raw.Control(func(fd uintptr) {
		_, _, err := unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = errors.Is(err, unix.EAGAIN)
	})
	return err == nil && quiet
}

// Reused tells whether the connection has carried a call before.
func (con *Conn) Reused() bool { return con.reused }

// largeCall is the size in bytes from which a call is sent while its answer is awaited, since replicas may answer
// before they have read it whole.
const largeCall = 8 << 10

// WriteRequest sends the bytes of a call. Long ones are sent in the background.
func (con *Conn) WriteRequest(msg []byte) error {
	con.clean = false
	if len(msg) < largeCall {
		_, err := con.Write(msg)
		con.writing <- err
		if err != nil {
			return fmt.Errorf("pool: send: %w", trace.ConnectionProblem(err, "replica %s", con.replica))
		}
		return nil
	}
	go func() {
		_, err := con.Write(msg)
		con.writing <- err
	}()
	return nil
}

// ReadResponse reads the head of the response to the call that was sent. The function isOurs tells whether a response
// belongs to that call; others are read and dropped, at most mostForeign of them.
func (con *Conn) ReadResponse(method string, isOurs func(res *http.Response) bool) (*http.Response, error) {
	const mostForeign = 3
	req := &http.Request{Method: method}
	for range mostForeign {
		res, err := http.ReadResponse(con.reader, req)
		if err != nil {
			return nil, fmt.Errorf("pool: receive: %w", trace.ConnectionProblem(err, "replica %s", con.replica))
		}
		if res.StatusCode == http.StatusContinue {
			continue
		}
		if isOurs(res) {
			return res, nil
		}
		if _, err := io.Copy(io.Discard, res.Body); err != nil {
			return nil, fmt.Errorf("pool: skip a foreign answer: %w", err)
		}
	}
	return nil, ErrForeignResponse
}

// Release returns the connection to the pool after the body of res was read to its end. It is kept if it can carry
// another call, and closed otherwise.
func (con *Conn) Release(res *http.Response) {
	con.clean = !res.Close // Set as well for answers that end with their connection.
	con.keep = idleTime(res.Header.Get("Keep-Alive"))
	select {
	case err := <-con.writing:
		con.clean = con.clean && err == nil
	default: // The answer came before the call was sent whole, so the rest of it is still due.
		con.clean = false
	}
	if !con.clean || con.reader.Buffered() > 0 {
		_ = con.Close() // The answer is complete.
		return
	}
	con.since = con.pool.clock.Now()
	con.pool.put(con)
}

func (pol *Pool) put(con *Conn) {
	pol.mu.Lock()
	list := pol.idle[con.replica]
	list = append(list, con)
	var oldest *Conn
	if len(list) > mostKept {
		oldest = list[0]
		list = list[1:]
	}
	pol.idle[con.replica] = list
	pol.mu.Unlock()
	if oldest != nil {
		_ = oldest.Close() // Nothing is in flight on an idle connection.
	}
}

// Close implements net.Conn. It resets the connection if data is unread, so that the replica stops working.
func (con *Conn) Close() error {
	if err := con.Conn.Close(); err != nil {
		return fmt.Errorf("pool: close: %w", err)
	}
	return nil
}

// idleTime reads how long a replica keeps an idle connection from its Keep-Alive header.
func idleTime(header string) time.Duration {
	for _, part := range strings.Split(header, ",") {
		name, val, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if sec, err := strconv.Atoi(val); err == nil && sec >= 0 {
			return min(time.Duration(sec)*time.Second, mostIdle)
		}
	}
	return defaultIdle
}
