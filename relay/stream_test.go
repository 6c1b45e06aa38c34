package relay_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

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

// TestEventIsNotHeldBackByAPartOfTheNext guards against an event that reaches the client only with the next one,
// because a part of that has been received already.
func TestEventIsNotHeldBackByAPartOfTheNext(t *testing.T) {
	iis := is.New(t)
	release := make(chan struct{})
	rig := newRig(t, newReplica(t, func(con net.Conn, req request) bool {
		first, rest := events(1, 2)[:len(events(1, 1))+4], events(1, 2)[len(events(1, 1))+4:]
		_, _ = fmt.Fprintf(con, "HTTP/1.1 200 OK\r\n%sContent-Type: text/event-stream\r\n"+
			"Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", signedHeaders(req), len(first), first)
		<-release
		_, err := fmt.Fprintf(con, "%x\r\n%s\r\n0\r\n\r\n", len(rest), rest)
		return err == nil
	}))
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, rig.url+"/stream/x", nil)
	iis.NoErr(err)
	req.Header.Set("Api-Key", "k")
	res, err := http.DefaultClient.Do(req)
	iis.NoErr(err)
	defer func() { _ = res.Body.Close() }()
	got := make([]byte, len(events(1, 1)))
	_, err = io.ReadFull(res.Body, got)
	iis.NoErr(err)
	iis.Equal(string(got), events(1, 1))
	close(release)
	rest, err := io.ReadAll(res.Body)
	iis.NoErr(err)
	iis.Equal(string(got)+string(rest), events(1, 2))
}
