package relay_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"

	"github.com/tarragonwheel/tarragonwheel/relay"
	"github.com/tarragonwheel/tarragonwheel/rules"
	"github.com/tarragonwheel/tarragonwheel/timer"
)

// idleTimeout is how long clients of the test wait for an event. A stream is examined after half of it.
const idleTimeout = 400 * time.Millisecond

// newStreamRig starts a relay with one route for streams, whose replicas report as given.
func newStreamRig(t *testing.T, resumable bool, rpt relay.Report, err error, replicas ...*replica) *rig {
	t.Helper()
	rig := newRig(t, replicas...)
	spc := testRules()
	for idx := range spc.Routes {
		if spc.Routes[idx].Kind == rules.Stream {
			spc.Routes[idx].ClientIdleTimeout, spc.Routes[idx].Resumable = idleTimeout, resumable
		}
	}
	rig.rules.Store(rules.New(spc))
	rig.opts.Reserver = relay.NewReserver(timer.New(), logr.Discard(), relay.ReplicaAPI{
		Report: func(context.Context, string) (relay.Report, error) { return rpt, err },
	})
	rig.start(t)
	return rig
}

// pausedStream returns a handler that sends events 1 and 2, then comments for the given time, then events 3 to 5. If
// the caller resumes after event 2, it sends events 3 to 5 at once.
func pausedStream(pause time.Duration) handler { return pausedStreamWith(":\n", pause) }

// pausedStreamWith is pausedStream with another text than comments.
func pausedStreamWith(text string, pause time.Duration) handler {
	filler := ""
	for _, char := range text {
		filler += fmt.Sprintf("1\r\n%c\r\n", char)
	}
	return func(con net.Conn, req request) bool {
		if req.Header.Get("Last-Event-Id") != "" {
			return stream(con, req, 3, 5, true)
		}
		_ = stream(con, req, 1, 2, false)
		for until := time.Now().Add(pause); time.Now().Before(until); time.Sleep(10 * time.Millisecond) {
			if _, err := io.WriteString(con, filler); err != nil {
				return false
			}
		}
		for num := 3; num <= 5; num++ {
			text := fmt.Sprintf("id: %d\ndata: piece %d\n\n", num, num)
			_, _ = fmt.Fprintf(con, "%x\r\n%s\r\n", len(text), text)
		}
		_, err := io.WriteString(con, "0\r\n\r\n")
		return err == nil
	}
}

// TestStalledStreamIsResumed guards against a stream that never ends because its replica sends a byte now and then but
// no events.
func TestStalledStreamIsResumed(t *testing.T) {
	iis := is.New(t)
	one, two := newReplica(t, pausedStream(time.Minute)), newReplica(t, pausedStream(time.Minute))
	rig := newStreamRig(t, true, relay.Report{LatencyRatio: 1, Running: 2}, nil, one, two)
	began := time.Now()
	status, body, err := rig.send(t, "/stream/x")
	iis.NoErr(err)
	iis.Equal(status, 200)
	iis.Equal(withoutComments(body), events(1, 5))
	iis.True(time.Since(began) < 10*idleTimeout)
	iis.Equal(one.calls.Load()+two.calls.Load(), int64(2))
}

// TestStreamOfCommentsIsStalled guards against a stream that never ends because its replica sends whole comments, each
// with an empty line behind it as if it were an event, or nothing but empty lines.
func TestStreamOfCommentsIsStalled(t *testing.T) {
	for _, text := range []string{": alive\n\n", "\n"} {
		iis := is.New(t)
		hdl := pausedStreamWith(text, time.Minute)
		one, two := newReplica(t, hdl), newReplica(t, hdl)
		rig := newStreamRig(t, true, relay.Report{LatencyRatio: 1, Running: 2}, nil, one, two)
		began := time.Now()
		_, body, err := rig.send(t, "/stream/x")
		iis.NoErr(err)
		iis.True(strings.HasSuffix(body, events(3, 5)))
		iis.True(time.Since(began) < 10*idleTimeout)
		iis.Equal(one.calls.Load()+two.calls.Load(), int64(2))
	}
}

// withoutComments removes the empty comments of pausedStream from a stream.
func withoutComments(body string) string {
	const comment = ":\n"
	out := ""
	for len(body) > 0 {
		if len(body) >= len(comment) && body[:len(comment)] == comment {
			body = body[len(comment):]
			continue
		}
		out += body[:1]
		body = body[1:]
	}
	return out
}

// TestSlowStreamIsNotCut guards against a sound stream that is cut or runs twice because its replica is slow, has other
// calls before it, or does not report for a while.
func TestSlowStreamIsNotCut(t *testing.T) {
	for name, tst := range map[string]struct {
		resumable bool
		report    relay.Report
		err       error
	}{
		"slow replica":            {true, relay.Report{LatencyRatio: 4, Running: 2}, nil},
		"busy replica":            {true, relay.Report{LatencyRatio: 1, Running: 4, Queued: 3}, nil},
		"silent, not idempotent":  {false, relay.Report{}, errors.New("no report")},
		"slow and not idempotent": {false, relay.Report{LatencyRatio: 4, Running: 2}, nil},
	} {
		t.Run(name, func(t *testing.T) {
			iis := is.New(t)
			one, two := newReplica(t, pausedStream(2*idleTimeout)), newReplica(t, pausedStream(2*idleTimeout))
			rig := newStreamRig(t, tst.resumable, tst.report, tst.err, one, two)
			_, body, err := rig.send(t, "/stream/x")
			iis.NoErr(err)
			iis.Equal(withoutComments(body), events(1, 5))
			iis.Equal(one.calls.Load()+two.calls.Load(), int64(1))
		})
	}
}

// TestStalledStreamEndsWithAnError guards against a stream that may not run twice, and that stalls until its client's
// deadline. Its response must not look complete.
func TestStalledStreamEndsWithAnError(t *testing.T) {
	iis := is.New(t)
	one, two := newReplica(t, pausedStream(time.Minute)), newReplica(t, pausedStream(time.Minute))
	rig := newStreamRig(t, false, relay.Report{LatencyRatio: 1, Running: 2}, nil, one, two)
	began := time.Now()
	_, _, err := rig.send(t, "/stream/x")
	iis.True(err != nil)
	iis.True(time.Since(began) < 10*idleTimeout)
	iis.Equal(one.calls.Load()+two.calls.Load(), int64(1))
}
