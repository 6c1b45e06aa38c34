package link

import (
	"context"
	"fmt"

	"github.com/coder/websocket"
	"github.com/gravitational/trace"

	"github.com/tarragonwheel/tarragonwheel/proto"
)

// outgoing is an item of the send queue: a frame, or a marker without one. The channel written, if set, is closed when
// the item and all earlier ones have been written.
type outgoing struct {
	raw     []byte
	written chan struct{}
}

// Send queues a message that belongs to the connection rather than to a stream. It does not block. The message is
// written before queued frames of streams.
func (con *Conn) Send(knd proto.Kind, msg any) error {
	raw, err := proto.Encode(knd, 0, msg)
	if err != nil {
		return fmt.Errorf("link: send %s: %w", knd, err)
	}
	return con.sendUrgent(raw)
}

// flush blocks until all frames that are queued on the connection's streams have been written to the socket.
func (con *Conn) flush(ctx context.Context) error {
	marker := outgoing{written: make(chan struct{})}
	if err := con.enqueue(ctx, marker); err != nil {
		return fmt.Errorf("link: flush: %w", err)
	}
	select {
	case <-marker.written:
		return nil
	case <-con.Done():
		return fmt.Errorf("link: flush: %w", ErrClosed)
	case <-ctx.Done():
		return fmt.Errorf("link: flush: %w", context.Cause(ctx))
	}
}

// sendUrgent queues a frame without blocking. If the queue is full, it closes the connection and returns a
// trace.LimitExceeded error.
func (con *Conn) sendUrgent(raw []byte) error {
	select {
	case con.urgent <- raw:
		return nil
	case <-con.Done():
		return fmt.Errorf("link: send: %w", ErrClosed)
	default:
		// Thousands of small frames are queued, so the peer has stopped reading: treat it as lost.
		go con.Close()
		return fmt.Errorf("link: send: %w", trace.LimitExceeded("send queue to %s is full", con.peer.Name))
	}
}

// sendOrdered queues a frame in order with those of all streams. It blocks while the queue is full.
func (con *Conn) sendOrdered(ctx context.Context, raw []byte) error {
	return con.enqueue(ctx, outgoing{raw: raw})
}

func (con *Conn) enqueue(ctx context.Context, out outgoing) error {
	select {
	case con.ordered <- out:
		return nil
	case <-con.Done():
		return fmt.Errorf("link: send: %w", ErrClosed)
	case <-ctx.Done():
		return fmt.Errorf("link: send: %w", context.Cause(ctx))
	}
}

func (con *Conn) writeLoop(ctx context.Context) error {
	for {
		out, err := con.nextOutgoing(ctx)
		if err != nil {
			return err
		}
		if out.raw != nil {
			err = con.write(ctx, out.raw)
		}
		if err != nil {
			return err
		}
		if out.written != nil {
			close(out.written)
		}
	}
}

func (con *Conn) write(ctx context.Context, raw []byte) error {
	tctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	if err := con.sock.Write(tctx, websocket.MessageBinary, raw); err != nil {
		return fmt.Errorf("write frame: %w", trace.ConnectionProblem(err, "peer %s: %v", con.peer.Name, err))
	}
	return nil
}

// nextOutgoing returns the next frame to write. It prefers urgent frames, so that heartbeats and credit do not wait
// behind bodies.
func (con *Conn) nextOutgoing(ctx context.Context) (outgoing, error) {
	select {
	case raw := <-con.urgent:
		return outgoing{raw: raw}, nil
	default:
	}
	select {
	case raw := <-con.urgent:
		return outgoing{raw: raw}, nil
	case out := <-con.ordered:
		return out, nil
	case <-ctx.Done():
		return outgoing{}, fmt.Errorf("write frame: %w", context.Cause(ctx))
	}
}
