package relay_test

import (
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tarragonwheel/tarragonwheel/cost"
	"github.com/tarragonwheel/tarragonwheel/fleet"
	"github.com/tarragonwheel/tarragonwheel/place"
	"github.com/tarragonwheel/tarragonwheel/rules"
)

// newShareRig starts a relay whose placements come from the given function. Calls must be answered within their limit
// of 5 s.
func newShareRig(t *testing.T, policy func(req place.Request, views []fleet.View) (place.Placement, bool)) *rig {
	t.Helper()
	rep := newReplica(t, func(con net.Conn, req request) bool { return reply(con, req, http.StatusOK, "served") })
	rig := newRig(t, rep)
	rig.changeService(rules.Service{Name: "s", Engine: smallEngine()})
	rig.opts.Policy = func(
		req place.Request, _ *cost.Engine, views []fleet.View, _ fleet.PrefillLoads,
	) (place.Placement, bool) {
		return policy(req, views)
	}
	rig.start(t)
	return rig
}

// TestDeferredCallIsSentInTime guards against a call that is deferred until its deadline because no better placement
// comes: it must be sent after a third of its time.
func TestDeferredCallIsSentInTime(t *testing.T) {
	iis := is.New(t)
	rig := newShareRig(t, func(_ place.Request, views []fleet.View) (place.Placement, bool) {
		return place.Placement{
			Primary: views[0], Value: 1, NetValue: 1, Slack: time.Minute, Penalty: 1000,
		}, true
	})
	began := time.Now()
	status, _, err := rig.sendWith(t, "/safe/x", "Tarragonwheel-Request-Deadline-Ms", "1500")
	iis.NoErr(err)
	iis.Equal(status, http.StatusOK)
	iis.True(time.Since(began) >= 450*time.Millisecond)
	iis.True(time.Since(began) < 1400*time.Millisecond)
}

// TestRefusedClientCanReturn guards against a Retry-After time after which the client has no time left, for calls that
// are refused as overload and calls that no replica can begin in time.
func TestRefusedClientCanReturn(t *testing.T) {
	for name, placed := range map[string]bool{"overload": true, "no-replica": false} {
		t.Run(name, func(t *testing.T) {
			iis := is.New(t)
			rig := newShareRig(t, func(_ place.Request, views []fleet.View) (place.Placement, bool) {
				return place.Placement{Primary: views[0], NetValue: -1, BusyFor: time.Minute}, placed
			})
			status, hdr := rig.sendForHeader(t, "/safe/x") // Its client waits for 30 s.
			iis.Equal(status, http.StatusServiceUnavailable)
			sec, err := strconv.ParseFloat(hdr.Get("Retry-After"), 64)
			iis.NoErr(err)
			iis.True(sec > 4 && sec <= 10)
			counts, err := rig.opts.Metrics.CounterValues("call_refusals_total")
			iis.NoErr(err)
			iis.Equal(counts[name], 1)
			iis.Equal(counts["within"], 1)
			iis.Equal(counts["2k"], 1)
			iis.Equal(counts["z"], 1)
		})
	}
}

// TestAdmittedWorkRaisesThePrice guards against a relay that does not count the work that it admits, or that charges it
// to another account.
func TestAdmittedWorkRaisesThePrice(t *testing.T) {
	iis := is.New(t)
	var factor atomic.Value
	rig := newShareRig(t, func(req place.Request, views []fleet.View) (place.Placement, bool) {
		factor.Store(req.PriceFactor)
		return place.Placement{Primary: views[0], Value: 1, NetValue: 1, PrefillTime: time.Second}, true
	})
	rig.opts.ShareAccounts = true
	rig.start(t)
	spc := testRules()
	spc.Services = []rules.Service{{Name: "s", Engine: smallEngine()}}
	spc.Accounts = append(spc.Accounts, rules.Account{Name: "other", Keys: []string{"other-key"}})
	rig.rules.Store(rules.New(spc))
	send := func(key string) float64 {
		req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, rig.url+"/safe/x", strings.NewReader("a"))
		iis.NoErr(err)
		req.Header.Set("Api-Key", key)
		res, err := http.DefaultClient.Do(req)
		iis.NoErr(err)
		iis.NoErr(res.Body.Close())
		iis.Equal(res.StatusCode, http.StatusOK)
		return factor.Load().(float64)
	}
	iis.Equal(send("k"), 1.0)
	iis.Equal(send("k"), 1.0) // No other account has work.
	iis.Equal(send("other-key"), 0.5)
	iis.True(send("k") > 1)
}

// TestRetryPaysNoHigherPrice guards against a call that is admitted and then refused after a failed attempt, because
// its account has more than its share.
func TestRetryPaysNoHigherPrice(t *testing.T) {
	iis := is.New(t)
	rep := newReplica(t, refuse)
	rig := newRig(t, rep, newReplica(t, func(con net.Conn, req request) bool {
		return reply(con, req, http.StatusOK, "served")
	}))
	spc := testRules()
	spc.Services = []rules.Service{{Name: "s", Engine: smallEngine()}}
	spc.Accounts = append(spc.Accounts, rules.Account{Name: "other", Keys: []string{"other-key"}})
	rig.rules.Store(rules.New(spc))
	rig.opts.ShareAccounts = true
	var factors []float64
	rig.opts.Policy = func(
		req place.Request, _ *cost.Engine, views []fleet.View, _ fleet.PrefillLoads,
	) (place.Placement, bool) {
		factors = append(factors, req.PriceFactor)
		idx := min(len(req.ExcludeReplicas), len(views)-1)
		slices.SortFunc(views, func(one, two fleet.View) int { return strings.Compare(one.ID, two.ID) })
		return place.Placement{Primary: views[idx], Value: 1, NetValue: 1, PrefillTime: time.Second}, true
	}
	rig.start(t)
	for range 3 {
		status, _, err := rig.send(t, "/safe/x")
		iis.NoErr(err)
		iis.Equal(status, http.StatusOK)
	}
	status, _, err := rig.sendWith(t, "/safe/x", "Api-Key", "other-key")
	iis.NoErr(err)
	iis.Equal(status, http.StatusOK)
	factors = nil
	status, _, err = rig.send(t, "/safe/x")
	iis.NoErr(err)
	iis.Equal(status, http.StatusOK)
	iis.Equal(len(factors), 2)
	iis.True(factors[0] > 1)
	iis.Equal(factors[1], 1.0)
}
