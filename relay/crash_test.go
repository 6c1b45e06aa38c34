package relay_test

import (
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

// newCrashingReplicas starts replicas that end on each call whose target contains "deadly" and answer all others. A
// function returns the number of deadly calls that they have received.
func newCrashingReplicas(t *testing.T, num int) (replicas []*replica, deadlyCalls func() int64) {
	t.Helper()
	var deadly atomic.Int64
	var list []*replica
	for range num {
		list = append(list, newMortalReplica(t, func(con net.Conn, req request) bool {
			if strings.Contains(req.RequestURI, "deadly") {
				deadly.Add(1)
				return false
			}
			return reply(con, req, 200, "sound")
		}))
	}
	return list, deadly.Load
}

// sendRequest sends a call and returns the status of the response.
func (rig *rig) sendRequest(t *testing.T, method, path, body string) int {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), method, rig.url+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Tarragonwheel-Request-Id", "c1")
	req.Header.Set("Tarragonwheel-Request-Deadline-Ms", "5000")
	req.Header.Set("Api-Key", "k")
	return roundTrip(t, req)
}

// roundTrip sends a request and returns the status of the response.
func roundTrip(t *testing.T, req *http.Request) int {
	t.Helper()
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = res.Body.Close() }()
	_, _ = io.Copy(io.Discard, res.Body) // Only the status matters.
	return res.StatusCode
}

// TestCrashingCallWithoutBodyIsRefused guards against a read without a body that crashes one replica after another,
// because such calls were never suspected.
func TestCrashingCallWithoutBodyIsRefused(t *testing.T) {
	iis := is.New(t)
	replicas, deadlyCalls := newCrashingReplicas(t, 3)
	rig := newRig(t, replicas...)
	for range 6 {
		rig.sendRequest(t, http.MethodGet, "/safe/deadly", "")
	}
	iis.Equal(deadlyCalls(), int64(2))
	iis.Equal(rig.sendRequest(t, http.MethodGet, "/safe/other", ""), http.StatusOK)
}

// TestCrashingCallWithOtherQueriesIsRefused guards against a call that crashes one replica after another because its
// query differs each time.
func TestCrashingCallWithOtherQueriesIsRefused(t *testing.T) {
	iis := is.New(t)
	replicas, deadlyCalls := newCrashingReplicas(t, 8)
	rig := newRig(t, replicas...)
	for num := range 9 {
		rig.sendRequest(t, http.MethodPost, fmt.Sprint("/safe/deadly?try=", num), "asked")
		time.Sleep(crashPause)
	}
	iis.True(deadlyCalls() <= 6) // The rule allows three tries after the third crash.
	iis.Equal(rig.sendRequest(t, http.MethodPost, "/safe/other?try=1", "asked"), http.StatusOK)
}

// TestSoundCallsWithOtherQueriesAreServed guards against sound calls that are refused because others that differ only
// in their query crash replicas.
func TestSoundCallsWithOtherQueriesAreServed(t *testing.T) {
	iis := is.New(t)
	replicas, deadlyCalls := newCrashingReplicas(t, 8)
	rig := newRig(t, replicas...)
	for num := range 9 {
		rig.sendRequest(t, http.MethodGet, fmt.Sprint("/safe/x?deadly=", num%3), "")
		time.Sleep(crashPause)
		iis.Equal(rig.sendRequest(t, http.MethodGet, fmt.Sprint("/safe/x?sound=", num), ""), http.StatusOK)
	}
	iis.True(deadlyCalls() <= 3*3) // Each of the three is refused by itself.
}

// TestAnsweredCallIsNotSuspected guards against reads without a body that are refused because alike ones ran while
// replicas crashed: a call that is answered in between does not crash replicas.
func TestAnsweredCallIsNotSuspected(t *testing.T) {
	iis := is.New(t)
	var calls atomic.Int64
	rig := newRig(t, eightReplicas(t, newMortalReplica, func(con net.Conn, req request) bool {
		if calls.Add(1)%2 == 1 {
			return false
		}
		return reply(con, req, 200, "sound")
	})...)
	for range 4 {
		iis.Equal(rig.sendRequest(t, http.MethodGet, "/safe/x", ""), http.StatusOK)
	}
}

// TestCrashOnUsedConnectionCounts guards against crashes that are taken for idle timeouts because the replica had
// answered a call on the same connection before.
func TestCrashOnUsedConnectionCounts(t *testing.T) {
	iis := is.New(t)
	replicas, deadlyCalls := newCrashingReplicas(t, 3)
	rig := newRig(t, replicas...)
	for range 6 {
		for idx, rep := range replicas {
			rig.addIdleConn(t, fmt.Sprint("i-", idx), rep)
		}
		rig.sendRequest(t, http.MethodPost, "/safe/deadly", "asked")
	}
	iis.Equal(deadlyCalls(), int64(2))
}

// TestCrashAfterHeadCounts guards against crashes that are not noticed because the replica had sent the head of its
// response before it crashed.
func TestCrashAfterHeadCounts(t *testing.T) {
	for _, tst := range []struct{ name, path, head string }{
		{"stream", "/stream/x", "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"},
		{
			"stream within its first event", "/stream/x",
			"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n6\r\nid: 1\n\r\n",
		},
		{"body", "/safe/x", "Content-Length: 5\r\n\r\nso"},
	} {
		t.Run(tst.name, func(t *testing.T) {
			iis := is.New(t)
			crashes := func(con net.Conn, req request) bool {
				_, _ = io.WriteString(con, "HTTP/1.1 200 OK\r\n"+signedHeaders(req)+tst.head)
				return false
			}
			one, two, three := newMortalReplica(t, crashes), newMortalReplica(t, crashes), newMortalReplica(t, crashes)
			rig := newRig(t, one, two, three)
			for range 6 {
				rig.sendRequest(t, http.MethodPost, tst.path, "asked")
			}
			iis.Equal(one.calls.Load()+two.calls.Load()+three.calls.Load(), int64(2))
		})
	}
}

// TestOtherBytesAreNoCrash guards against sound calls that are refused because replicas sent bytes that are no answer,
// or the response of another call: the replicas have not crashed.
func TestOtherBytesAreNoCrash(t *testing.T) {
	for _, text := range []string{
		"what is this\r\n\r\n",
		strings.Repeat("HTTP/1.1 200 OK\r\nTarragonwheel-Request-Id: c0\r\nContent-Length: 0\r\n\r\n", 3),
	} {
		iis := is.New(t)
		var odd atomic.Int64
		hdl := func(con net.Conn, req request) bool {
			if odd.Add(1) <= 6 {
				_, _ = io.WriteString(con, text)
				_, _ = io.Copy(io.Discard, con) // The connection stays open.
				return false
			}
			return reply(con, req, 200, "ok")
		}
		rig := newRig(t, newReplica(t, hdl), newReplica(t, hdl), newReplica(t, hdl))
		for range 6 {
			iis.Equal(rig.sendRequest(t, http.MethodPost, "/unsafe/x", "asked"), http.StatusBadGateway)
		}
		iis.Equal(rig.sendRequest(t, http.MethodPost, "/unsafe/x", "asked"), http.StatusOK)
	}
}

// TestPromptPartThatCrashesReplicasIsRefused guards against calls that crash one replica after another because they
// share a part of their prompts, though no two of them are alike. Sound calls that share their other parts must be
// served.
func TestPromptPartThatCrashesReplicasIsRefused(t *testing.T) {
	iis := is.New(t)
	var crashes atomic.Int64
	answer := func(con net.Conn, req request) bool {
		if strings.Contains(req.Header.Get("Tarragonwheel-Prompt-Prefix"), "dead:") {
			crashes.Add(1)
			_, _ = io.WriteString(con, "HTTP/1.1 200 OK\r\n"+signedHeaders(req)+
				"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
			return false
		}
		return stream(con, req, 1, 2, true)
	}
	var replicas []*replica
	for range 8 {
		replicas = append(replicas, newMortalReplica(t, answer))
	}
	rig := newRig(t, replicas...)
	for num := range 12 {
		rig.sendPrompt(t, fmt.Sprintf("5a:40,dead:60,%x:900", 1000+num))
		iis.Equal(rig.sendPrompt(t, fmt.Sprintf("5a:40,7e:60,%x:900", 2000+num)), http.StatusOK)
	}
	iis.True(crashes.Load() <= 5)
	iis.Equal(rig.sendPrompt(t, "5a:40,3000:900"), http.StatusOK)
	iis.Equal(rig.sendPrompt(t, "3001:900"), http.StatusOK)
}

// promptRequest returns a request for a stream whose prompt has the given parts.
func (rig *rig) promptRequest(t *testing.T, parts string) *http.Request {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, rig.url+"/stream/x", strings.NewReader(parts))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Tarragonwheel-Request-Id", "c1")
	req.Header.Set("Tarragonwheel-Request-Deadline-Ms", "5000")
	req.Header.Set("Tarragonwheel-Token-Usage", "1000,80")
	req.Header.Set("Tarragonwheel-Prompt-Prefix", parts)
	req.Header.Set("Api-Key", "k")
	return req
}

// sendPrompt sends a call for a stream whose prompt has the given parts and returns the status of the response.
func (rig *rig) sendPrompt(t *testing.T, parts string) int {
	t.Helper()
	return roundTrip(t, rig.promptRequest(t, parts))
}

// sendPromptUntilEnd is sendPrompt for a call whose response may break off at any point.
func (rig *rig) sendPromptUntilEnd(t *testing.T, parts string) {
	t.Helper()
	res, err := http.DefaultClient.Do(rig.promptRequest(t, parts))
	if err != nil {
		return // The connection was closed before the head.
	}
	defer func() { _ = res.Body.Close() }()
	_, _ = io.Copy(io.Discard, res.Body) // Only what the replicas have seen matters.
}

// addIdleConn leaves a connection in the pool on which the replica has answered a call. It waits for a replica that
// starts again.
func (rig *rig) addIdleConn(t *testing.T, id string, rep *replica) {
	t.Helper()
	iis := is.New(t)
	con, err := rig.opts.Pool.Get(t.Context(), id, rep.addr, true)
	for end := time.Now().Add(10 * restartTime); err != nil && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
		con, err = rig.opts.Pool.Get(t.Context(), id, rep.addr, true)
	}
	iis.NoErr(err)
	iis.NoErr(con.WriteRequest([]byte("GET /safe/other HTTP/1.1\r\nHost: h\r\nTarragonwheel-Request-Id: c0\r\n\r\n")))
	//nolint:bodyclose // The connection is returned to the pool.
	res, err := con.ReadResponse(http.MethodGet, func(*http.Response) bool { return true })
	iis.NoErr(err)
	_, err = io.Copy(io.Discard, res.Body)
	iis.NoErr(err)
	con.Release(res)
}
