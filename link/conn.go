// Package link is the transport between entry and agent processes: mutually authenticated WebSocket connections that
// multiplex streams of CBOR frames, with credit-based flow control for each stream.
package link

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/coder/websocket"
	"github.com/go-logr/logr"
	"github.com/gravitational/trace"

	"github.com/tarragonwheel/tarragonwheel/group"
	"github.com/tarragonwheel/tarragonwheel/metric"
	"github.com/tarragonwheel/tarragonwheel/proto"
	"github.com/tarragonwheel/tarragonwheel/timer"
)

const (
	// HeartbeatInterval is the time between two heartbeats on a connection.
	HeartbeatInterval = time.Second
	// PeerTimeout is the time without any frame after which a connection to a peer is closed. Three missed heartbeats
	// distinguish a paused peer from a delayed packet, and 3 s bound the time for which a lost upstream still gets new
	// calls.
	PeerTimeout = 3 * time.Second
	// WindowBytes is the number of body bytes that may be in flight on a stream in one direction.
	WindowBytes = 64 << 10
	// MaxDataFrameBytes is the largest body of a data frame. It keeps one stream from delaying the others of its
	// connection.
	MaxDataFrameBytes = 16 << 10

	handshakeTimeout   = 3 * time.Second
	writeTimeout       = 5 * time.Second
	maxFrameBytes      = 4 << 20
	orderedQueueFrames = 128
	urgentQueueFrames  = 4096
	minGrantBytes      = WindowBytes / 2 // body bytes that a stream consumes before it grants credit for them
)

// ErrClosed is returned by operations on a closed connection or stream.
var ErrClosed = errors.New("link: closed")

// Options configure the connections of a process.
type Options struct {
	Secret  []byte // shared by all processes of the deployment
	Local   proto.Peer
	Clock   *timer.Service
	Metrics *metric.Set
	Log     logr.Logger

	// Heartbeats sends the heartbeats of all connections of the process. If it is nil, each connection sends its own,
	// with the messages that HeartbeatMessage returns.
	Heartbeats       *Heartbeats
	HeartbeatMessage func() (proto.Kind, any)
	// OnFrame is called on the read loop with each frame that belongs to the connection rather than to a stream. It
	// must not block.
	OnFrame func(con *Conn, frm proto.Frame)
	// OnOpen is called on a goroutine of its own for each stream that the peer opens. The stream is closed when it
	// returns.
	OnOpen func(str *Stream, msg proto.Open)
}

// Conn is an authenticated connection to a peer.
type Conn struct {
	opts         Options
	peer         proto.Peer
	sock         *websocket.Conn
	grp          *group.Group
	urgent       chan []byte   // frames of the connection and credit, written before ordered ones
	ordered      chan outgoing // frames of streams
	lastReceived atomic.Int64  // nanoseconds since the epoch, on the local clock
	dialed       bool
	openSlot     chan struct{} // holds a value while a stream is opened, so that stream IDs arrive in order
	nextID       uint64
	mu           sync.Mutex
	streams      map[uint64]*Stream
	lastAccepted uint64 // highest stream ID that the peer has opened
	closeErr     error
}

func newConn(parent context.Context, sock *websocket.Conn, peer proto.Peer, opts Options, dialed bool) *Conn {
	con := &Conn{
		opts:     opts,
		peer:     peer,
		sock:     sock,
		dialed:   dialed,
		grp:      group.New(parent, "link "+peer.Name),
		urgent:   make(chan []byte, urgentQueueFrames),
		ordered:  make(chan outgoing, orderedQueueFrames),
		openSlot: make(chan struct{}, 1),
		streams:  make(map[uint64]*Stream),
	}
	sock.SetReadLimit(maxFrameBytes)
	con.lastReceived.Store(opts.Clock.Now().UnixNano())
	hbs := opts.Heartbeats
	if hbs == nil {
		hbs = NewHeartbeats(con.grp, opts.Clock, opts.HeartbeatMessage)
	}
	hbs.add(con)
	con.grp.OnStop(func() { hbs.remove(con) })
	con.grp.OnStop(func() { _ = sock.CloseNow() })
	con.grp.OnStop(con.endStreams)
	con.grp.Go("read", con.readLoop)
	con.grp.Go("write", con.writeLoop)
	go func() { _ = con.grp.Wait() }()
	return con
}

// Peer returns the description that the other end proved in the handshake.
func (con *Conn) Peer() proto.Peer { return con.peer }

// Done is closed when the connection has ended.
func (con *Conn) Done() <-chan struct{} { return con.grp.Context().Done() }

// Err returns the cause of the connection's end, or nil while it is open.
func (con *Conn) Err() error { return context.Cause(con.grp.Context()) }

// Close closes the connection and all its streams, and waits until the OnOpen calls of its streams have returned.
func (con *Conn) Close() {
	_ = con.grp.Stop()
}

// Open opens a stream to the peer. Only the dialing side can open streams. If Open returns an error, the peer has not
// received the message and never will.
func (con *Conn) Open(ctx context.Context, msg proto.Open) (*Stream, error) {
	if !con.dialed {
		return nil, trace.BadParameter("link: only the dialing side can open streams")
	}
	select {
	case con.openSlot <- struct{}{}:
		defer func() { <-con.openSlot }()
	case <-con.Done():
		return nil, fmt.Errorf("link: open stream: %w", ErrClosed)
	case <-ctx.Done():
		return nil, fmt.Errorf("link: open stream: %w", context.Cause(ctx))
	}
	con.nextID++
	str := newStream(con, con.nextID)
	con.mu.Lock()
	if con.closeErr != nil {
		con.mu.Unlock()
		return nil, fmt.Errorf("link: open stream: %w", ErrClosed)
	}
	con.streams[str.id] = str
	con.mu.Unlock()
	raw, err := proto.Encode(proto.KindOpen, str.id, msg)
	if err == nil {
		err = con.sendOrdered(ctx, raw)
	}
	if err != nil {
		str.Close()
		return nil, fmt.Errorf("link: open stream: %w", err)
	}
	return str, nil
}

// Shutdown closes the connection gracefully: it first writes all frames that are queued on its streams and completes
// the closing handshake. Closing the socket at once could discard data that the peer has not read yet.
func (con *Conn) Shutdown(ctx context.Context) error {
	defer con.Close()
	if err := con.flush(ctx); err != nil {
		return err
	}
	if err := con.sock.Close(websocket.StatusGoingAway, "planned stop"); err != nil {
		return fmt.Errorf("link: shut down: %w", trace.ConnectionProblem(err, "%v", err))
	}
	return nil
}

func (con *Conn) readLoop(ctx context.Context) error {
	for {
		_, raw, err := con.sock.Read(ctx)
		if err != nil {
			return fmt.Errorf("read frame: %w", trace.ConnectionProblem(err, "peer %s: %v", con.peer.Name, err))
		}
		con.lastReceived.Store(con.opts.Clock.Now().UnixNano())
		frm, err := proto.Decode(raw)
		if err != nil {
			con.opts.Metrics.CountDroppedFrame("malformed-frame")
			return fmt.Errorf("read frame: %w", err)
		}
		if err := con.dispatch(frm); err != nil {
			return fmt.Errorf("dispatch %s: %w", frm.Kind, err)
		}
	}
}

// dispatch passes a received frame to OnFrame, OnOpen or the frame's stream. An error closes the connection.
func (con *Conn) dispatch(frm proto.Frame) error {
	if frm.Stream == 0 {
		if con.opts.OnFrame != nil {
			con.opts.OnFrame(con, frm)
		}
		return nil
	}
	if frm.Kind == proto.KindOpen {
		return con.accept(frm)
	}
	con.mu.Lock()
	str := con.streams[frm.Stream]
	con.mu.Unlock()
	if str == nil {
		con.opts.Metrics.CountDroppedFrame("unknown-stream")
		return nil
	}
	return str.receive(frm)
}

func (con *Conn) accept(frm proto.Frame) error {
	msg, err := proto.Parse[proto.Open](frm)
	if err != nil {
		return err
	}
	str := newStream(con, frm.Stream)
	con.mu.Lock()
	if con.dialed || con.opts.OnOpen == nil || frm.Stream <= con.lastAccepted {
		con.mu.Unlock()
		return trace.BadParameter("%s opened stream %d: not allowed, or ID out of order", con.peer.Name, frm.Stream)
	}
	con.lastAccepted = frm.Stream
	con.streams[str.id] = str
	con.mu.Unlock()
	con.grp.Go("stream", func(context.Context) error {
		defer str.Close()
		con.opts.OnOpen(str, msg)
		return nil
	})
	return nil
}

func (con *Conn) removeStream(str *Stream) {
	con.mu.Lock()
	defer con.mu.Unlock()
	delete(con.streams, str.id)
}

// endStreams closes the streams that are left. It runs after the connection's goroutines have returned.
func (con *Conn) endStreams() {
	con.mu.Lock()
	con.closeErr = ErrClosed
	left := make([]*Stream, 0, len(con.streams))
	for _, str := range con.streams {
		left = append(left, str)
	}
	con.mu.Unlock()
	for _, str := range left {
		str.Close()
	}
}

// OpenStreams returns the number of streams that have not been closed.
func (con *Conn) OpenStreams() int {
	con.mu.Lock()
	defer con.mu.Unlock()
	return len(con.streams)
}
