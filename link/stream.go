package link

import (
	"context"
	"fmt"
	"io"
	"sync"

	"github.com/gravitational/trace"

	"github.com/tarragonwheel/tarragonwheel/proto"
)

// Stream is one request's exchange on a connection. Its context ends when the peer cancels it, when it is closed, or
// when the connection ends.
type Stream struct {
	con    *Conn
	id     uint64
	ctx    context.Context
	cancel context.CancelCauseFunc

	mu      sync.Mutex
	inbox   []proto.Frame
	granted int // body bytes that the peer may still send
	eaten   int // body bytes consumed since the last grant
	wake    chan struct{}
	credit  int // body bytes that may still be sent to the peer
	room    chan struct{}
}

func newStream(con *Conn, id uint64) *Stream {
	ctx, cancel := context.WithCancelCause(con.grp.Context())
	return &Stream{
		con:     con,
		id:      id,
		ctx:     ctx,
		cancel:  cancel,
		granted: Window,
		credit:  Window,
		wake:    make(chan struct{}, 1),
		room:    make(chan struct{}, 1),
	}
}

// Context ends when the attempt should stop.
func (str *Stream) Context() context.Context { return str.ctx }

// Conn returns the stream's connection.
func (str *Stream) Conn() *Conn { return str.con }

// Close forgets the stream. Frames that arrive for it later are dropped.
func (str *Stream) Close() {
	str.con.forget(str)
	str.cancel(ErrClosed)
}

// Send sends a message of this stream, in order with the body.
func (str *Stream) Send(knd proto.Kind, msg any) error {
	raw, err := proto.Encode(knd, str.id, msg)
	if err != nil {
		return fmt.Errorf("link: send %s: %w", knd, err)
	}
	// A cancelled stream still has to tell its result, so only the end of the connection interrupts.
	return str.con.sendOrdered(str.con.grp.Context(), raw)
}

// Write sends body bytes. It blocks while the peer has granted no credit.
func (str *Stream) Write(body []byte) (int, error) {
	sent := 0
	for sent < len(body) {
		num, err := str.takeCredit(min(len(body)-sent, ChunkBytes))
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

func (str *Stream) takeCredit(want int) (int, error) {
	for {
		str.mu.Lock()
		num := min(want, str.credit)
		str.credit -= num
		str.mu.Unlock()
		if num > 0 {
			return num, nil
		}
		select {
		case <-str.room:
		case <-str.ctx.Done():
			return 0, fmt.Errorf("link: write body: %w", context.Cause(str.ctx))
		}
	}
}

// receive runs on the connection's read loop and never blocks.
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
		return str.queue(frm)
	}
}

func (str *Stream) addCredit(frm proto.Frame) error {
	msg, err := proto.Parse[proto.Credit](frm)
	if err != nil {
		return err
	}
	str.mu.Lock()
	str.credit = min(str.credit+max(msg.Bytes, 0), Window)
	str.mu.Unlock()
	notify(str.room)
	return nil
}

func (str *Stream) queue(frm proto.Frame) error {
	str.mu.Lock()
	defer str.mu.Unlock()
	if frm.Kind == proto.KindData {
		body, err := frm.Bytes()
		if err != nil {
			return fmt.Errorf("link: receive body: %w", err)
		}
		str.granted -= len(body)
		if str.granted < 0 {
			return trace.LimitExceeded("peer %s sent more than its credit", str.con.peer.Name)
		}
	}
	str.inbox = append(str.inbox, frm)
	notify(str.wake)
	return nil
}

func notify(sig chan struct{}) {
	select {
	case sig <- struct{}{}:
	default:
	}
}

// Next returns the next frame of the stream, in order. Frames that had arrived before the end of the stream are
// delivered first; then it returns the cause of the end.
func (str *Stream) Next(ctx context.Context) (proto.Frame, error) {
	for {
		if frm, ok := str.pop(); ok {
			return frm, nil
		}
		select {
		case <-str.wake:
		case <-str.ctx.Done():
			if frm, ok := str.pop(); ok {
				return frm, nil
			}
			return proto.Frame{}, fmt.Errorf("link: next frame: %w", context.Cause(str.ctx))
		case <-ctx.Done():
			return proto.Frame{}, fmt.Errorf("link: next frame: %w", context.Cause(ctx))
		}
	}
}

func (str *Stream) pop() (proto.Frame, bool) {
	str.mu.Lock()
	defer str.mu.Unlock()
	if len(str.inbox) == 0 {
		return proto.Frame{}, false
	}
	frm := str.inbox[0]
	str.inbox[0] = proto.Frame{}
	str.inbox = str.inbox[1:]
	if len(str.inbox) == 0 {
		str.inbox = nil // An idle stream keeps no buffer.
	}
	return frm, true
}

// Data decodes the body bytes of a data frame and grants the peer credit for them.
func (str *Stream) Data(frm proto.Frame) ([]byte, error) {
	body, err := frm.Bytes()
	if err != nil {
		return nil, fmt.Errorf("link: read body: %w", err)
	}
	str.mu.Lock()
	str.eaten += len(body)
	grant := 0
	if str.eaten >= windowGrantSize {
		grant = str.eaten
		str.eaten = 0
		str.granted += grant
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

// Body reads the peer's body up to End as an io.Reader.
type Body struct {
	str  *Stream
	ctx  context.Context
	rest []byte
	done bool
}

// Body returns a reader of the peer's body. It must be the only reader of the stream's frames until it returns io.EOF.
func (str *Stream) Body(ctx context.Context) *Body {
	return &Body{str: str, ctx: ctx}
}

// Read implements io.Reader.
func (bdy *Body) Read(buf []byte) (int, error) {
	for len(bdy.rest) == 0 {
		if bdy.done {
			return 0, io.EOF
		}
		if err := bdy.fill(); err != nil {
			return 0, err
		}
	}
	num := copy(buf, bdy.rest)
	bdy.rest = bdy.rest[num:]
	return num, nil
}

func (bdy *Body) fill() error {
	frm, err := bdy.str.Next(bdy.ctx)
	if err != nil {
		return err
	}
	switch frm.Kind {
	case proto.KindEnd:
		bdy.done = true
		return nil
	case proto.KindData:
		bdy.rest, err = bdy.str.Data(frm)
		return err
	default:
		return trace.BadParameter("link: unexpected %s in a body", frm.Kind)
	}
}
