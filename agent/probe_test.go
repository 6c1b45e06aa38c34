package agent

import (
	"maps"
	"slices"
	"testing"

	"github.com/matryer/is"

	"github.com/tarragonwheel/tarragonwheel/crash"
)

// Guards against a crash that is missed because the engine had nothing left to run but a cancelled request, and against
// one that is assumed because the engine has given up the cancelled request.
func TestProbeOfCancelledRequest(t *testing.T) {
	for _, tst := range []struct {
		name    string
		refuses bool // the engine refuses connections
		status  crash.Status
	}{
		{"connections refused", true, crash.StatusSuspected},
		{"cancel could not be sent once", false, crash.StatusFree},
	} {
		t.Run(tst.name, func(t *testing.T) {
			is := is.New(t)
			rig := newSlowRig(t)
			crs := &rig.agent.crashes
			crs.unlistedGrace = hangTimeout
			cancel := make(chan struct{})
			wait := startRequests(rig, request{fpr: 7, cancel: cancel})
			close(cancel)
			is.Equal(wait(), []string{ReasonCancelled})
			rig.eventually("the engine has given up the request", rig.idle)
			if tst.refuses {
				rig.stopListening()
				rig.breakConnections()
			}
			crs.mu.Lock()
			ids := slices.Collect(maps.Keys(crs.running))
			crs.mu.Unlock()
			crs.probeCancelled(ids)
			rig.eventually("the probe has ended", func() bool {
				crs.mu.Lock()
				defer crs.mu.Unlock()
				return crs.probe == nil
			})
			is.Equal(rig.status(7), tst.status)
		})
	}
}
