package relay_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
)

// restartTime is the time after which a replica that has ended listens again.
const restartTime = 100 * time.Millisecond

// newMortalReplica starts a replica that ends after it has answered with a function that returns false: it listens no
// more and closes the connection. Some time later it is back at the same address.
func newMortalReplica(t *testing.T, hdl handler) *replica {
	t.Helper()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	rep := &replica{addr: lis.Addr().String()}
	done := make(chan struct{})
	stopped := make(chan struct{})
	t.Cleanup(func() { close(done); <-stopped })
	go func() {
		defer close(stopped)
		for rep.listen(lis, hdl, done) {
			time.Sleep(restartTime)
			if lis, err = net.Listen("tcp", rep.addr); err != nil {
				t.Error(err)
				return
			}
		}
	}()
	return rep
}

// listen serves until the replica ends, and closes its listener and then its connections. It returns false if done is
// closed before.
func (rep *replica) listen(lis net.Listener, hdl handler, done chan struct{}) bool {
	ended, cons := make(chan struct{}), make(chan net.Conn, 1000)
	var once sync.Once
	end := func() {
		once.Do(func() {
			_ = lis.Close()
			close(ended)
		})
	}
	go func() {
		defer close(cons)
		for {
			con, err := lis.Accept()
			if err != nil {
				return
			}
			cons <- con
			go rep.serve(con, func(con net.Conn, req request) bool {
				keep := hdl(con, req)
				if !keep {
					end()
				}
				return keep
			})
		}
	}()
	defer func() {
		_ = lis.Close()
		for con := range cons {
			_ = con.Close()
		}
	}()
	select {
	case <-ended:
		return true
	case <-done:
		return false
	}
}

// unframed writes the beginning of a response that ends with its connection.
func unframed(con net.Conn, req request, contentType, body string) {
	_, _ = io.WriteString(con, "HTTP/1.1 200 OK\r\n"+signedHeaders(req)+"Content-Type: "+contentType+"\r\n\r\n"+body)
}

// TestPartThatCrashesReplicasInUnframedStreamIsRefused guards against a part that crashes replicas without end because
// the end of the replica is taken for that of a stream with neither a length nor chunks, and against clients that take
// the beginning of such a stream for all of it.
func TestPartThatCrashesReplicasInUnframedStreamIsRefused(t *testing.T) {
	for _, num := range []int{0, 1, 3} {
		t.Run(fmt.Sprint(num, " events"), func(t *testing.T) {
			t.Parallel()
			iis := is.New(t)
			var crashes atomic.Int64
			answer := func(con net.Conn, req request) bool {
				if !strings.Contains(req.Header.Get("Tarragonwheel-Prompt-Prefix"), "dead:") {
					return stream(con, req, 1, 3, true)
				}
				crashes.Add(1)
				last := lastEventID(req)
				unframed(con, req, "text/event-stream", events(last+1, last+num))
				return false
			}
			rig := newRig(t, eightReplicas(t, newMortalReplica, answer)...)
			for call := range 9 {
				res, err := http.DefaultClient.Do(rig.promptRequest(t, fmt.Sprintf("5a:40,dead:60,%x:900", 1000+call)))
				iis.NoErr(err)
				_, err = io.ReadAll(res.Body)
				_ = res.Body.Close()
				iis.True(res.StatusCode != http.StatusOK || err != nil)
				time.Sleep(crashPause)
				iis.Equal(rig.sendPrompt(t, fmt.Sprintf("5a:40,7e:60,%x:900", 2000+call)), http.StatusOK)
			}
			iis.True(crashes.Load() <= maxCrashes)
		})
	}
}

// TestUnframedReplyOfReplicaThatEndsIsNoSuccess guards against a client that takes the beginning of a body for all of
// it because its replica has crashed.
func TestUnframedReplyOfReplicaThatEndsIsNoSuccess(t *testing.T) {
	iis := is.New(t)
	rig := newRig(t, newMortalReplica(t, func(con net.Conn, req request) bool {
		unframed(con, req, "text/plain", "a part of")
		return false
	}))
	status, _, err := rig.send(t, "/unsafe/x")
	iis.NoErr(err)
	iis.Equal(status, http.StatusBadGateway)
}

// TestUnframedReplyIsForwarded guards against answers that are lost because they end with their connection, and against
// a connection that is opened for each check and not used by the next call.
func TestUnframedReplyIsForwarded(t *testing.T) {
	iis := is.New(t)
	rep := newReplica(t, func(con net.Conn, req request) bool {
		unframed(con, req, "text/plain", "all of it")
		return false
	})
	rig := newRig(t, rep)
	for range 3 {
		status, body, err := rig.send(t, "/safe/x")
		iis.NoErr(err)
		iis.Equal(status, http.StatusOK)
		iis.Equal(body, "all of it")
	}
	iis.Equal(rep.calls.Load(), int64(3))
	for rep.accepted.Load() < 4 && t.Context().Err() == nil {
		time.Sleep(time.Millisecond)
	}
	iis.Equal(rep.accepted.Load(), int64(4)) // One for the first call, and one after each for the next.
}
