package relay_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"github.com/tarragonwheel/tarragonwheel/cause"
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
	addr     string
	calls    atomic.Int64
	accepted atomic.Int64 // connections
}

// newReplica starts a replica that answers with hdl.
func newReplica(t testing.TB, hdl handler) *replica {
	t.Helper()
	return startReplica(t, func(rep *replica, con net.Conn) { rep.serve(con, hdl) })
}

// startReplica starts a replica that serves each connection by a function.
func startReplica(t testing.TB, serve func(rep *replica, con net.Conn)) *replica {
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
			rep.accepted.Add(1)
			go serve(rep, con)
		}
	}()
	return rep
}

func (rep *replica) serve(con net.Conn, hdl handler) {
	rep.serveEarly(con, func(con net.Conn, req request) bool {
		body, _ := io.ReadAll(req.Body)
		req.body = string(body)
		rep.calls.Add(1)
		return hdl(con, req)
	})
}

// serveEarly calls hdl as soon as the head of a request has been read. It does not count the calls.
func (rep *replica) serveEarly(con net.Conn, hdl handler) {
	defer func() { _ = con.Close() }()
	brd := bufio.NewReader(con)
	for {
		req, err := http.ReadRequest(brd)
		if err != nil || !hdl(con, request{Request: req}) {
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
func newRig(t testing.TB, replicas ...*replica) *rig {
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
		Pool: pool.New(clk), Reserver: relay.NewReserver(clk, logr.Discard(), relay.ReplicaAPI{Report: reportSound}),
		Crashes: cause.New(cause.Options{Clock: clk}), Policy: place.OnEngine, DataCentre: "z",
		BudgetProcesses: func() int { return 1 },
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

// reportSound is the report of a replica that runs a call. The relay may ask for one on a slow machine in any test, if
// a stream is silent or a prompt is overdue.
func reportSound(context.Context, string) (relay.Report, error) {
	return relay.Report{LatencyRatio: 1, Running: 1}, nil
}

// start serves a new relay with the options of the rig.
func (rig *rig) start(t testing.TB) {
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
	return rig.sendWith(t, path, "X-None", "")
}

// sendWith is send with one more header.
func (rig *rig) sendWith(t *testing.T, path, header, value string) (status int, body string, err error) {
	t.Helper()
	return rig.sendBody(t, path, "asked", header, value)
}

// sendBody is sendWith with the given body of the request.
func (rig *rig) sendBody(t *testing.T, path, asked, header, value string) (status int, body string, err error) {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, rig.url+path, strings.NewReader(asked))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Tarragonwheel-Request-Id", "c1")
	req.Header.Set("Tarragonwheel-Request-Deadline-Ms", "5000")
	req.Header.Set("Api-Key", "k")
	req.Header.Set(header, value)
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = res.Body.Close() }()
	raw, err := io.ReadAll(res.Body)
	return res.StatusCode, string(raw), err
}
