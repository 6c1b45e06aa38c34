package front

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tarragonwheel/tarragonwheel/timer"
)

// TestRequestOnAnExpiringConnectionIsRead guards against a call whose connection keeps the deadline by which it should
// have been closed as idle: the server takes that for a client that has left.
func TestRequestOnAnExpiringConnectionIsRead(t *testing.T) {
	iis := is.New(t)
	clk, man := timer.NewManual(time.Now().Add(-time.Hour))
	srv := &clientServer{clock: clk, idleSince: make(map[net.Conn]time.Time), expired: make(map[net.Conn]bool)}
	con, client := net.Pipe()
	defer func() { _ = client.Close() }()
	srv.recordConnState(con, http.StateIdle)
	man.Advance(time.Minute)
	srv.closeExpired(time.Second)
	srv.recordConnState(con, http.StateActive) // The server had read the request already.
	go func() { _, _ = io.WriteString(client, "x") }()
	_, err := con.Read(make([]byte, 1))
	iis.NoErr(err)
	iis.Equal(len(srv.idleSince)+len(srv.expired), 0)
}
