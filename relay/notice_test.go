package relay_test

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tarragonwheel/tarragonwheel/fleet"
)

// leavingHeader is what a replica that leaves adds to its responses.
const leavingHeader = "Server-Leaving: 1\r\n"

// respond writes a signed response with further header lines.
func respond(con net.Conn, req request, status int, extra string) bool {
	_, err := fmt.Fprintf(con, "HTTP/1.1 %d X\r\n%s%sContent-Length: 2\r\n\r\nok", status, signedHeaders(req), extra)
	return err == nil
}

// askForPause writes a refusal with a Retry-After time in seconds.
func askForPause(con net.Conn, req request, seconds float64) bool {
	_, err := fmt.Fprintf(con, "HTTP/1.1 503 X\r\nTarragonwheel-Request-Id: %s\r\nTarragonwheel-Not-Executed: 1\r\n"+
		"Retry-After: %g\r\nContent-Length: 0\r\n\r\n", req.id(), seconds)
	return err == nil
}

// register adds a replica to the fleet.
func (rig *rig) register(id string, rep *replica) {
	rig.flt.UpdateRegistration(fleet.Registration{
		ID: id, Service: "s", Address: rep.addr, DataCentre: "z", Slots: 4, Sequence: 1, StartedAtMs: 1,
	})
}

// sendForHeader sends a call and returns the status and the headers of the response.
func (rig *rig) sendForHeader(t *testing.T, path string) (int, http.Header) {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, rig.url+path, strings.NewReader("asked"))
	if err != nil {
		t.Error(err)
		return 0, nil
	}
	req.Header.Set("Tarragonwheel-Request-Id", "c1")
	req.Header.Set("Tarragonwheel-Request-Deadline-Ms", "30000")
	req.Header.Set("Api-Key", "k")
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, nil
	}
	defer func() { _ = res.Body.Close() }()
	if _, err := io.Copy(io.Discard, res.Body); err != nil {
		return 0, res.Header
	}
	return res.StatusCode, res.Header
}

// TestLeavingInAnyResponse guards against a replica that says that it leaves and gets more calls, since it said so in a
// response of another kind than a success.
func TestLeavingInAnyResponse(t *testing.T) {
	for name, answer := range map[string]handler{
		"success":        func(con net.Conn, req request) bool { return respond(con, req, 200, leavingHeader) },
		"failure":        func(con net.Conn, req request) bool { return respond(con, req, 500, leavingHeader) },
		"unmarked 503":   func(con net.Conn, req request) bool { return respond(con, req, 503, leavingHeader) },
		"refusal":        func(con net.Conn, req request) bool { return refuseWith(con, req, 503) },
		"wrong replica":  func(con net.Conn, req request) bool { return refuseWith(con, req, 421) },
		"stream":         streamLeaving,
		"broken stream":  func(con net.Conn, req request) bool { streamLeaving(con, req); return false },
		"of another one": lateResponse,
	} {
		t.Run(name, func(t *testing.T) {
			iis := is.New(t)
			var told atomic.Int64
			leaving := newReplica(t, answer)
			rig := newRig(t)
			rig.opts.DrainTime = 0
			rig.opts.OnReplicaLeaving = func(fleet.LeavingNotice) { told.Add(1) }
			rig.start(t)
			rig.register("i-0", leaving)
			_, _ = rig.sendForHeader(t, "/unsafe/x")
			iis.Equal(leaving.calls.Load(), int64(1))
			rig.register("i-1", newReplica(t, func(con net.Conn, req request) bool { return reply(con, req, 200, "") }))
			for range 20 {
				status, _ := rig.sendForHeader(t, "/unsafe/x")
				iis.Equal(status, 200)
			}
			iis.Equal(leaving.calls.Load(), int64(1))
			iis.Equal(told.Load(), int64(1)) // The peers are told once.
		})
	}
}

// refuseWith writes a response that states that the call did not run and that the replica leaves.
func refuseWith(con net.Conn, req request, status int) bool {
	_, err := fmt.Fprintf(con, "HTTP/1.1 %d X\r\nTarragonwheel-Request-Id: %s\r\nTarragonwheel-Not-Executed: 1\r\n"+
		"%sContent-Length: 0\r\n\r\n", status, req.id(), leavingHeader)
	return err == nil
}

// streamLeaving writes a stream whose head says that the replica leaves.
func streamLeaving(con net.Conn, req request) bool {
	_, err := fmt.Fprintf(con, "HTTP/1.1 200 OK\r\n%s%sContent-Type: text/event-stream\r\n"+
		"Transfer-Encoding: chunked\r\n\r\nb\r\nid: 1\ndata:\r\n", signedHeaders(req), leavingHeader)
	_, _ = io.WriteString(con, "2\r\n\n\n\r\n0\r\n\r\n")
	return err == nil
}

// lateResponse writes the response to another call, which says that the replica leaves, before that to the call.
func lateResponse(con net.Conn, req request) bool {
	_, _ = fmt.Fprintf(con, "HTTP/1.1 200 OK\r\nTarragonwheel-Request-Id: other\r\n%sContent-Length: 0\r\n\r\n",
		leavingHeader)
	return respond(con, req, 200, "")
}

// TestIdleConnectionsToLeavingReplicaAreClosed guards against connections that are kept to a replica that leaves.
func TestIdleConnectionsToLeavingReplicaAreClosed(t *testing.T) {
	iis := is.New(t)
	var calls atomic.Int64
	second, closed := make(chan struct{}), make(chan error, 1)
	rig := newRig(t, newReplica(t, func(con net.Conn, req request) bool {
		if calls.Add(1) == 2 {
			defer close(second)
			return respond(con, req, 200, leavingHeader)
		}
		respond(con, req, 200, "") // The connection is idle now, and is not used for the second call.
		<-second
		_ = con.SetReadDeadline(time.Now().Add(2 * time.Second))
		_, err := con.Read(make([]byte, 1))
		closed <- err
		return false
	}))
	status, _ := rig.sendForHeader(t, "/safe/x")
	iis.Equal(status, 200)
	status, _ = rig.sendForHeader(t, "/unsafe/x") // Calls that are not retryable get new connections.
	iis.Equal(status, 200)
	iis.True(errors.Is(<-closed, io.EOF))
}
