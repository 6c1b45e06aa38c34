package relay_test

import (
	"context"
	"net"
	"net/http"
	"strconv"
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
)

// TestOverloadRefusalHasRetryAfter guards against an overloaded call that reaches a replica, is refused only after a
// delay, or is refused without a Retry-After time that outlasts the overload.
func TestOverloadRefusalHasRetryAfter(t *testing.T) {
	iis := is.New(t)
	rep := newReplica(t, func(con net.Conn, req request) bool { return reply(con, req, http.StatusOK, "served") })
	rig := newRig(t, rep)
	spc := testRules()
	spc.Services = []rules.Service{{Name: "s", Engine: &cost.Engine{Slots: 4, PrefillTokensPerS: 1000}}}
	rig.rules.Store(rules.New(spc))
	rig.opts.Policy = func(place.Request, *cost.Engine, []fleet.View, fleet.PrefillLoads) (place.Placement, bool) {
		return place.Placement{NetValue: -1, BusyFor: 2 * time.Second}, true
	}
	rig.start(t)
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, rig.url+"/stream/", nil)
	iis.NoErr(err)
	req.Header.Set("Api-Key", "k")
	began := time.Now()
	res, err := http.DefaultClient.Do(req)
	iis.NoErr(err)
	iis.NoErr(res.Body.Close())
	iis.Equal(res.StatusCode, http.StatusServiceUnavailable)
	retryAfter, err := strconv.ParseFloat(res.Header.Get("Retry-After"), 64)
	iis.NoErr(err)
	iis.True(retryAfter >= 2)
	iis.True(time.Since(began) < time.Second)
	iis.Equal(rep.calls.Load(), int64(0))
}

// TestCallWaitsForTheFirstConfiguration guards against calls that are refused just after a restart of all processes:
// calls may arrive a few milliseconds before the configuration, and refused clients retry too late for their latency
// target.
func TestCallWaitsForTheFirstConfiguration(t *testing.T) {
	iis := is.New(t)
	rep := newReplica(t, func(con net.Conn, req request) bool { return reply(con, req, http.StatusOK, "served") })
	rig := newRig(t, rep)
	known := rig.rules.Swap(nil)
	time.AfterFunc(50*time.Millisecond, func() { rig.rules.Store(known) })
	status, body, err := rig.send(t, "/safe/x")
	iis.NoErr(err)
	iis.Equal(status, http.StatusOK)
	iis.Equal(body, "served")
	rig.rules.Store(nil)
	began := time.Now()
	status, _, err = rig.send(t, "/safe/x")
	iis.NoErr(err)
	iis.Equal(status, http.StatusServiceUnavailable)
	iis.True(time.Since(began) < 5*time.Second/4) // an eighth of the client's time limit, and some margin
}

// TestOverdueSplitPromptQueriesLatencyRatio guards against a slow helper replica that delays every split prompt it
// takes part in, and is chosen again and again because it decodes no streams from which its latency ratio could be
// observed.
func TestOverdueSplitPromptQueriesLatencyRatio(t *testing.T) {
	iis := is.New(t)
	slow := func(con net.Conn, req request) bool {
		time.Sleep(600 * time.Millisecond)
		return stream(con, req, 1, 2, true)
	}
	rig := newRig(t, newReplica(t, slow), newReplica(t, slow))
	var queries atomic.Int64
	rig.opts.Reserver = relay.NewReserver(rig.opts.Clock, logr.Discard(), relay.ReplicaAPI{
		Report: func(context.Context, string) (relay.Report, error) {
			queries.Add(1)
			return relay.Report{LatencyRatio: 4}, nil
		},
	})
	spc := testRules()
	spc.Services = []rules.Service{{Name: "s", Engine: &cost.Engine{Slots: 4, PrefillTokensPerS: 1000}}}
	rig.rules.Store(rules.New(spc))
	rig.opts.Policy = func(
		_ place.Request, _ *cost.Engine, list []fleet.View, _ fleet.PrefillLoads,
	) (place.Placement, bool) {
		return place.Placement{
			Primary: list[0], Helpers: []place.HelperPart{{View: list[1]}}, FirstEvent: 10 * time.Millisecond,
		}, true
	}
	rig.start(t)
	status, _, err := rig.send(t, "/stream/x")
	iis.NoErr(err)
	iis.Equal(status, http.StatusOK)
	iis.Equal(queries.Load(), int64(2))
	for _, vie := range rig.flt.ReplicaSet("s").Views() {
		iis.Equal(vie.LatencyRatio, 4.0)
	}
}
