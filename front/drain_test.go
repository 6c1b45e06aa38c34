package front_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// lateCall is a call to a replica that does not answer before the planned stop ends.
type lateCall struct {
	id       string
	path     string
	headAt   time.Duration // after the begin of the stop; negative for before it
	bodyAt   time.Duration
	wantRuns bool // it reaches the replica
	want     int  // status; 0 for a connection that is closed within the response
}

// send sends the call and returns the status of its response, 0 if the connection ends without a whole response.
func (cal *lateCall) send(addr string, stopAt time.Time) (status int, err error) {
	time.Sleep(time.Until(stopAt.Add(cal.headAt)))
	con, err := net.Dial("tcp", addr)
	if err != nil {
		return 0, err
	}
	defer func() { _ = con.Close() }()
	_, _ = fmt.Fprintf(con, "POST %s HTTP/1.1\r\nHost: 127.0.0.1\r\nTarragonwheel-Request-Id: %s\r\n"+
		"Content-Length: 5\r\n\r\n", cal.path, cal.id)
	body := time.AfterFunc(time.Until(stopAt.Add(cal.bodyAt)), func() { _, _ = io.WriteString(con, "asked") })
	defer body.Stop()
	res, err := http.ReadResponse(bufio.NewReader(con), nil)
	if err != nil {
		return 0, err
	}
	defer func() { _ = res.Body.Close() }()
	if _, err := io.ReadAll(res.Body); err != nil {
		return 0, nil
	}
	return res.StatusCode, nil
}

// TestPlannedStopAnswersEveryCall guards against calls that are cut off without an answer at the end of a planned stop:
// those that came late must be refused as not run, and those that are still at a replica get an answer that says that
// they may have run, before the process ends.
func TestPlannedStopAnswersEveryCall(t *testing.T) {
	iis := is.New(t)
	rig := newRigWithGrace(t, 4*time.Second)
	rep := &recordingReplica{seen: make(map[string]bool)}
	done := make(chan struct{})
	srv := httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, req *http.Request) {
		id := req.Header.Get("Tarragonwheel-Request-Id")
		rep.mu.Lock()
		rep.seen[id] = true
		rep.mu.Unlock()
		if strings.HasPrefix(req.URL.Path, "/stream/") {
			rw.Header().Set("Tarragonwheel-Request-Id", id)
			rw.Header().Set("Tarragonwheel-Replica-Signature", "sig")
			rw.Header().Set("Content-Type", "text/event-stream")
			_, _ = io.WriteString(rw, "id: 1\ndata: x\n\n")
			_ = http.NewResponseController(rw).Flush()
		}
		<-done
	}))
	t.Cleanup(srv.Close)
	t.Cleanup(func() { close(done) })
	rig.store.put("keyed.op", "config", strings.Replace(operatorConfig(3, "s"), `"Routes":[`, `"Routes":[`+
		`{"Name":"u","Host":"127.0.0.1","PathPrefix":"/unsafe/","Kind":"unsafe","Service":"s"},`+
		`{"Name":"t","Host":"127.0.0.1","PathPrefix":"/stream/","Kind":"streaming","Service":"s"},`, 1))
	rig.store.put("keyed.servers", "i-1", registration("s", host(srv), "ready", 1))
	waitUntil(t, rig.frt.Ready)
	const late = 1500 * time.Millisecond // New calls are refused from two seconds on.
	calls := []lateCall{
		{id: "early", path: "/unsafe/x", headAt: -time.Second, bodyAt: -time.Second, wantRuns: true, want: 502},
		{id: "first", path: "/unsafe/x", wantRuns: true, want: 502},
		{id: "safe", path: "/a/x", wantRuns: true, want: 502},
		{id: "stream", path: "/stream/x", wantRuns: true},
		{id: "later", path: "/unsafe/x", headAt: late, bodyAt: late, wantRuns: true, want: 502},
		{id: "late-body", path: "/unsafe/x", headAt: late, bodyAt: 3300 * time.Millisecond, want: 503},
		{id: "late-safe-body", path: "/a/x", headAt: late, bodyAt: 3300 * time.Millisecond, want: 503},
		{id: "no-body", path: "/unsafe/x", headAt: late, bodyAt: time.Minute, want: 503},
	}
	stopAt := time.Now().Add(1200 * time.Millisecond)
	results := make([]chan string, len(calls))
	for idx := range calls {
		results[idx] = make(chan string, 1)
		go func() {
			status, err := calls[idx].send(rig.frt.Address(), stopAt)
			results[idx] <- fmt.Sprint(status, " ", err)
		}()
	}
	time.Sleep(time.Until(stopAt))
	rig.frt.Drain(context.Background())
	iis.True(time.Since(stopAt) < 4*time.Second) // The process is killed then.
	for idx, cal := range calls {
		want := fmt.Sprint(cal.want, " <nil>")
		select {
		case got := <-results[idx]:
			if got != want {
				t.Errorf("%s: got %s, want %s", cal.id, got, want)
			}
		case <-time.After(time.Until(stopAt.Add(4 * time.Second))):
			t.Errorf("%s: no answer before the process is killed, want %s", cal.id, want)
		}
		if rep.hasSeen(cal.id) != cal.wantRuns {
			t.Errorf("%s: reached the replica: %t", cal.id, !cal.wantRuns)
		}
	}
}
