package relay_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tarragonwheel/tarragonwheel/relay"
)

// newStandbyRig starts a relay with two replicas. The first call to any of them gets a stream that is silent for the
// given time, and the others are handled by standby. The counter is that of the runs in progress.
func newStandbyRig(t *testing.T, pause time.Duration, standby handler) (*rig, *atomic.Int64) {
	t.Helper()
	var begun atomic.Bool
	running := new(atomic.Int64)
	silent := pausedStream(pause)
	hdl := func(con net.Conn, req request) bool {
		running.Add(1)
		defer running.Add(-1)
		if begun.Swap(true) {
			return standby(con, req)
		}
		return silent(con, req)
	}
	rpt := relay.Report{LatencyRatio: 1, Running: 1}
	return newStreamRig(t, true, rpt, nil, newReplica(t, hdl), newReplica(t, hdl)), running
}

// silence is a handler that sends nothing until the connection is closed.
func silence(con net.Conn, _ request) bool {
	_, _ = con.Read(make([]byte, 1))
	return false
}

// waitForNone waits until no run is in progress.
func waitForNone(t *testing.T, running *atomic.Int64) {
	t.Helper()
	for until := time.Now().Add(5 * time.Second); running.Load() > 0; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(until) {
			t.Fatal("replicas work on without a client")
		}
	}
}

// TestSilentRunIsKeptIfAnotherReplicaFails guards against a sound run that is given up for an attempt at another
// replica that refuses or fails it, so that the call has neither.
func TestSilentRunIsKeptIfAnotherReplicaFails(t *testing.T) {
	for name, standby := range map[string]handler{
		"refuses": refuse,
		"closes":  func(net.Conn, request) bool { return false },
		"fails": func(con net.Conn, req request) bool {
			return reply(con, req, http.StatusInternalServerError, "failed")
		},
		"breaks off": func(con net.Conn, req request) bool { return stream(con, req, 3, 2, false) },
		"is silent":  silence,
		"begins later": func(con net.Conn, req request) bool {
			time.Sleep(3 * idleTimeout)
			return stream(con, req, 3, 5, true)
		},
	} {
		t.Run(name, func(t *testing.T) {
			iis := is.New(t)
			rig, running := newStandbyRig(t, 2*idleTimeout, standby)
			status, body, err := rig.send(t, "/stream/x")
			iis.NoErr(err)
			iis.Equal(status, http.StatusOK)
			iis.Equal(withoutComments(body), events(1, 5))
			waitForNone(t, running)
		})
	}
}

// TestBothRunsEndWithTheirClient guards against replicas that work on for a client that has left while a standby
// attempt was being prepared.
func TestBothRunsEndWithTheirClient(t *testing.T) {
	iis := is.New(t)
	rig, running := newStandbyRig(t, time.Minute, silence)
	ctx, cancel := context.WithTimeout(t.Context(), idleTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, rig.url+"/stream/x", strings.NewReader("asked"))
	iis.NoErr(err)
	req.Header.Set("Api-Key", "k")
	res, err := http.DefaultClient.Do(req)
	iis.NoErr(err)
	defer func() { _ = res.Body.Close() }()
	for running.Load() < 2 && ctx.Err() == nil {
		time.Sleep(time.Millisecond)
	}
	_, err = io.ReadAll(res.Body)
	iis.True(err != nil)
	waitForNone(t, running)
}

// TestGivenUpRunEndsAtOnce guards against a replica that works on after another one has gone on with its stream.
func TestGivenUpRunEndsAtOnce(t *testing.T) {
	iis := is.New(t)
	rig, running := newStandbyRig(t, time.Minute, func(con net.Conn, req request) bool {
		return stream(con, req, 3, 5, true)
	})
	_, body, err := rig.send(t, "/stream/x")
	iis.NoErr(err)
	iis.Equal(withoutComments(body), events(1, 5))
	waitForNone(t, running)
}
