package link

import (
	"context"
	"fmt"
	"io"
	"sync"

	"github.com/gravitational/trace"

	"github.com/tarragonwheel/tarragonwheel/proto"
)

// Stream carries the frames of one attempt of a call, in both directions. Its context is done when the peer cancels the
// stream, when it is closed, or when the connection ends.
type Stream struct {
	con    *Conn
	id     uint64
	ctx    context.Context
	cancel context.CancelCauseFunc

	mu          sync.Mutex
	received    []proto.Frame
	recvCredit  int // body bytes that the peer may still send
	consumed    int // body bytes consumed since credit was last granted
	frameReady  chan struct{}
	sendCredit  int // body bytes that may still be sent to the peer
	creditReady chan struct{}
}

func newStream(con *Conn, id uint64) *Stream {
	ctx, cancel := context.WithCancelCause(con.grp.Context())
	return &Stream{
		con:         con,
		id:          id,
		ctx:         ctx,
		cancel:      cancel,
		recvCredit:  WindowBytes,
		sendCredit:  WindowBytes,
		frameReady:  make(chan struct{}, 1),
		creditReady: make(chan struct{}, 1),
	}
}

// Context returns the context that is done when the attempt should stop.
func (str *Stream) Context() context.Context { return str.ctx }

// Conn returns the stream's connection.
func (str *Stream) Conn() *Conn { return str.con }

// Close ends the stream on this side. Frames that arrive for it later are dropped.
func (str *Stream) Close() {
	str.con.removeStream(str)
	str.cancel(ErrClosed)
}

// Send queues a message on the stream, in order with the body. It blocks while the send queue is full.
func (str *Stream) Send(knd proto.Kind, msg any) error {
	raw, err := proto.Encode(knd, str.id, msg)
	if err != nil {
		return fmt.Errorf("link: send %s: %w", knd, err)
	}
	// A cancelled stream must still be able to send its result, so only the end of the connection interrupts this.
	return str.con.sendOrdered(str.con.grp.Context(), raw)
}

// Write implements io.Writer: it sends body bytes in data frames. It blocks while the peer grants no credit.
func (str *Stream) Write(body []byte) (int, error) {
	sent := 0
	for sent < len(body) {
		num, err := str.acquireCredit(min(len(body)-sent, MaxDataFrameBytes))
		if err != nil {
			return sent, err
		}
		raw, err := proto.Encode(proto.KindData, str.id, body[sent:sent+num])
		if err != nil {
			return sent, fmt.Errorf("link: write body: %w", err)
		}
		if err := str.con.sendOrdered(str.ctx, raw); err != nil {
			return sent, fmt.Errorf("link: write body: %w", err)
		}
		sent += num
	}
	return sent, nil
}

// CloseWrite tells the peer that the body is complete.
func (str *Stream) CloseWrite() error {
	return str.Send(proto.KindEnd, nil)
}

// acquireCredit blocks until there is credit, and uses up to want bytes of it. It returns the number of bytes.
func (str *Stream) acquireCredit(want int) (int, error) {
	for {
		str.mu.Lock()
		num := min(want, str.sendCredit)
		str.sendCredit -= num
		str.mu.Unlock()
		if num > 0 {
			return num, nil
		}
		select {
		case <-str.creditReady:
		case <-str.ctx.Done():
			return 0, fmt.Errorf("link: write body: %w", context.Cause(str.ctx))
		}
	}
}

// receive handles a frame of the stream. It runs on the connection's read loop and never blocks.
func (str *Stream) receive(frm proto.Frame) error {
	switch frm.Kind {
	case proto.KindCredit:
		return str.addCredit(frm)
	case proto.KindCancel:
		msg, err := proto.Parse[proto.Cancel](frm)
		if err != nil {
			return err
		}
		str.cancel(trace.ConnectionProblem(nil, "cancelled by peer: %s", msg.Reason))
		return nil
	default:
		return str.enqueue(frm)
	}
}

func (str *Stream) addCredit(frm proto.Frame) error {
	msg, err := proto.Parse[proto.Credit](frm)
	if err != nil {
		return err
	}
	str.mu.Lock()
	str.sendCredit = min(str.sendCredit+max(msg.Bytes, 0), WindowBytes)
	str.mu.Unlock()
	signal(str.creditReady)
	return nil
}

// enqueue keeps a frame for Next. It returns an error if the peer exceeds the credit that it was granted, which bounds
// the memory of the queue.
func (str *Stream) enqueue(frm proto.Frame) error {
	str.mu.Lock()
	defer str.mu.Unlock()
	if frm.Kind == proto.KindData {
		body, err := frm.Bytes()
		if err != nil {
			return fmt.Errorf("link: receive body: %w", err)
		}
		str.recvCredit -= len(body)
		if str.recvCredit < 0 {
			return trace.LimitExceeded("peer %s sent more than its credit", str.con.peer.Name)
		}
	}
	str.received = append(str.received, frm)
	signal(str.frameReady)
	return nil
}

// signal wakes the receiver of sig. It does not block if a signal is pending already.
func signal(sig chan struct{}) {
	select {
	case sig <- struct{}{}:
	default:
	}
}

// Next returns the next frame of the stream, in order, and blocks until there is one. After the end of the stream it
// returns the frames that had arrived before; then an error that wraps the cause of the end.
func (str *Stream) Next(ctx context.Context) (proto.Frame, error) {
	for {
		if frm, ok := str.dequeue(); ok {
			return frm, nil
		}
		select {
		case <-str.frameReady:
		case <-str.ctx.Done():
			if frm, ok := str.dequeue(); ok {
				return frm, nil
			}
			return proto.Frame{}, fmt.Errorf("link: next frame: %w", context.Cause(str.ctx))
		case <-ctx.Done():
			return proto.Frame{}, fmt.Errorf("link: next frame: %w", context.Cause(ctx))
		}
	}
}

func (str *Stream) dequeue() (proto.Frame, bool) {
	str.mu.Lock()
	defer str.mu.Unlock()
	if len(str.received) == 0 {
		return proto.Frame{}, false
	}
	frm := str.received[0]
	str.received[0] = proto.Frame{}
	str.received = str.received[1:]
	if len(str.received) == 0 {
		str.received = nil // Frees the buffer of an idle stream.
	}
	return frm, true
}

// ReadData returns the body bytes of a data frame, and grants the peer credit each time half a window has been
// consumed.
func (str *Stream) ReadData(frm proto.Frame) ([]byte, error) {
	body, err := frm.Bytes()
	if err != nil {
		return nil, fmt.Errorf("link: read body: %w", err)
	}
	str.mu.Lock()
	str.consumed += len(body)
	grant := 0
	if str.consumed >= minGrantBytes {
		grant = str.consumed
		str.consumed = 0
		str.recvCredit += grant
	}
	str.mu.Unlock()
	if grant > 0 {
		raw, err := proto.Encode(proto.KindCredit, str.id, proto.Credit{Bytes: grant})
		if err != nil {
			return nil, fmt.Errorf("link: grant credit: %w", err)
		}
		if err := str.con.sendUrgent(raw); err != nil {
			return nil, fmt.Errorf("link: grant credit: %w", err)
		}
	}
	return body, nil
}

// Body is an io.Reader of the body that the peer sends on a stream, up to its end frame.
type Body struct {
	str    *Stream
	ctx    context.Context
	unread []byte
	done   bool
}

// Body returns a reader of the peer's body. Until it returns io.EOF, Next must not be called. Frames other than data
// and end frames fail a read with trace.BadParameter.
func (str *Stream) Body(ctx context.Context) *Body {
	return &Body{str: str, ctx: ctx}
}

// Read implements io.Reader.
func (bdy *Body) Read(buf []byte) (int, error) {
	for len(bdy.unread) == 0 {
		if bdy.done {
			return 0, io.EOF
		}
		if err := bdy.readNext(); err != nil {
			return 0, err
		}
	}
	num := copy(buf, bdy.unread)
	bdy.unread = bdy.unread[num:]
	return num, nil
}

// readNext receives the next data or end frame.
func (bdy *Body) readNext() error {
	frm, err := bdy.str.Next(bdy.ctx)
	if err != nil {
		return err
	}
	switch frm.Kind {
	case proto.KindEnd:
		bdy.done = true
		return nil
	case proto.KindData:
		bdy.unread, err = bdy.str.ReadData(frm)
		return err
	default:
		return trace.BadParameter("link: unexpected %s frame within a body", frm.Kind)
	}
}
