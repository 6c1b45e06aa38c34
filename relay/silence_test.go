package relay_test

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tarragonwheel/tarragonwheel/relay"
	"github.com/tarragonwheel/tarragonwheel/retry"
	"github.com/tarragonwheel/tarragonwheel/rules"
)

// TestSlowClientKeepsItsRun guards against a sound run that is taken for stalled because its client reads slowly, so
// that events wait in this process.
func TestSlowClientKeepsItsRun(t *testing.T) {
	const (
		pieces     = 640
		pieceBytes = 32 << 10 // all together more than the sockets hold
	)
	iis := is.New(t)
	hdl := func(con net.Conn, req request) bool {
		_, _ = fmt.Fprintf(con, "HTTP/1.1 200 OK\r\n%sContent-Type: text/event-stream\r\n"+
			"Transfer-Encoding: chunked\r\n\r\n", signedHeaders(req))
		for num := 1; num <= pieces; num++ {
			text := fmt.Sprintf("id: %d\ndata: %s\n\n", num, strings.Repeat("x", pieceBytes))
			_, _ = fmt.Fprintf(con, "%x\r\n%s\r\n", len(text), text)
		}
		_, err := io.WriteString(con, "0\r\n\r\n")
		return err == nil
	}
	one, two := newReplica(t, hdl), newReplica(t, hdl)
	rig := newStreamRig(t, true, relay.Report{LatencyRatio: 1, Running: 1}, nil, one, two)
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, rig.url+"/stream/x", nil)
	iis.NoErr(err)
	req.Header.Set("Api-Key", "k")
	res, err := http.DefaultClient.Do(req)
	iis.NoErr(err)
	defer func() { _ = res.Body.Close() }()
	time.Sleep(3 * idleTimeout)
	num, err := io.Copy(io.Discard, res.Body)
	iis.NoErr(err)
	iis.True(num > pieces*pieceBytes)
	iis.Equal(one.calls.Load()+two.calls.Load(), int64(1))
}

// silentReports are what replicas may report while a sound run at them is silent.
var silentReports = map[string]struct {
	report relay.Report
	err    error
}{
	"running":   {relay.Report{LatencyRatio: 1, Running: 2}, nil},
	"no report": {relay.Report{}, errors.New("no report")},
}

// changeStreams makes a configuration active in which the streams of the rig are changed.
func (rig *rig) changeStreams(change func(rte *rules.Route)) {
	spc := testRules()
	for idx := range spc.Routes {
		if rte := &spc.Routes[idx]; rte.Kind == rules.Stream {
			rte.ClientIdleTimeout = idleTimeout
			change(rte)
		}
	}
	rig.rules.Store(rules.New(spc))
}

// useRetryBudget limits the rig to one retry, and uses it.
func (rig *rig) useRetryBudget(t *testing.T) {
	t.Helper()
	rig.opts.RetryLimits = func() retry.SharedLimits { return retry.SharedLimits{} }
	rig.start(t)
	status, _, err := rig.send(t, "/safe/x")
	is.New(t).NoErr(err)
	is.New(t).Equal(status, http.StatusServiceUnavailable)
}

// silentReplica starts a replica whose streams are silent for the given time, and that refuses other calls.
func silentReplica(t *testing.T, pause time.Duration) *replica {
	t.Helper()
	silent := pausedStream(pause)
	return newReplica(t, func(con net.Conn, req request) bool {
		if !strings.HasPrefix(req.URL.Path, "/stream/") {
			return refuse(con, req)
		}
		return silent(con, req)
	})
}

// TestSilentRunIsKeptWithoutARetry guards against the answer of a sound replica that is cut because the replica is
// silent for a while, although no other attempt can follow: the client gets neither the rest nor a refusal.
func TestSilentRunIsKeptWithoutARetry(t *testing.T) {
	for state, silent := range silentReports {
		for check, prepare := range map[string]func(t *testing.T, rig *rig){
			"no other replica": func(_ *testing.T, rig *rig) { rig.flt.Unregister("i-1") },
			"no attempt left": func(_ *testing.T, rig *rig) {
				rig.changeStreams(func(rte *rules.Route) { rte.MaxAttempts = 1 })
			},
			"no retry left": func(t *testing.T, rig *rig) { t.Helper(); rig.useRetryBudget(t) },
			"not idempotent": func(_ *testing.T, rig *rig) {
				rig.changeStreams(func(rte *rules.Route) { rte.Resumable = false })
			},
		} {
			t.Run(state+", "+check, func(t *testing.T) {
				iis := is.New(t)
				one, two := silentReplica(t, 2*idleTimeout), silentReplica(t, 2*idleTimeout)
				rig := newStreamRig(t, true, silent.report, silent.err, one, two)
				prepare(t, rig)
				before := one.calls.Load() + two.calls.Load()
				status, body, err := rig.send(t, "/stream/x")
				iis.NoErr(err)
				iis.Equal(status, http.StatusOK)
				iis.Equal(withoutComments(body), events(1, 5))
				iis.Equal(one.calls.Load()+two.calls.Load()-before, int64(1))
			})
		}
	}
}

// TestSilentRunIsKeptBeforeItsFirstEvent guards against the same in a stream that has not begun, which ended with
// status 502.
func TestSilentRunIsKeptBeforeItsFirstEvent(t *testing.T) {
	for state, silent := range silentReports {
		t.Run(state, func(t *testing.T) {
			iis := is.New(t)
			rig := newStreamRig(t, true, silent.report, silent.err,
				newReplica(t, func(con net.Conn, req request) bool {
					time.Sleep(2 * idleTimeout)
					return stream(con, req, 1, 5, true)
				}))
			status, body, err := rig.send(t, "/stream/x")
			iis.NoErr(err)
			iis.Equal(status, http.StatusOK)
			iis.Equal(body, events(1, 5))
		})
	}
}

// TestSilentRunIsKeptIfTheConfigurationRefusesARetry guards against a call that is refused as unknown after a new
// configuration, although it had been taken and its sound run goes on.
func TestSilentRunIsKeptIfTheConfigurationRefusesARetry(t *testing.T) {
	iis := is.New(t)
	hdl := func(con net.Conn, req request) bool {
		time.Sleep(2 * idleTimeout)
		return stream(con, req, 1, 5, true)
	}
	rig := newStreamRig(t, true, relay.Report{LatencyRatio: 1, Running: 1}, nil, newReplica(t, hdl), newReplica(t, hdl))
	time.AfterFunc(idleTimeout/4, func() {
		spc := testRules()
		spc.Accounts[0].Keys = []string{"other"}
		rig.rules.Store(rules.New(spc))
	})
	status, body, err := rig.send(t, "/stream/x")
	iis.NoErr(err)
	iis.Equal(status, http.StatusOK)
	iis.Equal(body, events(1, 5))
}

// TestSilentRunGoesOnElsewhereInTime guards against a silent run that is kept until its client disconnects although
// another replica could go on, and against a retry that is taken from the budget twice.
func TestSilentRunGoesOnElsewhereInTime(t *testing.T) {
	const patience = 2 * time.Second
	for state, silent := range silentReports {
		t.Run(state, func(t *testing.T) {
			iis := is.New(t)
			one, two := silentReplica(t, time.Minute), silentReplica(t, time.Minute)
			rig := newStreamRig(t, true, silent.report, silent.err, one, two)
			rig.changeStreams(func(rte *rules.Route) { rte.ClientIdleTimeout = patience })
			rig.opts.RetryLimits = func() retry.SharedLimits { return retry.SharedLimits{} } // one retry
			rig.start(t)
			began := time.Now()
			_, body, err := rig.send(t, "/stream/x")
			iis.NoErr(err)
			iis.Equal(withoutComments(body), events(1, 5))
			iis.True(time.Since(began) < patience)
		})
	}
}

// TestLostRunEndsAtOnce guards against a client that waits in vain for a run that its replica does not know any more.
func TestLostRunEndsAtOnce(t *testing.T) {
	iis := is.New(t)
	rig := newStreamRig(t, true, relay.Report{LatencyRatio: 1}, nil, silentReplica(t, time.Minute))
	rig.changeStreams(func(rte *rules.Route) { rte.MaxAttempts = 1 })
	began := time.Now()
	_, _, err := rig.send(t, "/stream/x")
	iis.True(err != nil)
	iis.True(time.Since(began) < 2*idleTimeout)
}
