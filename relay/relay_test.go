package relay_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"

	"github.com/tarragonwheel/tarragonwheel/fleet"
	"github.com/tarragonwheel/tarragonwheel/metric"
	"github.com/tarragonwheel/tarragonwheel/place"
	"github.com/tarragonwheel/tarragonwheel/platform"
	"github.com/tarragonwheel/tarragonwheel/pool"
	"github.com/tarragonwheel/tarragonwheel/relay"
	"github.com/tarragonwheel/tarragonwheel/retry"
	"github.com/tarragonwheel/tarragonwheel/rules"
	"github.com/tarragonwheel/tarragonwheel/timer"
)

// request is a request that a fake replica has received, with its body.
type request struct {
	*http.Request
	body string
}

// handler answers one request on a connection. The connection is closed if it returns false.
type handler func(con net.Conn, req request) (keep bool)

// replica is a fake replica that counts the calls that it receives.
type replica struct {
	addr  string
	calls atomic.Int64
}

// newReplica starts a replica that answers with hdl.
func newReplica(t *testing.T, hdl handler) *replica {
	t.Helper()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = lis.Close() })
	rep := &replica{addr: lis.Addr().String()}
	go func() {
		for {
			con, err := lis.Accept()
			if err != nil {
				return
			}
			go rep.serve(con, hdl)
		}
	}()
	return rep
}

func (rep *replica) serve(con net.Conn, hdl handler) {
	defer func() { _ = con.Close() }()
	brd := bufio.NewReader(con)
	for {
		req, err := http.ReadRequest(brd)
		if err != nil {
			return
		}
		body, _ := io.ReadAll(req.Body)
		rep.calls.Add(1)
		if !hdl(con, request{Request: req, body: string(body)}) {
			return
		}
	}
}

func (req request) id() string { return req.Header.Get("Tarragonwheel-Request-Id") }

// signedHeaders returns the headers that every response of a replica has.
func signedHeaders(req request) string {
	return fmt.Sprintf("Tarragonwheel-Request-Id: %s\r\nTarragonwheel-Replica-Signature: sig\r\n", req.id())
}

// reply writes a signed response with a Content-Length.
func reply(con net.Conn, req request, status int, body string) bool {
	_, err := fmt.Fprintf(con, "HTTP/1.1 %d X\r\n%sContent-Length: %d\r\n\r\n%s",
		status, signedHeaders(req), len(body), body)
	return err == nil
}

// refuse writes a response that states that the call did not run.
func refuse(con net.Conn, req request) bool {
	_, err := fmt.Fprintf(con, "HTTP/1.1 503 X\r\nTarragonwheel-Request-Id: %s\r\nTarragonwheel-Not-Executed: 1\r\n"+
		"Content-Length: 0\r\n\r\n", req.id())
	return err == nil
}

// stream writes events with IDs from one to another as chunks, and the end of the stream if complete is set.
func stream(con net.Conn, req request, from, until int, complete bool) bool {
	_, _ = fmt.Fprintf(con, "HTTP/1.1 200 OK\r\n%sContent-Type: text/event-stream\r\n"+
		"Transfer-Encoding: chunked\r\n\r\n", signedHeaders(req))
	for num := from; num <= until; num++ {
		text := fmt.Sprintf("id: %d\ndata: piece %d\n\n", num, num)
		_, _ = fmt.Fprintf(con, "%x\r\n%s\r\n", len(text), text)
	}
	if complete {
		_, _ = io.WriteString(con, "0\r\n\r\n")
	}
	return complete
}

// events returns the body of a stream of events with IDs from one to another.
func events(from, until int) string {
	var out strings.Builder
	for num := from; num <= until; num++ {
		fmt.Fprintf(&out, "id: %d\ndata: piece %d\n\n", num, num)
	}
	return out.String()
}

// rig is a relay with fake replicas.
type rig struct {
	url   string
	opts  relay.Options
	flt   *fleet.Fleet
	rules atomic.Pointer[rules.Set]
}

// newRig starts a relay whose fleet consists of the given replicas.
func newRig(t *testing.T, replicas ...*replica) *rig {
	t.Helper()
	clk := timer.New()
	rig := &rig{flt: fleet.New(clk, logr.Discard(), nil)}
	rig.rules.Store(rules.New(testRules()))
	for idx, rep := range replicas {
		rig.flt.UpdateRegistration(fleet.Registration{
			ID: fmt.Sprint("i-", idx), Service: "s", Address: rep.addr, DataCentre: "z", Slots: 4, Sequence: 1,
		})
	}
	rig.opts = relay.Options{
		Clock: clk, Log: logr.Discard(), Metrics: metric.New(), Rules: rig.rules.Load, Fleet: rig.flt,
		Pool: pool.New(clk), Reserver: relay.NewReserver(clk, logr.Discard(), relay.ReplicaAPI{}),
		Crashes: relay.NewCrashTracker(clk, nil), Policy: place.OnEngine, DataCentre: "z",
		BudgetSharers: func() int { return 1 },
		RetryLimits: func() retry.SharedLimits {
			return retry.SharedLimits{
				Ratio: 0.2, Extra: 100,
				Window: 10 * time.Second,
			}
		},
		OnTaskChange: func(fleet.TaskChange) {},
		Codec: relay.Codec{
			ReadCall: platform.ReadCall, WriteCall: platform.WriteCall, ReadReply: platform.ReadReply,
			WriteReply: platform.WriteReply, WriteErrorHeaders: platform.WriteErrorHeaders,
		},
	}
	rig.start(t)
	return rig
}

// start serves a new relay with the options of the rig.
func (rig *rig) start(t *testing.T) {
	t.Helper()
	srv := httptest.NewServer(relay.New(rig.opts))
	t.Cleanup(srv.Close)
	rig.url = srv.URL
}

// testRules returns a configuration with a route of each kind and one with a short timeout.
func testRules() rules.Spec {
	to := []rules.Target{{Service: "s", Weight: 1}}
	return rules.Spec{
		Version: 1,
		Routes: []rules.Route{
			{
				Name: "unsafe", Host: "127.0.0.1", Prefix: "/unsafe/", Kind: rules.NonIdempotent, MaxAttempts: 1,
				Targets: to,
			},
			{Name: "safe", Host: "127.0.0.1", Prefix: "/safe/", Kind: rules.Idempotent, MaxAttempts: 2, Targets: to},
			{
				Name: "stream", Host: "127.0.0.1", Prefix: "/stream/", Kind: rules.Stream, MaxAttempts: 2, Targets: to,
				Resumable: true,
			},
			{
				Name: "quick", Host: "127.0.0.1", Prefix: "/quick/", Kind: rules.NonIdempotent, MaxAttempts: 1,
				Targets: to,
				Timeout: 200 * time.Millisecond,
			},
		},
		Accounts: []rules.Account{{Name: "n", Keys: []string{"k"}}},
		Limits:   rules.Limits{BodyBytes: 1 << 20, HeaderBytes: 8 << 10},
	}
}

// send sends a call to a path and returns the status, the body and the error of reading the body.
func (rig *rig) send(t *testing.T, path string) (status int, body string, err error) {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, rig.url+path, strings.NewReader("asked"))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Tarragonwheel-Request-Id", "c1")
	req.Header.Set("Tarragonwheel-Request-Deadline-Ms", "5000")
	req.Header.Set("Api-Key", "k")
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = res.Body.Close() }()
	raw, err := io.ReadAll(res.Body)
	return res.StatusCode, string(raw), err
}

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
	one, two, three := newReplica(t, crashes), newReplica(t, crashes), newReplica(t, crashes)
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
