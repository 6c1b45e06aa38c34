package front_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tarragonwheel/tarragonwheel/platform/plsim"
)

// TestFrontStartsReplicasSlowly guards against a configuration and registrations whose cold times have no effect, and
// against a front that starts and takes all replicas for cold.
func TestFrontStartsReplicasSlowly(t *testing.T) {
	iis := is.New(t)
	rig := newRestoreRig(t)
	rig.store.PutConfig(3, []plsim.Route{{
		Name: "r", Host: "127.0.0.1", PathPrefix: "/a/", Kind: "safe", Service: "s", MaxAttempts: 2, TimeoutMs: 1000,
		ColdSeconds: 5, ColdPerSecond: 4, // One call a second: a front without an exchange assumes three others.
	}})
	started := time.Now().UnixMilli()
	rig.store.PutColdReplica("i-1", "s", host(rig.replica), "z", started, 0)
	frt, _ := startFront(t, rig.store, withLines(frontTimes))
	waitForStatus(t, frt, http.StatusOK)
	for range 10 {
		iis.Equal(callFront(t, frt), http.StatusOK)
	}
	rig.store.PutColdReplica("i-1", "s", host(rig.replica), "z", started+1000, 5*time.Second)
	waitForStatus(t, frt, http.StatusServiceUnavailable)
	before := rig.calls.Load()
	for began := time.Now(); time.Since(began) < 2*time.Second; time.Sleep(10 * time.Millisecond) {
		callFront(t, frt)
	}
	num := rig.calls.Load() - before
	iis.True(num >= 1 && num <= 3)
}
