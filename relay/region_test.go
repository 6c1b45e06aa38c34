package relay_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"

	"github.com/tarragonwheel/tarragonwheel/fleet"
	"github.com/tarragonwheel/tarragonwheel/relay"
	"github.com/tarragonwheel/tarragonwheel/rules"
	"github.com/tarragonwheel/tarragonwheel/timer"
)

// restrictedRules returns the rules of the test with the given regions allowed by all routes and by the account.
func restrictedRules(route, account []string) *rules.Set {
	spc := testRules()
	for idx := range spc.Routes {
		spc.Routes[idx].Regions = route
	}
	spc.Accounts[0].Regions = account
	return rules.New(spc)
}

// newRegionRig starts a relay with replicas in the data centres north-1, south-1 and unknown-1. The region of the last
// is not known.
func newRegionRig(t *testing.T, north, south, unknown *replica) *rig {
	t.Helper()
	rig := newRig(t)
	for dataCentre, rep := range map[string]*replica{"north-1": north, "south-1": south, "unknown-1": unknown} {
		rig.flt.UpdateRegistration(fleet.Registration{
			ID: "i-" + dataCentre, Service: "s", Address: rep.addr, DataCentre: dataCentre, Slots: 4, Sequence: 1,
		})
	}
	rig.opts.DataCentre = "south-1"
	rig.opts.Regions = func() map[string]string { return map[string]string{"north-1": "north", "south-1": "south"} }
	rig.start(t)
	return rig
}

func serveOK(con net.Conn, req request) bool { return reply(con, req, http.StatusOK, "served") }

// errorReason returns the reason in the body of an error response of the relay.
func errorReason(t *testing.T, body string) string {
	t.Helper()
	var msg struct {
		Error string `json:"error"`
	}
	if err := json.Unmarshal([]byte(body), &msg); err != nil {
		t.Fatal(err)
	}
	return msg.Error
}

// TestCallsStayInAllowedRegions guards against a call that reaches a replica outside the regions that its route and its
// account allow, or in a data centre without a known region, and against a refusal although an allowed one has a
// replica.
func TestCallsStayInAllowedRegions(t *testing.T) {
	for name, tst := range map[string]struct {
		route, account []string
		wantNorth      bool // else the call is refused
	}{
		"route":         {[]string{"north"}, nil, true},
		"account":       {nil, []string{"north"}, true},
		"both":          {[]string{"south", "north"}, []string{"north", "unknown"}, true},
		"nothing alike": {[]string{"south"}, []string{"north"}, false},
		"other region":  {[]string{"west"}, nil, false},
		"data centre":   {[]string{"unknown-1"}, nil, false},
		"empty name":    {[]string{""}, nil, false},
	} {
		t.Run(name, func(t *testing.T) {
			iis := is.New(t)
			north, south, unknown := newReplica(t, serveOK), newReplica(t, serveOK), newReplica(t, serveOK)
			rig := newRegionRig(t, north, south, unknown)
			rig.rules.Store(restrictedRules(tst.route, tst.account))
			const num = 10
			for range num {
				status, body, err := rig.send(t, "/unsafe/x")
				iis.NoErr(err)
				if tst.wantNorth {
					iis.Equal(status, http.StatusOK)
					continue
				}
				iis.Equal(status, http.StatusServiceUnavailable)
				iis.Equal(errorReason(t, body), "no-replica-in-region")
			}
			iis.Equal(south.calls.Load()+unknown.calls.Load(), int64(0))
			counts, err := rig.opts.Metrics.CounterValues("refusals_total")
			iis.NoErr(err)
			if tst.wantNorth {
				iis.Equal(north.calls.Load(), int64(num))
				iis.Equal(counts["no-replica-in-region"], 0)
			} else {
				iis.Equal(north.calls.Load(), int64(0))
				iis.Equal(counts["no-replica-in-region"], num)
			}
		})
	}
}

// TestRefusalOutsideRegionsHasRetryAfter guards against clients that come again at once to a region without replicas.
func TestRefusalOutsideRegionsHasRetryAfter(t *testing.T) {
	iis := is.New(t)
	rig := newRegionRig(t, newReplica(t, serveOK), newReplica(t, serveOK), newReplica(t, serveOK))
	rig.rules.Store(restrictedRules([]string{"west"}, nil))
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, rig.url+"/safe/x", strings.NewReader("asked"))
	iis.NoErr(err)
	req.Header.Set("Api-Key", "k")
	res, err := http.DefaultClient.Do(req)
	iis.NoErr(err)
	_ = res.Body.Close()
	iis.True(res.Header.Get("Retry-After") != "")
}

// TestCallsWithoutAllowedRegionsReachAllReplicas guards against a configuration without allowed regions that is served
// differently because the regions of some data centres are known.
func TestCallsWithoutAllowedRegionsReachAllReplicas(t *testing.T) {
	iis := is.New(t)
	refusing := newReplica(t, refuse)
	unknown := newReplica(t, serveOK)
	rig := newRegionRig(t, refusing, refusing, unknown)
	for range 5 {
		status, _, err := rig.send(t, "/unsafe/x")
		iis.NoErr(err)
		iis.Equal(status, http.StatusOK)
	}
	iis.Equal(unknown.calls.Load(), int64(5))
}

// TestRetriesStayInAllowedRegions guards against a retry that leaves the allowed regions because the only replica there
// has refused the call or failed it.
func TestRetriesStayInAllowedRegions(t *testing.T) {
	for name, hdl := range map[string]handler{
		"refused": refuse,
		"broken":  func(net.Conn, request) bool { return false },
		"failed": func(con net.Conn, req request) bool {
			return reply(con, req, http.StatusInternalServerError, "failed")
		},
	} {
		t.Run(name, func(t *testing.T) {
			iis := is.New(t)
			north, south := newReplica(t, hdl), newReplica(t, serveOK)
			rig := newRegionRig(t, north, south, south)
			rig.rules.Store(restrictedRules([]string{"north"}, nil))
			status, _, err := rig.send(t, "/safe/x")
			iis.NoErr(err)
			iis.True(status >= http.StatusInternalServerError)
			iis.True(north.calls.Load() > 0)
			iis.Equal(south.calls.Load(), int64(0))
		})
	}
}

// TestWiderPlacementStaysInAllowedRegions guards against a call that is placed in another cell outside the allowed
// regions, because the replicas in the own cell cannot serve it.
func TestWiderPlacementStaysInAllowedRegions(t *testing.T) {
	for name, allowed := range map[string][]string{"restricted": {"north"}, "not restricted": nil} {
		t.Run(name, func(t *testing.T) {
			iis := is.New(t)
			north, south := newReplica(t, refuse), newReplica(t, serveOK)
			rig := newRegionRig(t, north, south, north)
			for dataCentre, rep := range map[string]*replica{"south-1": south, "north-2": north} {
				for idx := range 30 { // The data centre becomes a cell of its own.
					rig.flt.UpdateRegistration(fleet.Registration{
						ID: fmt.Sprint("i-", dataCentre, idx), Service: "s", Address: rep.addr, DataCentre: dataCentre,
						Slots: 4, Sequence: 1,
					})
				}
			}
			rig.opts.Regions = func() map[string]string {
				return map[string]string{"north-1": "north", "north-2": "north", "south-1": "south"}
			}
			rig.opts.DataCentre = "north-1"
			rig.start(t)
			rig.rules.Store(restrictedRules(allowed, nil))
			for range 5 {
				_, _, err := rig.send(t, "/safe/x")
				iis.NoErr(err)
			}
			iis.Equal(south.calls.Load() > 0, allowed == nil)
		})
	}
}

// TestRetryFollowsChangedRegions guards against a retry in a region that a newer configuration does not allow any more,
// and against a refusal of one in a region that it has begun to allow.
func TestRetryFollowsChangedRegions(t *testing.T) {
	iis := is.New(t)
	var rig *rig
	north := newReplica(t, func(con net.Conn, req request) bool {
		rig.rules.Store(restrictedRules(nil, []string{"south"}))
		return refuse(con, req)
	})
	south, unknown := newReplica(t, serveOK), newReplica(t, serveOK)
	rig = newRegionRig(t, north, south, unknown)
	rig.rules.Store(restrictedRules([]string{"north"}, nil))
	status, _, err := rig.send(t, "/unsafe/x")
	iis.NoErr(err)
	iis.Equal(status, http.StatusOK)
	iis.Equal(north.calls.Load(), int64(1))
	iis.Equal(south.calls.Load(), int64(1))
	iis.Equal(unknown.calls.Load(), int64(0))
}

// TestResumedStreamFollowsChangedRegions guards against a stream that another replica goes on with outside the regions
// that the newest configuration allows, because the stream has begun with an older one.
func TestResumedStreamFollowsChangedRegions(t *testing.T) {
	iis := is.New(t)
	var rig *rig
	south, unknown := newReplica(t, serveOK), newReplica(t, serveOK)
	north := newReplica(t, func(con net.Conn, req request) bool {
		defer rig.rules.Store(restrictedRules([]string{"west"}, nil))
		return stream(con, req, 1, 2, false)
	})
	rig = newRegionRig(t, north, south, unknown)
	rig.rules.Store(restrictedRules([]string{"north"}, nil))
	_, body, err := rig.send(t, "/stream/x")
	iis.True(err != nil)
	iis.Equal(withoutComments(body), events(1, 2))
	iis.Equal(south.calls.Load()+unknown.calls.Load(), int64(0))
	iis.Equal(north.calls.Load(), int64(1))
}

// TestStandbyStaysInAllowedRegions guards against a standby attempt to a silent stream outside the allowed regions.
func TestStandbyStaysInAllowedRegions(t *testing.T) {
	iis := is.New(t)
	silent := newReplica(t, pausedStream(2*idleTimeout))
	elsewhere := newReplica(t, func(con net.Conn, req request) bool { return stream(con, req, 3, 5, true) })
	rig := newRegionRig(t, silent, elsewhere, elsewhere)
	rig.opts.Reserver = relay.NewReserver(timer.New(), logr.Discard(), relay.ReplicaAPI{
		Report: func(context.Context, string) (relay.Report, error) {
			return relay.Report{LatencyRatio: 1, Running: 1}, nil
		},
	})
	rig.start(t)
	spc := testRules()
	for idx := range spc.Routes {
		spc.Routes[idx].ClientIdleTimeout = idleTimeout
		spc.Routes[idx].Regions = []string{"north"}
	}
	rig.rules.Store(rules.New(spc))
	_, body, err := rig.send(t, "/stream/x")
	iis.NoErr(err)
	iis.Equal(withoutComments(body), events(1, 5))
	iis.Equal(elsewhere.calls.Load(), int64(0))
}

// TestLastResortStaysInAllowedRegions guards against a call that is placed outside the allowed regions because all
// replicas in them leave, and against naming the region as the reason while it has replicas.
func TestLastResortStaysInAllowedRegions(t *testing.T) {
	iis := is.New(t)
	north, south := newReplica(t, serveOK), newReplica(t, serveOK)
	rig := newRegionRig(t, north, south, south)
	rig.rules.Store(restrictedRules([]string{"north"}, nil))
	for _, vie := range rig.flt.ReplicaSet("s").Views() {
		if vie.DataCentre != "south-1" {
			vie.Replica.RecordPause(time.Minute)
		}
	}
	status, body, err := rig.send(t, "/safe/x")
	iis.NoErr(err)
	iis.Equal(status, http.StatusServiceUnavailable)
	iis.Equal(errorReason(t, body), "replicas-pause")
	iis.Equal(north.calls.Load()+south.calls.Load(), int64(0))
}

// TestHelpersStayInAllowedRegions guards against a part of a split prompt, or KV memory reserved for one, outside the
// allowed regions.
func TestHelpersStayInAllowedRegions(t *testing.T) {
	for name, allowed := range map[string][]string{"restricted": {"north"}, "not restricted": nil} {
		t.Run(name, func(t *testing.T) {
			iis := is.New(t)
			var mu sync.Mutex
			reserved := make(map[string]bool) // by address
			north, south := newReplica(t, serveStream), newReplica(t, serveStream)
			rig := newRegionRig(t, north, south, south)
			rig.opts.ReservationUseTimeout = time.Minute
			rig.opts.Reserver = relay.NewReserver(timer.New(), logr.Discard(), relay.ReplicaAPI{
				Reserve: func(_ context.Context, rsv relay.Reservation) error {
					mu.Lock()
					defer mu.Unlock()
					reserved[rsv.Address] = true
					return nil
				},
				Release: func(context.Context, relay.Reservation) error { return nil },
				Report:  reportSound,
			})
			rig.start(t)
			spc := testRules()
			spc.Services = []rules.Service{{Name: "s", Engine: smallEngine()}}
			spc.Accounts[0].Regions = allowed
			rig.rules.Store(rules.New(spc))
			res := rig.sendSplitPrompt(t)
			defer func() { _ = res.Body.Close() }()
			mu.Lock()
			defer mu.Unlock()
			if allowed == nil {
				iis.Equal(res.StatusCode, http.StatusOK)
				iis.True(len(reserved) > 0)
				return
			}
			iis.Equal(res.StatusCode, http.StatusServiceUnavailable) // One replica cannot hold the prompt.
			iis.Equal(len(reserved), 0)
			iis.Equal(south.calls.Load(), int64(0))
		})
	}
}

func serveStream(con net.Conn, req request) bool { return stream(con, req, 1, 2, true) }
