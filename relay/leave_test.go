package relay_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tarragonwheel/tarragonwheel/cost"
	"github.com/tarragonwheel/tarragonwheel/fleet"
	"github.com/tarragonwheel/tarragonwheel/place"
	"github.com/tarragonwheel/tarragonwheel/rules"
)

// TestNoAnswerLooksCompleteToAClientThatStoppedSending guards against a client that closes only its sending side and
// then gets an empty success, or a stream that seems to end with its last event.
func TestNoAnswerLooksCompleteToAClientThatStoppedSending(t *testing.T) {
	for name, hdl := range map[string]handler{
		"before the answer": func(con net.Conn, _ request) bool {
			_, _ = con.Read(make([]byte, 1))
			return false
		},
		"in a stream": func(con net.Conn, req request) bool {
			_ = stream(con, req, 1, 2, false)
			_, _ = con.Read(make([]byte, 1))
			return false
		},
	} {
		t.Run(name, func(t *testing.T) {
			iis := is.New(t)
			rig := newRig(t, newReplica(t, hdl))
			con, err := net.Dial("tcp", strings.TrimPrefix(rig.url, "http://"))
			iis.NoErr(err)
			defer func() { _ = con.Close() }()
			_, err = io.WriteString(con,
				"POST /stream/x HTTP/1.1\r\nHost: 127.0.0.1\r\nApi-Key: k\r\nContent-Length: 0\r\n\r\n")
			iis.NoErr(err)
			time.Sleep(100 * time.Millisecond) // The call is under way.
			iis.NoErr(con.(*net.TCPConn).CloseWrite())
			iis.NoErr(con.SetReadDeadline(time.Now().Add(5 * time.Second)))
			res, err := http.ReadResponse(bufio.NewReader(con), nil)
			if err != nil {
				return // The connection was closed without an answer.
			}
			defer func() { _ = res.Body.Close() }()
			_, err = io.ReadAll(res.Body)
			iis.True(err != nil)
		})
	}
}

// TestDeferredCallIsNotSentAfterItsClientLeft guards against a replica that works for a client that has disconnected
// while the call waited for a better placement.
func TestDeferredCallIsNotSentAfterItsClientLeft(t *testing.T) {
	iis := is.New(t)
	rep := newReplica(t, func(con net.Conn, req request) bool { return reply(con, req, http.StatusOK, "served") })
	rig := newRig(t, rep)
	spc := testRules()
	spc.Services = []rules.Service{{Name: "s", Engine: smallEngine()}}
	rig.rules.Store(rules.New(spc))
	var defers atomic.Bool
	rig.opts.Policy = func(
		_ place.Request, _ *cost.Engine, views []fleet.View, _ fleet.PrefillLoads,
	) (place.Placement, bool) {
		plc := place.Placement{Primary: views[0], Value: 1, NetValue: 1}
		if defers.Load() {
			plc.Slack, plc.Penalty = time.Minute, 1000
		}
		return plc, true
	}
	rig.start(t)
	for range 20 {
		defers.Store(false)
		_, _, err := rig.send(t, "/stream/x") // Leaves a connection on which the next call could be sent.
		iis.NoErr(err)
		sent := rep.calls.Load()
		defers.Store(true)
		ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
		req, err := http.NewRequestWithContext(ctx, http.MethodPost, rig.url+"/stream/x", nil)
		iis.NoErr(err)
		req.Header.Set("Api-Key", "k")
		_, err = http.DefaultClient.Do(req) //nolint:bodyclose // There is no response.
		iis.True(err != nil)
		cancel()
		time.Sleep(20 * time.Millisecond)
		iis.Equal(rep.calls.Load(), sent)
	}
}
