package relay_test

import (
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Times and shares of replicas that lose answers.
const (
	lossTime     = 3 * time.Second
	lossShare    = 0.4
	lossReplicas = 10 // of which 6 lose answers
)

// resetConn resets the connection of a call. The replica itself goes on.
func resetConn(con net.Conn) bool {
	_ = con.(*net.TCPConn).SetLinger(0) // Without it, the connection is closed in order.
	_ = con.Close()
	return true
}

// newLosingReplicas starts replicas of which most reset many answers and go on, and which all end on calls whose target
// contains "deadly". A function returns the number of such calls that they have received.
func newLosingReplicas(t *testing.T) (replicas []*replica, deadlyCalls func() int64) {
	t.Helper()
	var deadly atomic.Int64
	until := time.Now().Add(lossTime)
	for num := range lossReplicas {
		replicas = append(replicas, newMortalReplica(t, func(con net.Conn, req request) bool {
			if strings.Contains(req.RequestURI, "deadly") {
				deadly.Add(1)
				return false
			}
			time.Sleep(40 * time.Millisecond) // The replica works on the call.
			if num < lossReplicas*6/10 && time.Now().Before(until) && rand.Float64() < lossShare {
				return resetConn(con)
			}
			return stream(con, req, lastEventID(req)+1, 3, true)
		}))
	}
	return replicas, deadly.Load
}

// TestLostAnswersBlockNoCalls guards against calls that are refused because replicas reset their answers and go on,
// while clients send the calls again at once. A call that crashes replicas beside them must still be blocked, after as
// many crashes as on other days.
func TestLostAnswersBlockNoCalls(t *testing.T) {
	iis := is.New(t)
	replicas, deadlyCalls := newLosingReplicas(t)
	rig := newRig(t, replicas...)
	start := time.Now()
	var served, blocked atomic.Int64
	var wgr sync.WaitGroup
	for num := range 40 {
		wgr.Go(func() {
			for time.Since(start) < lossTime {
				// Clients send the same call again and again, and calls of different clients share parts.
				status, body := rig.tryPrompt(t, fmt.Sprintf("5a:40,%x:60,%x:900", num%3, 100+num))
				if strings.Contains(body, "crashes-replicas") {
					blocked.Add(1)
				}
				if status == http.StatusOK {
					served.Add(1)
				}
			}
		})
	}
	for range 8 {
		rig.sendRequest(t, http.MethodPost, "/safe/deadly", "asked")
		time.Sleep(lossTime / 10)
	}
	wgr.Wait()
	counts, err := rig.opts.Metrics.CounterValues("events_total")
	iis.NoErr(err)
	t.Logf("served %d, lost %d", served.Load(), counts["answer-lost"])
	iis.Equal(blocked.Load(), int64(0))
	iis.True(served.Load() > 100)
	iis.True(counts["answer-lost"] > 20)
	iis.Equal(deadlyCalls(), int64(2))
}

// tryPrompt is sendPrompt for a call whose response may break off. It returns status 0 if it does.
func (rig *rig) tryPrompt(t *testing.T, parts string) (status int, body string) {
	t.Helper()
	res, err := http.DefaultClient.Do(rig.promptRequest(t, parts))
	if err != nil {
		return 0, ""
	}
	defer func() { _ = res.Body.Close() }()
	raw, err := io.ReadAll(res.Body)
	if err != nil && !errors.Is(err, io.EOF) {
		return 0, string(raw)
	}
	return res.StatusCode, string(raw)
}

// TestRetryDoesNotWaitForTheCheck guards against a retry that is delayed by the check whether the replica has ended.
func TestRetryDoesNotWaitForTheCheck(t *testing.T) {
	iis := is.New(t)
	var calls atomic.Int64
	var brokenAt atomic.Pointer[time.Time]
	var waited atomic.Int64
	hdl := func(con net.Conn, req request) bool {
		if calls.Add(1) == 1 {
			now := time.Now()
			brokenAt.Store(&now)
			return resetConn(con)
		}
		waited.Store(int64(time.Since(*brokenAt.Load())))
		return reply(con, req, 200, "ok")
	}
	rig := newRig(t, newReplica(t, hdl), newReplica(t, hdl))
	best := time.Hour
	for range 5 { // The machine may be busy.
		calls.Store(0)
		iis.Equal(rig.sendRequest(t, http.MethodPost, "/safe/x", "asked"), http.StatusOK)
		best = min(best, time.Duration(waited.Load()))
	}
	iis.True(best < 20*time.Millisecond)
}

// TestLostAnswersAreNoCrashes guards against a call that is refused because single replicas closed its connections
// before the head, within a body or within a stream, and took new connections.
func TestLostAnswersAreNoCrashes(t *testing.T) {
	for _, tst := range []struct{ name, path, text string }{
		{"before the head", "/safe/x", ""},
		{"within the body", "/safe/x", "Content-Length: 9\r\n\r\nbegin"},
		{"within a stream", "/stream/x", "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"},
	} {
		t.Run(tst.name, func(t *testing.T) {
			iis := is.New(t)
			loses := func(con net.Conn, req request) bool {
				if tst.text != "" {
					_, _ = io.WriteString(con, "HTTP/1.1 200 OK\r\n"+signedHeaders(req)+tst.text)
				}
				return false
			}
			one, two, three := newReplica(t, loses), newReplica(t, loses), newReplica(t, loses)
			rig := newRig(t, one, two, three)
			for range 6 {
				iis.Equal(rig.sendRequest(t, http.MethodPost, tst.path, "asked"), http.StatusBadGateway)
			}
			iis.True(one.calls.Load()+two.calls.Load()+three.calls.Load() >= 12)
			refusals, err := rig.opts.Metrics.CounterValues("refusals_total")
			iis.NoErr(err)
			iis.Equal(refusals["crashes-replicas"], 0)
		})
	}
}
