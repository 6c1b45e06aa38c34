package wire

import (
	"bytes"
	"errors"
	"fmt"
	"net"
	"sync"
	"syscall"
)

// Conn is a connection on which HTTP responses arrive. It keeps the bytes of a head, since package net/http does not
// return them.
type Conn struct {
	net.Conn
	mu          sync.Mutex
	isRecording bool
	head        []byte
}

// NewConn returns a Conn that reads from and writes to the given connection.
func NewConn(con net.Conn) *Conn { return &Conn{Conn: con} }

// RecordHead keeps the bytes that are read from now on, after those that have been read of the head before.
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

// Read implements net.Conn.
func (con *Conn) Read(buf []byte) (int, error) {
	num, err := con.Conn.Read(buf)
	con.mu.Lock()
	defer con.mu.Unlock()
	if con.isRecording {
		con.head = append(con.head, buf[:num]...)
	}
	return num, err //nolint:wrapcheck // Callers compare it with io.EOF, as io.Reader requires.
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
