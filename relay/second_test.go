package relay_test

import (
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tarragonwheel/tarragonwheel/retry"
	"github.com/tarragonwheel/tarragonwheel/rules"
)

// learningCalls is the number of calls after which a relay knows how long responses usually take.
const learningCalls = 30

// hangingReplicas are two replicas that answer fast, until one call is to hang at whichever gets it.
type hangingReplicas struct {
	list      []*replica
	hang      atomic.Bool  // the next call hangs
	cancelled atomic.Int64 // calls that hung until their connections were closed
	status    atomic.Int64 // of the calls that do not hang, once one does
}

func newHangingReplicas(t *testing.T) *hangingReplicas {
	t.Helper()
	hng := &hangingReplicas{}
	hng.status.Store(http.StatusOK)
	hdl := func(con net.Conn, req request) bool {
		if !hng.hang.CompareAndSwap(true, false) {
			time.Sleep(time.Millisecond)
			return reply(con, req, int(hng.status.Load()), "fast")
		}
		_ = con.SetReadDeadline(time.Now().Add(2 * time.Second))
		if num, err := con.Read(make([]byte, 1)); num == 0 && !isTimeout(err) {
			hng.cancelled.Add(1)
			return false
		}
		_ = con.SetReadDeadline(time.Time{})
		return reply(con, req, 200, "slow")
	}
	hng.list = []*replica{newReplica(t, hdl), newReplica(t, hdl)}
	return hng
}

func isTimeout(err error) bool {
	netErr, ok := err.(net.Error) //nolint:errorlint // Connections return it as it is.
	return ok && netErr.Timeout()
}

func (hng *hangingReplicas) calls() int64 { return hng.list[0].calls.Load() + hng.list[1].calls.Load() }

// learn sends calls until the relay knows how long responses usually take.
func (rig *rig) learn(t *testing.T, path string) {
	t.Helper()
	for range learningCalls {
		if status, _, err := rig.send(t, path); err != nil || status != http.StatusOK {
			t.Fatal(status, err)
		}
	}
}

// TestSecondAttemptOvertakes guards against a call that waits until its deadline for a response that was lost, and
// against a first attempt that goes on at its replica.
func TestSecondAttemptOvertakes(t *testing.T) {
	iis := is.New(t)
	hng := newHangingReplicas(t)
	rig := newRig(t, hng.list...)
	rig.learn(t, "/safe/x")
	for range 3 {
		hng.hang.Store(true)
		status, body, err := rig.send(t, "/safe/x")
		iis.NoErr(err)
		iis.Equal(status, http.StatusOK)
		iis.Equal(body, "fast")
	}
	for end := time.Now().Add(time.Second); hng.cancelled.Load() < 3 && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	iis.Equal(hng.cancelled.Load(), int64(3))
	iis.Equal(rig.event(t, "second-attempt-overtakes"), 3)
	iis.Equal(rig.event(t, "answer-broken-off"), 0) // The front itself ended the attempts.
}

// event returns how often an event was counted.
func (rig *rig) event(t *testing.T, kind string) int {
	t.Helper()
	counts, err := rig.opts.Metrics.CounterValues("events_total")
	is.New(t).NoErr(err)
	return counts[kind]
}

// TestNoSecondAttempt guards against second attempts at calls that must not run twice or whose routes allow one attempt
// only, against those that the retry budget does not cover, and against those that a client gets no time for.
func TestNoSecondAttempt(t *testing.T) {
	for _, tst := range []struct {
		name, path string
		change     func(rig *rig)
	}{
		{name: "not idempotent", path: "/unsafe/x"},
		{name: "one attempt", path: "/safe/x", change: func(rig *rig) {
			spec := testRules()
			spec.Version = 2
			for idx := range spec.Routes {
				spec.Routes[idx].MaxAttempts = 1
			}
			rig.rules.Store(rules.New(spec))
		}},
		{name: "no budget", path: "/safe/x", change: func(rig *rig) {
			rig.opts.RetryLimits = func() retry.SharedLimits { return retry.SharedLimits{Window: time.Second} }
			rig.start(t)
		}},
	} {
		t.Run(tst.name, func(t *testing.T) {
			iis := is.New(t)
			hng := newHangingReplicas(t)
			rig := newRig(t, hng.list...)
			if tst.change != nil {
				tst.change(rig)
			}
			rig.learn(t, tst.path)
			if tst.name == "no budget" { // The bucket holds one at least.
				hng.hang.Store(true)
				_, _, err := rig.send(t, tst.path)
				iis.NoErr(err)
			}
			before := hng.calls()
			hng.hang.Store(true)
			status, body, err := rig.send(t, tst.path)
			iis.NoErr(err)
			iis.Equal(status, http.StatusOK)
			iis.Equal(body, "slow")
			iis.Equal(hng.calls(), before+1)
		})
	}
}

// TestFailedSecondAttemptChangesNothing guards against a call that fails because its second attempt has failed while
// the first was in progress, and against more attempts than the route allows.
func TestFailedSecondAttemptChangesNothing(t *testing.T) {
	iis := is.New(t)
	hng := newHangingReplicas(t)
	rig := newRig(t, hng.list...)
	rig.learn(t, "/safe/x")
	before := hng.calls()
	hng.status.Store(http.StatusInternalServerError)
	hng.hang.Store(true)
	status, body, err := rig.send(t, "/safe/x")
	iis.NoErr(err)
	iis.Equal(status, http.StatusOK)
	iis.Equal(body, "slow")
	iis.Equal(hng.calls(), before+2)
}

// TestSecondAttemptSurvivesTheFirst guards against a call that fails because its first attempt fails while the second
// is in progress.
func TestSecondAttemptSurvivesTheFirst(t *testing.T) {
	iis := is.New(t)
	var calls atomic.Int64
	hdl := func(con net.Conn, req request) bool {
		switch num := calls.Add(1); {
		case num <= learningCalls:
			return reply(con, req, 200, "fast")
		case num == learningCalls+1: // It fails while the second attempt is in progress.
			time.Sleep(200 * time.Millisecond)
			return false
		}
		time.Sleep(400 * time.Millisecond)
		return reply(con, req, 200, "second")
	}
	rig := newRig(t, newReplica(t, hdl), newReplica(t, hdl))
	rig.learn(t, "/safe/x")
	status, body, err := rig.send(t, "/safe/x")
	iis.NoErr(err)
	iis.Equal(status, http.StatusOK)
	iis.Equal(body, "second")
	iis.Equal(calls.Load(), int64(learningCalls+2))
}
