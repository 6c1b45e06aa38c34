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

// replica listens and hands each connection to serve.
func replica(t *testing.T, serve func(con net.Conn)) string {
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

// answers writes a fixed text for each request that it reads.
func answers(text string) func(con net.Conn) {
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
	request = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"
	good    = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nX-Id: mine\r\n\r\nok"
	foreign = "HTTP/1.1 200 OK\r\nContent-Length: 6\r\nX-Id: other\r\n\r\nforged"
)

func mine(res *http.Response) bool { return res.Header.Get("X-Id") == "mine" }

// exchange sends a request and returns the body of the answer, and whether the connection had been used before.
func exchange(t *testing.T, pol *pool.Pool, addr string) (body string, reused bool, err error) {
	t.Helper()
	con, err := pol.Get(context.Background(), "i-1", addr, false)
	if err != nil {
		return "", false, err
	}
	if err := con.WriteRequest([]byte(request)); err != nil {
		return "", false, err
	}
	res, err := con.ReadResponse(http.MethodGet, mine) //nolint:bodyclose // The pool closes it.
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

func TestConnectionIsUsedAgain(t *testing.T) {
	iis := is.New(t)
	pol := pool.New(timer.New())
	addr := replica(t, answers(good))
	_, reused, err := exchange(t, pol, addr)
	iis.NoErr(err)
	iis.True(!reused)
	body, reused, err := exchange(t, pol, addr)
	iis.NoErr(err)
	iis.True(reused)
	iis.Equal(body, "ok")
}

// TestForeignAnswerIsSkipped guards against an answer of another call that reaches this call's client.
func TestForeignAnswerIsSkipped(t *testing.T) {
	iis := is.New(t)
	body, _, err := exchange(t, pool.New(timer.New()), replica(t, answers(foreign+good)))
	iis.NoErr(err)
	iis.Equal(body, "ok")
}

// TestOnlyForeignAnswers guards against a call that waits for its answer behind endless ones of others.
func TestOnlyForeignAnswers(t *testing.T) {
	iis := is.New(t)
	_, _, err := exchange(t, pool.New(timer.New()), replica(t, answers(strings.Repeat(foreign, 5))))
	iis.True(errors.Is(err, pool.ErrForeignResponse))
}

// TestExtraBytesEndTheConnection guards against bytes after an answer that are taken for the next one.
func TestExtraBytesEndTheConnection(t *testing.T) {
	iis := is.New(t)
	pol := pool.New(timer.New())
	addr := replica(t, answers(good+foreign))
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
	addr := replica(t, func(con net.Conn) {
		req, err := http.ReadRequest(bufio.NewReader(con))
		if err == nil {
			_, _ = io.Copy(io.Discard, req.Body)
			_, _ = io.WriteString(con, good)
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

// TestAnswerWithoutLengthEndsTheConnection guards against a connection kept whose answer ends only with it.
func TestAnswerWithoutLengthEndsTheConnection(t *testing.T) {
	iis := is.New(t)
	pol := pool.New(timer.New())
	addr := replica(t, func(con net.Conn) {
		_, _ = http.ReadRequest(bufio.NewReader(con))
		_, _ = io.WriteString(con, "HTTP/1.1 200 OK\r\nX-Id: mine\r\n\r\nwhole")
		_ = con.Close()
	})
	body, _, err := exchange(t, pol, addr)
	iis.NoErr(err)
	iis.Equal(body, "whole")
}

// TestEarlyAnswerEndsTheConnection guards against a replica that gets other bytes where the rest of a long body is due.
func TestEarlyAnswerEndsTheConnection(t *testing.T) {
	iis := is.New(t)
	pol := pool.New(timer.New())
	release := make(chan struct{})
	defer close(release)
	addr := replica(t, func(con net.Conn) {
		_, _ = http.ReadRequest(bufio.NewReader(con))
		_, _ = io.WriteString(con, good)
		<-release
	})
	con, err := pol.Get(context.Background(), "i-1", addr, false)
	iis.NoErr(err)
	long := strings.Repeat("x", 64<<20) // more than the sockets take
	iis.NoErr(con.WriteRequest([]byte("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 67108864\r\n\r\n" + long)))
	res, err := con.ReadResponse(http.MethodPost, mine) //nolint:bodyclose // The pool closes it.
	iis.NoErr(err)
	_, err = io.ReadAll(res.Body)
	iis.NoErr(err)
	con.Release(res)
	next, err := pol.Get(context.Background(), "i-1", addr, false)
	iis.NoErr(err)
	iis.True(!next.Reused())
}
