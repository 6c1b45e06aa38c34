package relay_test

import (
	"net"
	"net/http"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tarragonwheel/tarragonwheel/cost"
	"github.com/tarragonwheel/tarragonwheel/fleet"
	"github.com/tarragonwheel/tarragonwheel/place"
	"github.com/tarragonwheel/tarragonwheel/relay"
	"github.com/tarragonwheel/tarragonwheel/rules"
)

// TestNoStandbyAttemptWithoutRoom guards against a standby attempt that takes more from other calls than it earns, or
// that should wait for a better placement, while the run in progress may still go on.
func TestNoStandbyAttemptWithoutRoom(t *testing.T) {
	for name, tst := range map[string]struct {
		hdl   handler
		after place.Placement // what the placement of a standby attempt costs
	}{
		"to be deferred": {pausedStream(2 * idleTimeout), place.Placement{
			Value: 1, NetValue: 1, Slack: time.Minute, Penalty: 1000,
		}},
		"overload before the first event": {func(con net.Conn, req request) bool {
			time.Sleep(2 * idleTimeout)
			return stream(con, req, 1, 5, true)
		}, place.Placement{Value: 1, NetValue: -1}},
	} {
		t.Run(name, func(t *testing.T) {
			iis := is.New(t)
			one, two := newReplica(t, tst.hdl), newReplica(t, tst.hdl)
			rig := newStreamRig(t, true, relay.Report{LatencyRatio: 1, Running: 1}, nil, one, two)
			rig.changeService(rules.Service{Name: "s", Engine: smallEngine()})
			var placed atomic.Int64
			rig.opts.Policy = func(
				req place.Request, _ *cost.Engine, views []fleet.View, _ fleet.PrefillLoads,
			) (place.Placement, bool) {
				plc := place.Placement{Value: 1, NetValue: 1}
				if placed.Add(1) > 1 {
					plc = tst.after
				}
				idx := slices.IndexFunc(views, func(vie fleet.View) bool {
					return !slices.Contains(req.ExcludeReplicas, vie.ID)
				})
				plc.Primary = views[idx]
				return plc, true
			}
			rig.start(t)
			status, body, err := rig.send(t, "/stream/x")
			iis.NoErr(err)
			iis.Equal(status, http.StatusOK)
			iis.Equal(withoutComments(body), events(1, 5))
			iis.True(placed.Load() > 1) // A standby attempt was considered.
			iis.Equal(one.calls.Load()+two.calls.Load(), int64(1))
		})
	}
}

// changeService makes a configuration active in which the streams of the rig are as before and its service is another.
func (rig *rig) changeService(srv rules.Service) {
	spc := testRules()
	spc.Services = []rules.Service{srv}
	for idx := range spc.Routes {
		if rte := &spc.Routes[idx]; rte.Kind == rules.Stream {
			rte.ClientIdleTimeout, rte.Resumable = idleTimeout, true
		}
	}
	rig.rules.Store(rules.New(spc))
}
