package relay_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tarragonwheel/tarragonwheel/fleet"
	"github.com/tarragonwheel/tarragonwheel/rules"
	"github.com/tarragonwheel/tarragonwheel/timer"
)

// TestCallIsForwarded guards against a call whose request or response is altered or lost on its way.
func TestCallIsForwarded(t *testing.T) {
	iis := is.New(t)
	rig := newRig(t, newReplica(t, func(con net.Conn, req request) bool {
		iis.Equal(req.body, "asked")
		iis.Equal(req.Header.Get("Tarragonwheel-Tenant"), "n")
		iis.Equal(req.Header.Get("Tarragonwheel-Target-Replica"), "i-0")
		iis.Equal(req.Header.Get("Api-Key"), "")
		return reply(con, req, 201, "whole")
	}))
	status, body, err := rig.send(t, "/unsafe/x")
	iis.NoErr(err)
	iis.Equal(status, 201)
	iis.Equal(body, "whole")
}

// TestNonIdempotentCallIsNotRetried guards against a call that runs twice because a replica closed the connection.
func TestNonIdempotentCallIsNotRetried(t *testing.T) {
	iis := is.New(t)
	closes := func(net.Conn, request) bool { return false }
	one, two := newReplica(t, closes), newReplica(t, closes)
	status, _, err := newRig(t, one, two).send(t, "/unsafe/x")
	iis.NoErr(err)
	iis.Equal(status, http.StatusBadGateway) // does not state that the call did not run
	iis.Equal(one.calls.Load()+two.calls.Load(), int64(1))
}

// TestRefusedCallIsSentToAnotherReplica guards against a call that fails because one replica is full: a call that did
// not run may be sent to another replica.
func TestRefusedCallIsSentToAnotherReplica(t *testing.T) {
	iis := is.New(t)
	one := newReplica(t, refuse)
	two := newReplica(t, func(con net.Conn, req request) bool { return reply(con, req, 200, "ok") })
	rig := newRig(t, one, two)
	for one.calls.Load() == 0 { // Equal replicas are chosen at random.
		status, body, err := rig.send(t, "/unsafe/x")
		iis.NoErr(err)
		iis.Equal(status, 200)
		iis.Equal(body, "ok")
	}
}

// TestRefusalByAllReplicasStatesNotRun guards against a refusal after which clients must not retry although the call
// did not run.
func TestRefusalByAllReplicasStatesNotRun(t *testing.T) {
	iis := is.New(t)
	status, _, err := newRig(t, newReplica(t, refuse), newReplica(t, refuse)).send(t, "/unsafe/x")
	iis.NoErr(err)
	iis.Equal(status, http.StatusServiceUnavailable)
}

// TestUnmarked503IsNotForwarded guards against a 503 to a client whose call may have run: that the call did not run is
// certain only if the replica states it.
func TestUnmarked503IsNotForwarded(t *testing.T) {
	iis := is.New(t)
	rig := newRig(t, newReplica(t, func(con net.Conn, req request) bool { return reply(con, req, 503, "busy") }))
	status, _, err := rig.send(t, "/unsafe/x")
	iis.NoErr(err)
	iis.Equal(status, http.StatusBadGateway)
}

// TestIdempotentCallIsRetriedAfterFailure guards against errors from a replica that fails part of its calls while it
// seems healthy.
func TestIdempotentCallIsRetriedAfterFailure(t *testing.T) {
	iis := is.New(t)
	one := newReplica(t, func(con net.Conn, req request) bool { return reply(con, req, 500, "broken") })
	two := newReplica(t, func(con net.Conn, req request) bool { return reply(con, req, 200, "ok") })
	rig := newRig(t, one, two)
	for range 4 {
		status, body, err := rig.send(t, "/safe/x")
		iis.NoErr(err)
		iis.Equal(status, 200)
		iis.Equal(body, "ok")
	}
}

// TestReplicaErrorIsForwardedWhenRetriesFail guards against a replica's error response that is replaced by one of the
// relay's own.
func TestReplicaErrorIsForwardedWhenRetriesFail(t *testing.T) {
	iis := is.New(t)
	fails := func(con net.Conn, req request) bool { return reply(con, req, 500, "broken") }
	status, body, err := newRig(t, newReplica(t, fails), newReplica(t, fails)).send(t, "/safe/x")
	iis.NoErr(err)
	iis.Equal(status, 500)
	iis.Equal(body, "broken")
}

// TestInvalidResponsesAreNotForwarded guards against responses that are incomplete, altered or not from the replica.
// The calls are not idempotent, so they are not retried either.
func TestInvalidResponsesAreNotForwarded(t *testing.T) {
	head := "HTTP/1.1 200 OK\r\nTarragonwheel-Request-Id: c1\r\n"
	signed := head + "Tarragonwheel-Replica-Signature: sig\r\n"
	cases := map[string]string{
		"no signature":          head + "Content-Length: 2\r\n\r\nok",
		"body cut off":          signed + "Content-Length: 20\r\n\r\nok",
		"encoded":               signed + "Content-Encoding: gzip\r\nContent-Length: 2\r\n\r\nok",
		"no response":           "\x00\x01\x02 what is this\r\n\r\n",
		"of another call":       strings.Replace(signed, "c1", "c2", 1) + "Content-Length: 2\r\n\r\nok",
		"chunk cut off":         signed + "Transfer-Encoding: chunked\r\n\r\n5\r\nab",
		"head cut off":          "HTTP/1.1 200 OK\r\nTarragonwheel-Requ",
		"nothing":               "",
		"another call, cut off": strings.Replace(signed, "c1", "c2", 1) + "Content-Length: 2\r\n\r\nokHTTP/1.1 2",
	}
	for name, text := range cases {
		t.Run(name, func(t *testing.T) {
			iis := is.New(t)
			rig := newRig(t, newReplica(t, func(con net.Conn, _ request) bool {
				_, _ = io.WriteString(con, text)
				return false
			}))
			status, _, err := rig.send(t, "/unsafe/x")
			iis.NoErr(err)
			iis.Equal(status, http.StatusBadGateway)
		})
	}
}

// TestRouteTimeoutIsEnforced guards against a call that takes longer than its route allows.
func TestRouteTimeoutIsEnforced(t *testing.T) {
	iis := is.New(t)
	closed := make(chan struct{})
	rig := newRig(t, newReplica(t, func(con net.Conn, _ request) bool {
		_, _ = con.Read(make([]byte, 1))
		close(closed)
		return false
	}))
	status, _, err := rig.send(t, "/quick/x")
	iis.NoErr(err)
	iis.Equal(status, http.StatusGatewayTimeout)
	<-closed // The call is cancelled at the replica.
}

// TestClientDisconnectCancelsCall guards against a replica that goes on with a call whose client has disconnected.
func TestClientDisconnectCancelsCall(t *testing.T) {
	iis := is.New(t)
	began, closed := make(chan struct{}), make(chan struct{})
	rig := newRig(t, newReplica(t, func(con net.Conn, _ request) bool {
		close(began)
		_, _ = con.Read(make([]byte, 1))
		close(closed)
		return false
	}))
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		<-began
		cancel()
	}()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, rig.url+"/stream/x", strings.NewReader("asked"))
	iis.NoErr(err)
	req.Header.Set("Api-Key", "k")
	res, err := http.DefaultClient.Do(req)
	if err == nil {
		_ = res.Body.Close()
	}
	<-closed
}

// TestUnknownKeysAndRoutes guards against calls that reach a replica although the configuration does not permit them.
func TestUnknownKeysAndRoutes(t *testing.T) {
	iis := is.New(t)
	rep := newReplica(t, func(con net.Conn, req request) bool { return reply(con, req, 200, "ok") })
	rig := newRig(t, rep)
	status, _, err := rig.send(t, "/none/x")
	iis.NoErr(err)
	iis.Equal(status, http.StatusNotFound)
	spc := testRules()
	spc.Version, spc.Accounts[0].Keys = 2, []string{"other"}
	rig.rules.Store(rules.New(spc))
	status, _, err = rig.send(t, "/safe/x")
	iis.NoErr(err)
	iis.Equal(status, http.StatusUnauthorized)
	iis.Equal(rep.calls.Load(), int64(0))
}

// TestBodyLimit guards against bodies that exhaust the memory.
func TestBodyLimit(t *testing.T) {
	iis := is.New(t)
	rep := newReplica(t, func(con net.Conn, req request) bool { return reply(con, req, 200, "ok") })
	rig := newRig(t, rep)
	for _, size := range []int64{-1, 2 << 20} { // chunked, and with a length
		req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, rig.url+"/safe/x",
			io.LimitReader(zeros{}, 2<<20))
		iis.NoErr(err)
		req.ContentLength = size
		req.Header.Set("Api-Key", "k")
		res, err := http.DefaultClient.Do(req)
		iis.NoErr(err)
		_ = res.Body.Close()
		iis.Equal(res.StatusCode, http.StatusRequestEntityTooLarge)
	}
	iis.Equal(rep.calls.Load(), int64(0))
}

// zeros is an endless reader.
type zeros struct{}

func (zeros) Read(buf []byte) (int, error) { return len(buf), nil }

// TestCrashingCallIsRefused guards against a call that is retried by its client and crashes one replica after another.
func TestCrashingCallIsRefused(t *testing.T) {
	iis := is.New(t)
	crashes := func(net.Conn, request) bool { return false }
	one, two, three := newMortalReplica(t, crashes), newMortalReplica(t, crashes), newMortalReplica(t, crashes)
	rig := newRig(t, one, two, three)
	for range 6 {
		_, _, err := rig.send(t, "/stream/x")
		iis.NoErr(err)
	}
	iis.Equal(one.calls.Load()+two.calls.Load()+three.calls.Load(), int64(2))
}

// TestCallOnLeavingReplicasIsNotSuspected guards against calls that are refused because replicas closed their
// connections while they were being replaced.
func TestCallOnLeavingReplicasIsNotSuspected(t *testing.T) {
	iis := is.New(t)
	var rig *rig // Set below, before the first call.
	leaves := func(_ net.Conn, req request) bool {
		rig.flt.Unregister(req.Header.Get("Tarragonwheel-Target-Replica"))
		return false
	}
	rig = newRig(t, newReplica(t, leaves), newReplica(t, leaves))
	for range 2 {
		_, _, err := rig.send(t, "/stream/x")
		iis.NoErr(err)
	}
	last := newReplica(t, func(con net.Conn, req request) bool { return stream(con, req, 1, 2, true) })
	rig.flt.UpdateRegistration(fleet.Registration{
		ID: "i-9", Service: "s", Address: last.addr, DataCentre: "z", Slots: 4, Sequence: 1,
	})
	status, body, err := rig.send(t, "/stream/x")
	iis.NoErr(err)
	iis.Equal(status, 200)
	iis.Equal(body, events(1, 2))
}

// TestRetryAfterIsLongDuringOutage guards against clients that use up their retries while all processes start and the
// store is unavailable: a client that returns within half a second is refused again and has no further retry.
func TestRetryAfterIsLongDuringOutage(t *testing.T) {
	iis := is.New(t)
	clk, man := timer.NewManual(time.Unix(1700000000, 0))
	rig := newRig(t)
	rig.opts.Clock = clk
	rig.rules.Store(nil)
	rig.start(t)
	retryAfter := func() float64 {
		res, err := http.Post(rig.url+"/safe/x", "", nil) //nolint:noctx // Ends with the server of the test.
		iis.NoErr(err)
		_ = res.Body.Close()
		iis.Equal(res.StatusCode, http.StatusServiceUnavailable)
		sec, err := strconv.ParseFloat(res.Header.Get("Retry-After"), 64)
		iis.NoErr(err)
		return sec
	}
	iis.True(retryAfter() < 1)
	man.Advance(2 * time.Second)
	iis.True(retryAfter() >= 1)
}

// TestHeaderLimit guards against headers that are larger than the operator allows.
func TestHeaderLimit(t *testing.T) {
	iis := is.New(t)
	rep := newReplica(t, func(con net.Conn, req request) bool { return reply(con, req, 200, "ok") })
	rig := newRig(t, rep)
	req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, rig.url+"/safe/x", nil)
	iis.NoErr(err)
	req.Header.Set("Api-Key", "k")
	req.Header.Set("X-Large", strings.Repeat("x", 10<<10))
	res, err := http.DefaultClient.Do(req)
	iis.NoErr(err)
	_ = res.Body.Close()
	iis.Equal(res.StatusCode, http.StatusRequestHeaderFieldsTooLarge)
	iis.Equal(rep.calls.Load(), int64(0))
}
