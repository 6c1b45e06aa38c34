package logs

import (
	"context"
	"fmt"
	"io"
	"sync/atomic"

	"github.com/tarragonwheel/tarragonwheel/group"
)

// maxQueuedLines is the largest number of lines that wait to be written.
const maxQueuedLines = 2000

// Bounded is a writer that never blocks. It queues lines and drops those that arrive while the queue is full. Their
// number is written as a log line after the next line that reaches the output.
type Bounded struct {
	lines   chan []byte
	dropped atomic.Int64
	onDrop  func()
}

// NewBounded returns a Bounded that writes to out on a goroutine of grp. The function onDrop is called for each dropped
// line; it may be nil.
func NewBounded(grp *group.Group, out io.Writer, onDrop func()) *Bounded {
	if onDrop == nil {
		onDrop = func() {}
	}
	bnd := &Bounded{lines: make(chan []byte, maxQueuedLines), onDrop: onDrop}
	grp.Go("logs", func(ctx context.Context) error {
		bnd.run(ctx, out)
		return nil
	})
	return bnd
}

// Write implements io.Writer. It expects one whole line and never fails.
func (bnd *Bounded) Write(line []byte) (int, error) {
	select {
	case bnd.lines <- append([]byte(nil), line...):
	default:
		bnd.dropped.Add(1)
		bnd.onDrop()
	}
	return len(line), nil
}

func (bnd *Bounded) run(ctx context.Context, out io.Writer) {
	for {
		select {
		case line := <-bnd.lines:
			bnd.writeLine(out, line)
		case <-ctx.Done():
			bnd.flush(out)
			return
		}
	}
}

// flush writes the lines that are still queued when the process ends.
func (bnd *Bounded) flush(out io.Writer) {
	for {
		select {
		case line := <-bnd.lines:
			bnd.writeLine(out, line)
		default:
			return
		}
	}
}

func (bnd *Bounded) writeLine(out io.Writer, line []byte) {
	_, _ = out.Write(line) // A failure cannot be reported: the log itself is the only output.
	if num := bnd.dropped.Swap(0); num > 0 {
		_, _ = fmt.Fprintf(out, "msg=\"logs: lines dropped\" lines=%d\n", num)
	}
}
