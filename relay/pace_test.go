package relay_test

import (
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tarragonwheel/tarragonwheel/fleet"
	"github.com/tarragonwheel/tarragonwheel/pace"
)

// warmUp lets the replicas of a rig take the given number of calls a second while they are cold.
func (rig *rig) warmUp(perSecond float64) {
	rig.flt.SetWarmUps(map[string]pace.WarmUp{"s": {Time: 10 * time.Second, PerSecond: perSecond}})
}

// TestColdReplicasGetTheirQuota guards against cold replicas that get more calls at once than they handle, because the
// calls were placed before one of them was sent.
func TestColdReplicasGetTheirQuota(t *testing.T) {
	iis := is.New(t)
	sound := func(con net.Conn, req request) bool { return reply(con, req, 200, "ok") }
	one, two := newReplica(t, sound), newReplica(t, sound)
	rig := newRig(t, one, two)
	rig.warmUp(4)
	rig.flt.MarkCold("z")
	began := time.Now()
	var mu sync.Mutex
	served, refused := 0, 0
	var calls sync.WaitGroup
	for range 30 {
		calls.Go(func() {
			status, body, err := rig.send(t, "/safe/x")
			mu.Lock()
			defer mu.Unlock()
			switch {
			case err == nil && status == 200:
				served++
			case err == nil && status == 503 && strings.Contains(body, "replicas-warming-up"):
				refused++
			}
		})
	}
	calls.Wait()
	seconds := 1 + int(time.Since(began)/time.Second) // More than one if the machine is busy.
	iis.Equal(served+refused, 30)
	iis.True(served >= 8 && served <= 8*seconds)
	iis.True(one.calls.Load() <= int64(4*seconds))
	iis.True(two.calls.Load() <= int64(4*seconds))
}

// TestRetryAfterOfColdReplicas guards against clients that are sent away for longer or shorter than the replica takes
// no calls.
func TestRetryAfterOfColdReplicas(t *testing.T) {
	iis := is.New(t)
	rep := newReplica(t, func(con net.Conn, req request) bool { return reply(con, req, 200, "ok") })
	rig := newRig(t, rep)
	rig.warmUp(1)
	rig.flt.MarkCold("z")
	status, _, err := rig.send(t, "/safe/x")
	iis.NoErr(err)
	iis.Equal(status, 200)
	status, hdr := rig.sendForHeader(t, "/safe/x")
	iis.Equal(status, 503)
	sec, err := strconv.ParseFloat(hdr.Get("Retry-After"), 64)
	iis.NoErr(err)
	iis.True(sec > 0.3 && sec < 1.5)
}

// TestCallWaitsForAColdReplica guards against calls that are refused although a cold replica takes one within some tens
// of milliseconds.
func TestCallWaitsForAColdReplica(t *testing.T) {
	iis := is.New(t)
	rep := newReplica(t, func(con net.Conn, req request) bool { return reply(con, req, 200, "ok") })
	rig := newRig(t, rep)
	rig.warmUp(1)
	rig.flt.MarkCold("z")
	began := time.Now()
	status, _, err := rig.send(t, "/safe/x")
	iis.NoErr(err)
	iis.Equal(status, 200)
	time.Sleep(time.Until(began.Add(time.Second)))
	status, _, err = rig.send(t, "/safe/x")
	iis.NoErr(err)
	iis.Equal(status, 200)
}

// TestResponseSaysCold guards against a replica that says in a response that it is cold, and gets calls as before.
func TestResponseSaysCold(t *testing.T) {
	iis := is.New(t)
	rep := newReplica(t, func(con net.Conn, req request) bool {
		return respond(con, req, http.StatusOK, "Tarragonwheel-Cold-Ms: 9000\r\n")
	})
	rig := newRig(t, rep)
	rig.warmUp(1)
	told := make(chan fleet.ColdNotice, 10)
	rig.opts.OnReplicaCold = func(ntc fleet.ColdNotice) { told <- ntc }
	rig.start(t)
	for _, want := range []int{200, 200, 503} { // The first call was sent before the replica was known to be cold.
		status, _, err := rig.send(t, "/safe/x")
		iis.NoErr(err)
		iis.Equal(status, want)
	}
	iis.Equal(len(told), 1) // Peers are told once.
	iis.Equal((<-told).Left, 9*time.Second)
}

// TestCrashAboveLimitIsNotPutDownToCalls guards against calls that are blocked because a cold replica ended that got
// too many calls of all fronts together.
func TestCrashAboveLimitIsNotPutDownToCalls(t *testing.T) {
	for _, tst := range []struct {
		others int
		active bool
	}{{0, true}, {5, false}} {
		iis := is.New(t)
		rep := newMortalReplica(t, func(net.Conn, request) bool { return false })
		rig := newRig(t, rep)
		rig.warmUp(3)
		rig.flt.MarkCold("z")
		hash := rig.flt.ReplicaSet("s").Views()[0].Replica.LeavingNotice().Replica
		for num := range tst.others {
			rig.flt.ApplyRemoteTasks("10.0.0.9:7000", []fleet.RemoteTask{{
				Replica: hash, Task: fleet.Task{ID: uint32(num), StartedAt: time.Now()},
			}})
		}
		status, _, err := rig.send(t, "/unsafe/x")
		iis.NoErr(err)
		iis.Equal(status, 502)
		time.Sleep(time.Second) // The check of the replica has ended by then.
		iis.Equal(rig.opts.Crashes.Active(), tst.active)
	}
}
