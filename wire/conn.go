package wire

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// Conn is a connection on which HTTP responses arrive. It keeps the bytes of a head, since package net/http does not
// return them, and tells an orderly end from a reset. One goroutine at a time may read from it, and another one may
// write to it.
type Conn struct {
	net.Conn
	mu          sync.Mutex // guards isRecording and head; not held while reading
	isRecording bool
	head        []byte
	writing     sync.Mutex // held while writing; guards writeErr
	writeErr    error      // the first error of writing
}

// NewConn returns a Conn that reads from and writes to the given connection.
func NewConn(con net.Conn) *Conn { return &Conn{Conn: con} }

// RecordHead keeps the bytes that are read from now on. The given ones are the beginning of the head, if a buffer of
// the reader holds one already.
func (con *Conn) RecordHead(buffered []byte) {
	con.mu.Lock()
	defer con.mu.Unlock()
	con.isRecording, con.head = true, bytes.Clone(buffered)
}

// Head ends the recording and returns what was kept: the head, and perhaps bytes that follow it.
func (con *Conn) Head() []byte {
	con.mu.Lock()
	defer con.mu.Unlock()
	head := con.head
	con.isRecording, con.head = false, nil
	return head
}

// Read implements net.Conn. It returns io.EOF only if the other side has closed the connection in order.
func (con *Conn) Read(buf []byte) (int, error) {
	num, err := con.Conn.Read(buf)
	if errors.Is(err, io.EOF) {
		if failure := con.failure(); failure != nil {
			err = fmt.Errorf("wire: receive: %w", failure)
		}
	}
	con.mu.Lock()
	defer con.mu.Unlock()
	if con.isRecording {
		con.head = append(con.head, buf[:num]...)
	}
	return num, err //nolint:wrapcheck // Callers compare it with io.EOF, as io.Reader requires.
}

// Write implements net.Conn.
func (con *Conn) Write(buf []byte) (int, error) {
	con.writing.Lock()
	defer con.writing.Unlock()
	num, err := con.Conn.Write(buf)
	if con.writeErr == nil {
		con.writeErr = err
	}
	return num, err //nolint:wrapcheck // The error of the connection, as io.Writer requires.
}

// failure returns why the connection has failed, once its end has been read, or nil if the other side has closed it in
// order. The kernel reports a reset or a timeout to one operation only. If that is a Write, a Read finds the end of the
// connection as after an orderly close. A Write after an orderly close fails with EPIPE, also if a reset follows.
func (con *Conn) failure() error {
	_ = con.SetWriteDeadline(time.Unix(0, 0)) // Ends a Write in progress, as no response can come any more.
	con.writing.Lock()
	defer con.writing.Unlock()
	switch {
	case con.writeErr == nil, errors.Is(con.writeErr, syscall.EPIPE), errors.Is(con.writeErr, os.ErrDeadlineExceeded),
		errors.Is(con.writeErr, net.ErrClosed):
		return nil
	}
	return con.writeErr
}

// SyscallConn implements syscall.Conn. It returns an error that wraps errors.ErrUnsupported if the connection has no
// file descriptor.
func (con *Conn) SyscallConn() (syscall.RawConn, error) {
	sys, ok := con.Conn.(syscall.Conn)
	if !ok {
		return nil, fmt.Errorf("wire: file descriptor of %T: %w", con.Conn, errors.ErrUnsupported)
	}
	raw, err := sys.SyscallConn()
	if err != nil {
		return nil, fmt.Errorf("wire: file descriptor: %w", err)
	}
	return raw, nil
}
