package wire_test

import (
	"errors"
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tarragonwheel/tarragonwheel/wire"
)

// endedConn is a connection of which the end is read. Writing to it returns an error, or blocks until the deadline if
// there is none.
type endedConn struct {
	net.Conn
	writeErr error
	deadline chan struct{}
}

func newEndedConn(writeErr error) *endedConn {
	return &endedConn{writeErr: writeErr, deadline: make(chan struct{})}
}

func (con *endedConn) Read([]byte) (int, error) { return 0, io.EOF }

func (con *endedConn) Write([]byte) (int, error) {
	if con.writeErr != nil {
		return 0, &net.OpError{Op: "write", Err: os.NewSyscallError("write", con.writeErr)}
	}
	<-con.deadline
	return 0, os.ErrDeadlineExceeded
}

func (con *endedConn) SetWriteDeadline(time.Time) error {
	close(con.deadline)
	return nil
}

// TestReadReportsWhatWriteHasSeen guards against a response that a reset or a timeout has cut off, and that seems to
// end in order because only the writer of the request was told.
func TestReadReportsWhatWriteHasSeen(t *testing.T) {
	for _, failure := range []error{
		syscall.ECONNRESET, syscall.ETIMEDOUT, syscall.EHOSTUNREACH, syscall.ENETUNREACH, syscall.ECONNABORTED,
	} {
		iis := is.New(t)
		con := wire.NewConn(newEndedConn(failure))
		_, err := con.Write([]byte("x"))
		iis.True(errors.Is(err, failure))
		_, err = con.Read(make([]byte, 1))
		iis.True(errors.Is(err, failure))
		iis.True(!errors.Is(err, io.EOF))
	}
}

// TestReadReportsAnOrderlyEnd guards against a complete response that counts as cut off because the other side has not
// read the whole request.
func TestReadReportsAnOrderlyEnd(t *testing.T) {
	iis := is.New(t)
	con := wire.NewConn(newEndedConn(syscall.EPIPE))
	_, err := con.Write([]byte("x"))
	iis.True(errors.Is(err, syscall.EPIPE))
	_, err = con.Read(make([]byte, 1))
	iis.Equal(err, io.EOF)
}

// TestEndStopsAWriteInProgress guards against a reader that waits for a writer which waits for the other side.
func TestEndStopsAWriteInProgress(t *testing.T) {
	iis := is.New(t)
	con := wire.NewConn(newEndedConn(nil))
	done := make(chan error)
	go func() {
		_, err := con.Write([]byte("x"))
		done <- err
	}()
	time.Sleep(20 * time.Millisecond) // Lets the write begin.
	_, err := con.Read(make([]byte, 1))
	iis.Equal(err, io.EOF)
	iis.True(errors.Is(<-done, os.ErrDeadlineExceeded))
}
