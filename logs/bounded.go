package logs

import (
	"context"
	"fmt"
	"io"
	"sync/atomic"

	"github.com/tarragonwheel/tarragonwheel/group"
)

// mostWaiting bounds the lines that wait to be written.
const mostWaiting = 2000

// Bounded is a writer that never blocks. Lines that do not fit are dropped and counted, and the count is written as a
// line of its own when there is room again.
type Bounded struct {
	lines   chan []byte
	dropped atomic.Int64
	onDrop  func()
}

// NewBounded returns a Bounded that writes to out in grp. The function onDrop is called for each dropped line; it may
// be nil.
func NewBounded(grp *group.Group, out io.Writer, onDrop func()) *Bounded {
	if onDrop == nil {
		onDrop = func() {}
	}
	bnd := &Bounded{lines: make(chan []byte, mostWaiting), onDrop: onDrop}
	grp.Go("logs", func(ctx context.Context) error {
		bnd.run(ctx, out)
		return nil
	})
	return bnd
}

// Write implements io.Writer. It takes one line and never fails.
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
			bnd.put(out, line)
		case <-ctx.Done():
			bnd.flush(out)
			return
		}
	}
}

// flush writes what waits at the end of the process.
func (bnd *Bounded) flush(out io.Writer) {
	for {
		select {
		case line := <-bnd.lines:
			bnd.put(out, line)
		default:
			return
		}
	}
}

func (bnd *Bounded) put(out io.Writer, line []byte) {
	_, _ = out.Write(line) // There is no other place to tell that a log line was not written.
	if num := bnd.dropped.Swap(0); num > 0 {
		_, _ = fmt.Fprintf(out, "msg=\"logs: lines dropped\" lines=%d\n", num)
	}
}
