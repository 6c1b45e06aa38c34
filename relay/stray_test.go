package relay_test

import (
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"
)

// onConnections returns a handler that gets the number of the request on its connection, from 1.
func onConnections(hdl func(con net.Conn, req request, number int) bool) handler {
	var mu sync.Mutex
	counts := make(map[net.Conn]int)
	return func(con net.Conn, req request) bool {
		mu.Lock()
		counts[con]++
		number := counts[con]
		mu.Unlock()
		return hdl(con, req, number)
	}
}

// refusalWithoutID is a refusal that names no call.
const refusalWithoutID = "HTTP/1.1 503 X\r\nTarragonwheel-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"

// TestStrayRefusalIsNotTheAnswer guards against a refusal of an earlier call, written once more on a kept connection,
// that is taken for the answer to the call that runs there: the call would be sent to a second replica, or its client
// told that it did not run.
func TestStrayRefusalIsNotTheAnswer(t *testing.T) {
	signature := "Tarragonwheel-Replica-Signature: s\r\n"
	strays := map[string]string{
		"without ID":       refusalWithoutID,
		"of another call":  strings.Replace(refusalWithoutID, "Content", "Tarragonwheel-Request-Id: c0\r\nContent", 1),
		"421 without ID":   "HTTP/1.1 421 X\r\nContent-Length: 2\r\n\r\nno",
		"400 without ID":   strings.Replace(refusalWithoutID, "503", "400", 1),
		"twice":            refusalWithoutID + refusalWithoutID,
		"after another":    "HTTP/1.1 102 X\r\n\r\n" + refusalWithoutID,
		"with a signature": strings.Replace(refusalWithoutID, "Content", signature+"Content", 1),
	}
	for name, stray := range strays {
		for _, path := range []string{"/safe/x", "/stream/x"} {
			t.Run(name+path, func(t *testing.T) {
				iis := is.New(t)
				answer := func(con net.Conn, req request) bool {
					if path == "/stream/x" {
						return stream(con, req, 1, 3, true)
					}
					return reply(con, req, 200, events(1, 3))
				}
				var reused atomic.Int64
				one := newReplica(t, onConnections(func(con net.Conn, req request, number int) bool {
					if number > 1 {
						reused.Add(1)
						_, _ = io.WriteString(con, stray)
					}
					return answer(con, req)
				}))
				rig := newRig(t, one)
				for range 2 {
					status, body, err := rig.send(t, path)
					iis.NoErr(err)
					iis.Equal(status, 200)
					iis.Equal(body, events(1, 3))
				}
				iis.Equal(one.calls.Load(), int64(2))
				iis.Equal(reused.Load(), int64(1))
			})
		}
	}
}

// TestSecondCopyOfARefusalIsNotTheAnswer guards against a call that returns to the replica that refused it, on the same
// connection, and takes a second copy of that refusal, which bears its ID, for the answer.
func TestSecondCopyOfARefusalIsNotTheAnswer(t *testing.T) {
	iis := is.New(t)
	var calls atomic.Int64
	one := newReplica(t, onConnections(func(con net.Conn, req request, number int) bool {
		if calls.Add(1) == 1 {
			return refuse(con, req)
		}
		if number > 1 {
			_ = refuse(con, req) // the second copy
		}
		return reply(con, req, 200, "ok")
	}))
	status, body, err := newRig(t, one).send(t, "/safe/x")
	iis.NoErr(err)
	iis.Equal(status, 200)
	iis.Equal(body, "ok")
	iis.Equal(one.calls.Load(), int64(2))
}

// TestNonIdempotentCallTakesANewConnection guards against a call that may run once at most on a connection on which a
// refusal of an earlier call can still come: it would run, and run again or be refused.
func TestNonIdempotentCallTakesANewConnection(t *testing.T) {
	iis := is.New(t)
	one := newReplica(t, onConnections(func(con net.Conn, req request, number int) bool {
		if number > 1 {
			_ = refuse(con, req)
		}
		return reply(con, req, 200, "ok")
	}))
	rig := newRig(t, one)
	for idx, path := range []string{"/safe/x", "/unsafe/x", "/unsafe/x"} {
		status, _, err := rig.send(t, path)
		iis.NoErr(err)
		iis.Equal(status, 200)
		iis.Equal(one.calls.Load(), int64(idx+1))
	}
}

// TestRefusalOfACallWithoutIDCounts guards against a call without an ID that is not told that it did not run. Replicas
// answer it without an ID.
func TestRefusalOfACallWithoutIDCounts(t *testing.T) {
	iis := is.New(t)
	one := newReplica(t, func(con net.Conn, _ request) bool {
		_, err := fmt.Fprint(con, strings.Replace(refusalWithoutID, "503", "400", 1))
		return err == nil
	})
	status, _, err := newRig(t, one).send(t, "/unsafe/x")
	iis.NoErr(err)
	iis.Equal(status, 503)
}
