package pool_test

import (
	"errors"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sys/unix"

	"github.com/tarragonwheel/tarragonwheel/pool"
	"github.com/tarragonwheel/tarragonwheel/timer"
)

// checkAlive returns the result of a check.
func checkAlive(t *testing.T, pol *pool.Pool, addr string) error {
	t.Helper()
	result := make(chan error, 1)
	pol.CheckAlive("i-1", addr, func(err error) { result <- err })
	select {
	case err := <-result:
		return err
	case <-time.After(5 * time.Second):
		t.Fatal("the check does not end")
		return nil
	}
}

// TestCheckOfReplicaThatLives guards against a replica that is taken for a crashed one, and against a connection of the
// check that is not used by the next call.
func TestCheckOfReplicaThatLives(t *testing.T) {
	iis := is.New(t)
	pol := pool.New(timer.New())
	addr := startReplica(t, respondWith(ownResponse))
	iis.NoErr(checkAlive(t, pol, addr))
	_, reused, err := exchange(t, pol, addr)
	iis.NoErr(err)
	iis.True(reused)
}

// TestCheckOfReplicaThatHasEnded guards against a crashed replica that is taken for one that lives: it refuses
// connections, closes them once accepted, as with a proxy in between, or does not answer.
func TestCheckOfReplicaThatHasEnded(t *testing.T) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	_ = lis.Close()
	for name, addr := range map[string]string{
		"refuses": lis.Addr().String(),
		"closes":  startReplica(t, func(con net.Conn) { _ = con.Close() }),
		"resets": startReplica(t, func(con net.Conn) {
			_ = con.(*net.TCPConn).SetLinger(0) // Without it, the connection is closed in order.
			_ = con.Close()
		}),
		"silent": silentAddress(t),
	} {
		t.Run(name, func(t *testing.T) {
			iis := is.New(t)
			start := time.Now()
			iis.True(errors.Is(checkAlive(t, pool.New(timer.New()), addr), pool.ErrReplicaEnded))
			iis.True(time.Since(start) < 3*time.Second)
		})
	}
}

// silentAddress returns an address at which connections are neither accepted nor refused, as its backlog is full.
func silentAddress(t *testing.T) string {
	t.Helper()
	iis := is.New(t)
	sock, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM, 0)
	iis.NoErr(err)
	t.Cleanup(func() { _ = unix.Close(sock) })
	iis.NoErr(unix.Bind(sock, &unix.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}))
	iis.NoErr(unix.Listen(sock, 0))
	name, err := unix.Getsockname(sock)
	iis.NoErr(err)
	addr := &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1), Port: name.(*unix.SockaddrInet4).Port}
	for range 4 { // More than the backlog takes.
		con, err := net.DialTimeout("tcp", addr.String(), 50*time.Millisecond)
		if err == nil {
			t.Cleanup(func() { _ = con.Close() })
		}
	}
	return addr.String()
}

// TestOneCheckServesAll guards against a replica that gets a new connection for each of the calls whose connections it
// has broken.
func TestOneCheckServesAll(t *testing.T) {
	iis := is.New(t)
	var accepted atomic.Int64
	addr := startReplica(t, func(con net.Conn) {
		accepted.Add(1)
		respondWith(ownResponse)(con)
	})
	pol := pool.New(timer.New())
	results := make(chan error, 100)
	for range cap(results) {
		pol.CheckAlive("i-1", addr, func(err error) { results <- err })
	}
	for range cap(results) {
		iis.NoErr(<-results)
	}
	iis.Equal(accepted.Load(), int64(1))
}
