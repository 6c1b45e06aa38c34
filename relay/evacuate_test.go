package relay_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"

	"github.com/tarragonwheel/tarragonwheel/cost"
	"github.com/tarragonwheel/tarragonwheel/fleet"
	"github.com/tarragonwheel/tarragonwheel/place"
	"github.com/tarragonwheel/tarragonwheel/relay"
	"github.com/tarragonwheel/tarragonwheel/rules"
	"github.com/tarragonwheel/tarragonwheel/timer"
)

// registerIn adds a replica in a data centre to the fleet.
func (rig *rig) registerIn(id, dataCentre string, rep *replica) {
	rig.flt.UpdateRegistration(fleet.Registration{
		ID: id, Service: "s", Address: rep.addr, DataCentre: dataCentre, Slots: 4, Sequence: 1, StartedAtMs: 1,
	})
}

// useEngines makes the service one of small engines.
func (rig *rig) useEngines() {
	spc := testRules()
	spc.Services = []rules.Service{{Name: "s", Engine: smallEngine()}}
	rig.rules.Store(rules.New(spc))
}

// evacuateWhenPlaced evacuates data centres when a call has been placed, and before it is sent.
func (rig *rig) evacuateWhenPlaced(names ...string) {
	rig.opts.Policy = func(
		req place.Request, eng *cost.Engine, views []fleet.View, loads fleet.PrefillLoads,
	) (place.Placement, bool) {
		defer rig.flt.SetEvacuated(names)
		return place.OnEngine(req, eng, views, loads)
	}
}

// answerOK serves a call.
func answerOK(con net.Conn, req request) bool { return reply(con, req, http.StatusOK, "served") }

// TestPlacedCallIsNotSentAfterAnEvacuation guards against a call that is sent to an evacuated data centre because it
// was placed before the evacuation, and against one that is refused although another data centre has replicas.
func TestPlacedCallIsNotSentAfterAnEvacuation(t *testing.T) {
	for name, tst := range map[string]struct {
		hasOther bool
		status   int
	}{"another data centre": {true, http.StatusOK}, "no other": {false, http.StatusServiceUnavailable}} {
		t.Run(name, func(t *testing.T) {
			iis := is.New(t)
			rep, other := newReplica(t, answerOK), newReplica(t, answerOK)
			rig := newRig(t)
			rig.useEngines()
			rig.evacuateWhenPlaced("a")
			rig.start(t)
			rig.registerIn("i-a", "a", rep)
			rig.flt.ReplicaSet("s").Views()[0].Replica.RecordSuccess() // Better than the other one.
			if tst.hasOther {
				rig.registerIn("i-b", "b", other)
				for _, vie := range rig.flt.ReplicaSet("s").Views() {
					if vie.ID == "i-b" {
						vie.Replica.RecordFailure()
					}
				}
			}
			status, hdr := rig.sendForHeader(t, "/unsafe/x")
			iis.Equal(status, tst.status)
			iis.Equal(rep.calls.Load(), int64(0))
			if !tst.hasOther {
				seconds, err := strconv.ParseFloat(hdr.Get("Retry-After"), 64)
				iis.NoErr(err)
				iis.True(seconds >= 1)
			}
			for _, vie := range rig.flt.ReplicaSet("s").Views() {
				iis.True(vie.ID != "i-a")
			}
		})
	}
}

// TestCallWaitsWhileEvacuationsAreUnknown guards against a call that is sent just after the process was stopped, before
// it knows of an evacuation of that time.
func TestCallWaitsWhileEvacuationsAreUnknown(t *testing.T) {
	iis := is.New(t)
	rep := newReplica(t, answerOK)
	rig := newRig(t)
	rig.opts.AwaitOperatorTopic = func(context.Context) { rig.flt.SetEvacuated([]string{"a"}) }
	rig.start(t)
	rig.registerIn("i-a", "a", rep)
	status, _ := rig.sendForHeader(t, "/unsafe/x")
	iis.Equal(status, http.StatusServiceUnavailable)
	iis.Equal(rep.calls.Load(), int64(0))
}

// splitRig is a relay with one replica in each of two data centres, whose reservations of KV memory are counted.
type splitRig struct {
	*rig
	one, two           *replica
	reserved, released atomic.Int64
}

// newSplitRig starts a relay whose calls with long prompts need both replicas. The function is called with each
// reservation and each renewal.
func newSplitRig(t *testing.T, hdl handler, onReserve func(rig *splitRig)) *splitRig {
	t.Helper()
	rig := &splitRig{rig: newRig(t), one: newReplica(t, hdl), two: newReplica(t, hdl)}
	rig.opts.ReservationUseTimeout = 2 * time.Second
	rig.opts.Reserver = relay.NewReserver(timer.New(), logr.Discard(), relay.ReplicaAPI{
		Reserve: func(context.Context, relay.Reservation) error {
			rig.reserved.Add(1)
			onReserve(rig)
			return nil
		},
		Release: func(context.Context, relay.Reservation) error {
			rig.released.Add(1)
			return nil
		},
		InUse:  func(context.Context, relay.Reservation) (bool, error) { return true, nil },
		Report: func(context.Context, string) (relay.Report, error) { return relay.Report{LatencyRatio: 1}, nil },
	})
	rig.start(t)
	rig.useEngines()
	rig.registerIn("i-a", "a", rig.one)
	rig.registerIn("i-b", "b", rig.two)
	return rig
}

// TestReservationIsReleasedIfItsDataCentreIsEvacuated guards against a part of a split prompt in an evacuated data
// centre, and against KV memory that stays reserved there.
func TestReservationIsReleasedIfItsDataCentreIsEvacuated(t *testing.T) {
	iis := is.New(t)
	rig := newSplitRig(t, answerOK, func(rig *splitRig) { rig.flt.SetEvacuated([]string{"a", "b"}) })
	res := rig.sendSplitPrompt(t)
	defer func() { _ = res.Body.Close() }()
	iis.Equal(res.StatusCode, http.StatusServiceUnavailable)
	body, err := io.ReadAll(res.Body)
	iis.NoErr(err)
	iis.True(strings.Contains(string(body), `"evacuated"`))
	iis.Equal(rig.one.calls.Load()+rig.two.calls.Load(), int64(0))
	for rig.released.Load() == 0 && t.Context().Err() == nil {
		time.Sleep(time.Millisecond)
	}
	iis.Equal(rig.reserved.Load(), int64(1))
}

// TestNothingIsReservedInEvacuatedDataCentre guards against a reservation in a data centre that was evacuated after the
// call had been placed, as helper of a replica elsewhere.
func TestNothingIsReservedInEvacuatedDataCentre(t *testing.T) {
	for _, name := range []string{"a", "b"} {
		t.Run(name, func(t *testing.T) {
			iis := is.New(t)
			rig := newSplitRig(t, answerOK, func(*splitRig) {})
			rig.evacuateWhenPlaced(name)
			rig.start(t)
			res := rig.sendSplitPrompt(t)
			_ = res.Body.Close()
			iis.True(res.StatusCode >= 500) // The other replica cannot hold the prompt alone.
			iis.Equal(rig.reserved.Load(), int64(0))
			iis.Equal(rig.one.calls.Load()+rig.two.calls.Load(), int64(0))
		})
	}
}

// TestCallInFlightKeepsItsReservation guards against a stream that is cut off, or whose reserved KV memory expires,
// because its data centre is evacuated while it runs.
func TestCallInFlightKeepsItsReservation(t *testing.T) {
	iis := is.New(t)
	var evacuated atomic.Bool
	var renewed atomic.Int64
	var rig *splitRig
	slow := func(con net.Conn, req request) bool {
		rig.flt.SetEvacuated([]string{"a", "b"})
		evacuated.Store(true)
		for renewed.Load() < 2 {
			time.Sleep(10 * time.Millisecond)
		}
		return stream(con, req, 1, 3, true)
	}
	rig = newSplitRig(t, slow, func(*splitRig) {
		if evacuated.Load() {
			renewed.Add(1)
		}
	})
	res := rig.sendSplitPrompt(t)
	defer func() { _ = res.Body.Close() }()
	body, err := io.ReadAll(res.Body)
	iis.NoErr(err)
	iis.Equal(res.StatusCode, http.StatusOK)
	iis.Equal(string(body), events(1, 3))
	for rig.released.Load() == 0 && t.Context().Err() == nil {
		time.Sleep(time.Millisecond)
	}
}

// TestBrokenStreamIsNotResumedInEvacuatedDataCentre guards against the rest of a stream that is asked for in an
// evacuated data centre after its replica has failed.
func TestBrokenStreamIsNotResumedInEvacuatedDataCentre(t *testing.T) {
	iis := is.New(t)
	var rig *rig
	other := newReplica(t, func(con net.Conn, req request) bool { return stream(con, req, 3, 5, true) })
	rig = newRig(t, newReplica(t, func(con net.Conn, req request) bool {
		rig.flt.SetEvacuated([]string{"a"})
		return stream(con, req, 1, 2, false)
	}))
	rig.registerIn("i-a", "a", other)
	rig.flt.SetEvacuated([]string{"a"}) // so that the first attempt goes to the other one
	_, body, err := rig.send(t, "/stream/x")
	iis.True(err != nil)
	iis.Equal(body, events(1, 2))
	iis.Equal(other.calls.Load(), int64(0))
}

// TestStandbyAttemptAvoidsEvacuatedDataCentre guards against a standby attempt for a silent stream that is begun in an
// evacuated data centre.
func TestStandbyAttemptAvoidsEvacuatedDataCentre(t *testing.T) {
	iis := is.New(t)
	other := newReplica(t, func(con net.Conn, req request) bool { return stream(con, req, 1, 5, true) })
	rpt := relay.Report{LatencyRatio: 1, Running: 1}
	rig := newStreamRig(t, true, rpt, nil, newReplica(t, pausedStream(1200*time.Millisecond)))
	rig.registerIn("i-a", "a", other)
	rig.flt.SetEvacuated([]string{"a"})
	_, _, err := rig.send(t, "/stream/x")
	iis.NoErr(err)
	iis.Equal(other.calls.Load(), int64(0))
}
