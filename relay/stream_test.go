package relay_test

import (
	"fmt"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"
)

func TestStreamIsForwarded(t *testing.T) {
	iis := is.New(t)
	rig := newRig(t, newReplica(t, func(con net.Conn, req request) bool { return stream(con, req, 1, 5, true) }))
	status, body, err := rig.send(t, "/stream/x")
	iis.NoErr(err)
	iis.Equal(status, 200)
	iis.Equal(body, events(1, 5))
}

// TestBrokenStreamIsResumed guards against missing or duplicate events after a replica has crashed in the middle of a
// stream, here within an event.
func TestBrokenStreamIsResumed(t *testing.T) {
	iis := is.New(t)
	var second atomic.Bool
	hdl := func(con net.Conn, req request) bool {
		if second.Swap(true) {
			iis.Equal(req.Header.Get("Last-Event-Id"), "3")
			return stream(con, req, 3, 6, true) // Event 3 is a duplicate.
		}
		stream(con, req, 1, 3, false)
		text := "id: 4\ndata: pie"
		_, _ = fmt.Fprintf(con, "%x\r\n%s\r\n", len(text), text)
		return false
	}
	status, body, err := newRig(t, newReplica(t, hdl), newReplica(t, hdl)).send(t, "/stream/x")
	iis.NoErr(err)
	iis.Equal(status, 200)
	iis.Equal(body, events(1, 6))
}

// TestUnresumedStreamEndsWithError guards against an incomplete stream that looks complete to the client.
func TestUnresumedStreamEndsWithError(t *testing.T) {
	iis := is.New(t)
	hdl := func(con net.Conn, req request) bool {
		from := 1
		if req.Header.Get("Last-Event-Id") != "" {
			return false
		}
		return stream(con, req, from, 3, false)
	}
	_, body, err := newRig(t, newReplica(t, hdl), newReplica(t, hdl)).send(t, "/stream/x")
	iis.True(err != nil)
	iis.True(strings.HasPrefix(events(1, 3), body))
}

// TestStreamThatEndsWithItsConnection guards against a stream without length or chunks that is taken for broken at its
// end, and against one that ends within an event and is taken for complete.
func TestStreamThatEndsWithItsConnection(t *testing.T) {
	iis := is.New(t)
	unframed := func(con net.Conn, req request, body string) bool {
		head := "HTTP/1.1 200 OK\r\n" + signedHeaders(req) + "Content-Type: text/event-stream\r\n\r\n"
		_, _ = io.WriteString(con, head+body)
		return false
	}
	whole := newReplica(t, func(con net.Conn, req request) bool { return unframed(con, req, events(1, 3)) })
	status, body, err := newRig(t, whole).send(t, "/stream/x")
	iis.NoErr(err)
	iis.Equal(status, 200)
	iis.Equal(body, events(1, 3))
	iis.Equal(whole.calls.Load(), int64(1))

	cut := newReplica(t, func(con net.Conn, req request) bool {
		if req.Header.Get("Last-Event-Id") == "2" {
			return unframed(con, req, events(3, 4))
		}
		return unframed(con, req, events(1, 2)+"id: 3\ndata: pie")
	})
	status, body, err = newRig(t, cut).send(t, "/stream/x")
	iis.NoErr(err)
	iis.Equal(status, 200)
	iis.Equal(body, events(1, 4))
}
