package link

import (
	"context"
	"fmt"

	"github.com/coder/websocket"
	"github.com/gravitational/trace"

	"github.com/tarragonwheel/tarragonwheel/proto"
)

// outgoing is a frame to be sent. If written is set, it is closed once the frame has been written.
type outgoing struct {
	raw     []byte
	written chan struct{}
}

// Send sends a message that belongs to the connection rather than to a stream.
func (con *Conn) Send(knd proto.Kind, msg any) error {
	raw, err := proto.Encode(knd, 0, msg)
	if err != nil {
		return fmt.Errorf("link: send %s: %w", knd, err)
	}
	return con.sendUrgent(raw)
}

// flush returns when all that was sent on the connection's streams so far has been written to the network.
func (con *Conn) flush(ctx context.Context) error {
	mark := outgoing{written: make(chan struct{})}
	if err := con.enqueue(ctx, mark); err != nil {
		return fmt.Errorf("link: flush: %w", err)
	}
	select {
	case <-mark.written:
		return nil
	case <-con.Done():
		return fmt.Errorf("link: flush: %w", ErrClosed)
	case <-ctx.Done():
		return fmt.Errorf("link: flush: %w", context.Cause(ctx))
	}
}

func (con *Conn) sendUrgent(raw []byte) error {
	select {
	case con.urgent <- raw:
		return nil
	case <-con.Done():
		return fmt.Errorf("link: send: %w", ErrClosed)
	default:
		// The peer takes nothing while thousands of small frames wait: it is as good as lost.
		go con.Close()
		return fmt.Errorf("link: send: %w", trace.LimitExceeded("send queue to %s is full", con.peer.Name))
	}
}

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
		out, err := con.nextOut(ctx)
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
	lim, cancel := context.WithTimeout(ctx, writeLimit)
	defer cancel()
	if err := con.sock.Write(lim, websocket.MessageBinary, raw); err != nil {
		return fmt.Errorf("write frame: %w", trace.ConnectionProblem(err, "peer %s: %v", con.peer.Name, err))
	}
	return nil
}

// nextOut prefers urgent frames, so that heartbeats and credit do not wait behind bodies.
func (con *Conn) nextOut(ctx context.Context) (outgoing, error) {
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
