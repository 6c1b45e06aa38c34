package front

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tarragonwheel/tarragonwheel/group"
	"github.com/tarragonwheel/tarragonwheel/timer"
)

// TestExpiringConnectionCutsNoCall guards against a call that is taken from a connection and then cut without an
// answer, because the connection is closed as idle at that moment.
func TestExpiringConnectionCutsNoCall(t *testing.T) {
	const (
		clients = 100
		limit   = 2 * time.Millisecond
		lasts   = 2 * time.Second
	)
	var taken sync.Map // IDs of the calls that the handler has got
	grp := group.New(context.Background(), "clients")
	defer func() { _ = grp.Stop() }()
	srv, err := startClientServer(grp, "127.0.0.1:0", timer.New(), http.HandlerFunc(
		func(rw http.ResponseWriter, req *http.Request) {
			taken.Store(req.Header.Get("Id"), true)
			time.Sleep(time.Millisecond)
			_, _ = io.WriteString(rw, "answer")
		}))
	is.New(t).NoErr(err)
	until := time.Now().Add(lasts)
	var cut, closed atomic.Int64
	var wgr sync.WaitGroup
	for client := range clients {
		wgr.Go(func() {
			for num := 0; time.Now().Before(until); {
				con, err := net.Dial("tcp", srv.address())
				if err != nil {
					t.Error(err)
					return
				}
				for brd := bufio.NewReader(con); err == nil && time.Now().Before(until); num++ {
					id := fmt.Sprint(client, "-", num)
					if err = exchange(con, brd, id); err != nil {
						closed.Add(1)
						if _, ok := taken.Load(id); ok {
							cut.Add(1)
						}
					}
					time.Sleep(limit + time.Duration(rand.Int64N(int64(limit))) - limit/2)
				}
				_ = con.Close()
			}
		})
	}
	for time.Now().Before(until) {
		srv.closeExpired(limit)
		time.Sleep(limit / 10)
	}
	wgr.Wait()
	is.New(t).Equal(cut.Load(), int64(0))
	is.New(t).True(closed.Load() > clients) // Idle connections are closed.
}

// exchange sends one request on a connection and reads the response.
func exchange(con net.Conn, brd *bufio.Reader, id string) error {
	if _, err := fmt.Fprintf(con, "GET / HTTP/1.1\r\nHost: h\r\nId: %s\r\n\r\n", id); err != nil {
		return err
	}
	res, err := http.ReadResponse(brd, nil)
	if err != nil {
		return err
	}
	defer func() { _ = res.Body.Close() }()
	_, err = io.ReadAll(res.Body)
	return err
}
