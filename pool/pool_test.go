package pool_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tarragonwheel/tarragonwheel/pool"
	"github.com/tarragonwheel/tarragonwheel/timer"
)

// startReplica listens on a free port, calls serve with each connection, and returns the address.
func startReplica(t *testing.T, serve func(con net.Conn)) string {
	t.Helper()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = lis.Close() })
	go func() {
		for {
			con, err := lis.Accept()
			if err != nil {
				return
			}
			go serve(con)
		}
	}()
	return lis.Addr().String()
}

// respondWith returns a function that writes a fixed text for each request that it reads.
func respondWith(text string) func(con net.Conn) {
	return func(con net.Conn) {
		brd := bufio.NewReader(con)
		for {
			req, err := http.ReadRequest(brd)
			if err != nil {
				_ = con.Close()
				return
			}
			_, _ = io.Copy(io.Discard, req.Body)
			_, _ = io.WriteString(con, text)
		}
	}
}

const (
	request       = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"
	ownResponse   = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nX-Id: mine\r\n\r\nok"
	otherResponse = "HTTP/1.1 200 OK\r\nContent-Length: 6\r\nX-Id: other\r\n\r\nforged"
)

func isOurs(res *http.Response) bool { return res.Header.Get("X-Id") == "mine" }

// exchange sends a request and returns the body of the response, and whether the connection had been used before.
func exchange(t *testing.T, pol *pool.Pool, addr string) (body string, reused bool, err error) {
	t.Helper()
	con, err := pol.Get(context.Background(), "i-1", addr, false)
	if err != nil {
		return "", false, err
	}
	if err := con.WriteRequest([]byte(request)); err != nil {
		return "", false, err
	}
	res, err := con.ReadResponse(http.MethodGet, isOurs) //nolint:bodyclose // The pool closes it.
	if err != nil {
		_ = con.Close()
		return "", con.Reused(), err
	}
	raw, err := io.ReadAll(res.Body)
	if err == nil {
		con.Release(res)
	}
	return string(raw), con.Reused(), err
}

func TestIdleConnectionIsReused(t *testing.T) {
	iis := is.New(t)
	pol := pool.New(timer.New())
	addr := startReplica(t, respondWith(ownResponse))
	_, reused, err := exchange(t, pol, addr)
	iis.NoErr(err)
	iis.True(!reused)
	body, reused, err := exchange(t, pol, addr)
	iis.NoErr(err)
	iis.True(reused)
	iis.Equal(body, "ok")
}

// TestResponseOfAnotherCallIsSkipped guards against a client that gets the response of another call.
func TestResponseOfAnotherCallIsSkipped(t *testing.T) {
	iis := is.New(t)
	body, _, err := exchange(t, pool.New(timer.New()), startReplica(t, respondWith(otherResponse+ownResponse)))
	iis.NoErr(err)
	iis.Equal(body, "ok")
}

// TestOnlyResponsesOfOtherCalls guards against a call that skips responses of other calls without end.
func TestOnlyResponsesOfOtherCalls(t *testing.T) {
	iis := is.New(t)
	_, _, err := exchange(t, pool.New(timer.New()), startReplica(t, respondWith(strings.Repeat(otherResponse, 5))))
	iis.True(errors.Is(err, pool.ErrMismatchedResponse))
}

// TestExtraBytesEndTheConnection guards against bytes after a response that are taken for the response to the next
// call.
func TestExtraBytesEndTheConnection(t *testing.T) {
	iis := is.New(t)
	pol := pool.New(timer.New())
	addr := startReplica(t, respondWith(ownResponse+otherResponse))
	_, _, err := exchange(t, pol, addr)
	iis.NoErr(err)
	time.Sleep(20 * time.Millisecond) // The extra bytes may come late.
	_, reused, err := exchange(t, pol, addr)
	iis.NoErr(err)
	iis.True(!reused)
}

// TestClosedIdleConnectionIsNotUsed guards against a call that is sent on a connection that the replica has closed.
func TestClosedIdleConnectionIsNotUsed(t *testing.T) {
	iis := is.New(t)
	pol := pool.New(timer.New())
	addr := startReplica(t, func(con net.Conn) {
		req, err := http.ReadRequest(bufio.NewReader(con))
		if err == nil {
			_, _ = io.Copy(io.Discard, req.Body)
			_, _ = io.WriteString(con, ownResponse)
		}
		_ = con.Close()
	})
	for range 3 {
		_, reused, err := exchange(t, pol, addr)
		iis.NoErr(err)
		iis.True(!reused)
		time.Sleep(20 * time.Millisecond) // Lets the close arrive.
	}
}

// TestResponseWithoutLengthEndsTheConnection guards against keeping a connection whose close ends the response.
func TestResponseWithoutLengthEndsTheConnection(t *testing.T) {
	iis := is.New(t)
	pol := pool.New(timer.New())
	addr := startReplica(t, func(con net.Conn) {
		_, _ = http.ReadRequest(bufio.NewReader(con))
		_, _ = io.WriteString(con, "HTTP/1.1 200 OK\r\nX-Id: mine\r\n\r\nwhole")
		_ = con.Close()
	})
	body, _, err := exchange(t, pol, addr)
	iis.NoErr(err)
	iis.Equal(body, "whole")
}

// TestEarlyResponseEndsTheConnection guards against reusing a connection on which the replica still waits for the rest
// of a long body, so that it would take the next request for that rest.
func TestEarlyResponseEndsTheConnection(t *testing.T) {
	iis := is.New(t)
	pol := pool.New(timer.New())
	release := make(chan struct{})
	defer close(release)
	addr := startReplica(t, func(con net.Conn) {
		_, _ = http.ReadRequest(bufio.NewReader(con))
		_, _ = io.WriteString(con, ownResponse)
		<-release
	})
	con, err := pol.Get(context.Background(), "i-1", addr, false)
	iis.NoErr(err)
	long := strings.Repeat("x", 64<<20) // more than the socket buffers hold
	iis.NoErr(con.WriteRequest([]byte("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 67108864\r\n\r\n" + long)))
	res, err := con.ReadResponse(http.MethodPost, isOurs) //nolint:bodyclose // The pool closes it.
	iis.NoErr(err)
	_, err = io.ReadAll(res.Body)
	iis.NoErr(err)
	con.Release(res)
	next, err := pol.Get(context.Background(), "i-1", addr, false)
	iis.NoErr(err)
	iis.True(!next.Reused())
}
