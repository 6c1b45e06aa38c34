package front_test

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tarragonwheel/tarragonwheel/front"
	"github.com/tarragonwheel/tarragonwheel/platform/plsim"
)

// knownToPeersAfter is the time after which fronts that have started together know one another from the store: after a
// full update of each other and the read of the addresses that follows it.
const knownToPeersAfter = 3500 * time.Millisecond

// evacRig is a store and a replica of the service "s" in each of the data centres "z" and "y".
type evacRig struct {
	*restoreRig
	inY atomic.Int64 // calls that the replica in y got
}

func newEvacRig(t *testing.T) *evacRig {
	t.Helper()
	rig := &evacRig{restoreRig: newRestoreRig(t)}
	rig.putConfig(3, "s")
	rig.putReplica(false, 1)
	rig.store.PutReplica("i-2", "s", host(startCountingReplica(t, &rig.inY)), "y", false, 1, 1)
	return rig
}

// waitForY waits until a front sends calls to the data centre y, or no more calls if it is evacuated.
func (rig *evacRig) waitForY(t *testing.T, frt *front.Front, evacuated bool) {
	t.Helper()
	waitFor(t, fmt.Sprint("front does not see that y is evacuated: ", evacuated), func() bool {
		before := rig.inY.Load()
		for range 20 {
			callFront(t, frt)
		}
		return (rig.inY.Load() == before) == evacuated
	})
}

// checkNoCalls checks that a front serves for the given time and sends no call to the data centre y.
func (rig *evacRig) checkNoCalls(t *testing.T, frt *front.Front, dur time.Duration) {
	t.Helper()
	iis := is.New(t)
	before := rig.inY.Load()
	for until := time.Now().Add(dur); time.Now().Before(until); time.Sleep(10 * time.Millisecond) {
		iis.Equal(callFront(t, frt), http.StatusOK)
	}
	iis.Equal(rig.inY.Load(), before)
}

// TestFrontStartsDuringAnEvacuation guards against calls to an evacuated data centre by a front that starts after the
// record was written, and against a missing reason or Retry-After if no replica is left.
func TestFrontStartsDuringAnEvacuation(t *testing.T) {
	iis := is.New(t)
	rig := newEvacRig(t)
	rig.store.PutEvacuation("y")
	frt, _ := startFront(t, rig.store, withLines(frontTimes))
	waitForStatus(t, frt, http.StatusOK)
	rig.checkNoCalls(t, frt, 500*time.Millisecond)
	iis.Equal(rig.inY.Load(), int64(0))
	rig.store.PutEvacuation("z")
	waitForStatus(t, frt, http.StatusServiceUnavailable)
	req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+frt.Address()+"/a/x", nil)
	iis.NoErr(err)
	res, err := http.DefaultClient.Do(req)
	iis.NoErr(err)
	defer func() { _ = res.Body.Close() }()
	body, err := io.ReadAll(res.Body)
	iis.NoErr(err)
	iis.Equal(res.StatusCode, http.StatusServiceUnavailable)
	iis.True(strings.Contains(string(body), `"evacuated"`))
	seconds, err := strconv.ParseFloat(res.Header.Get("Retry-After"), 64)
	iis.NoErr(err)
	iis.True(seconds >= 1)
}

// TestEvacuationsAndReturns guards against a front that mixes up two evacuations, or does not use a data centre again
// that has returned to service.
func TestEvacuationsAndReturns(t *testing.T) {
	iis := is.New(t)
	rig := newEvacRig(t)
	frt, _ := startFront(t, rig.store, withLines(frontTimes))
	waitForStatus(t, frt, http.StatusOK)
	rig.waitForY(t, frt, false)
	rig.store.PutEvacuation("y")
	rig.waitForY(t, frt, true)
	rig.store.PutEvacuation("z") // before the first one ends
	waitForStatus(t, frt, http.StatusServiceUnavailable)
	rig.store.RemoveEvacuation("z")
	waitForStatus(t, frt, http.StatusOK)
	rig.checkNoCalls(t, frt, 200*time.Millisecond)
	rig.store.PutEvacuation("z")
	waitForStatus(t, frt, http.StatusServiceUnavailable)
	inZ := rig.calls.Load()
	rig.store.RemoveEvacuation("y")
	waitForStatus(t, frt, http.StatusOK)
	iis.Equal(rig.calls.Load(), inZ)
}

// TestEvacuationOutlivesTheStore guards against calls to an evacuated data centre while the store is down, and by a
// front that has lost it and learns of the return to service by a peer only.
func TestEvacuationOutlivesTheStore(t *testing.T) {
	rig := newEvacRig(t)
	frt, _ := startFront(t, rig.store, withLines(frontTimes))
	waitForStatus(t, frt, http.StatusOK)
	rig.store.PutEvacuation("y")
	rig.waitForY(t, frt, true)
	rig.store.SetDown(true)
	rig.checkNoCalls(t, frt, 2*time.Second)
	rig.store.SetDown(false)
	rig.checkNoCalls(t, frt, time.Second)
	rig.store.RemoveEvacuation("y")
	rig.waitForY(t, frt, false)
}

// TestEvacuationOutlivesARestore guards against calls to an evacuated data centre after a restore of the store from a
// copy of before, until the operator has written the record again.
func TestEvacuationOutlivesARestore(t *testing.T) {
	rig := newEvacRig(t)
	frt, _ := startFront(t, rig.store, withLines(frontTimes))
	waitForStatus(t, frt, http.StatusOK)
	copied := time.Now()
	rig.store.PutEvacuation("y")
	rig.waitForY(t, frt, true)
	rig.store.Restore(copied)
	rig.checkNoCalls(t, frt, 1500*time.Millisecond)
	rig.store.Rewrite()
	rig.checkNoCalls(t, frt, 1500*time.Millisecond)
	rig.store.Restore(copied) // The operator does not write the record again.
	rig.checkNoCalls(t, frt, 1500*time.Millisecond)
	rig.waitForY(t, frt, false)
}

// TestPeersTellOfEvacuations guards against calls to an evacuated data centre, or none to one that has returned to
// service, by a front that the store does not answer.
func TestPeersTellOfEvacuations(t *testing.T) {
	rig := newEvacRig(t)
	lnk := &link{store: rig.store}
	one, _ := startFront(t, lnk, withLines(frontTimes+"peers = "+freeAddress(t)+"\n"))
	two, _ := startFront(t, rig.store, withLines(frontTimes+"peers = "+freeAddress(t)+"\n"))
	waitForStatus(t, one, http.StatusOK)
	waitForStatus(t, two, http.StatusOK)
	waitFor(t, "the fronts are not registered", func() bool { return len(rig.store.PeerAddresses()) == 2 })
	time.Sleep(knownToPeersAfter)
	lnk.isCut.Store(true)
	time.Sleep(time.Second) // until the long poll of the first front has ended
	rig.store.PutEvacuation("y")
	rig.waitForY(t, two, true)
	rig.waitForY(t, one, true)
	rig.checkNoCalls(t, one, 500*time.Millisecond)
	rig.store.RemoveEvacuation("y")
	rig.waitForY(t, two, false)
	rig.waitForY(t, one, false)
}

// TestSilentLongPollDoesNotDelayAnEvacuation guards against calls to an evacuated data centre by a front whose
// connection to the store is dead, while a peer knows better.
func TestSilentLongPollDoesNotDelayAnEvacuation(t *testing.T) {
	rig := newEvacRig(t)
	lines := "drain-time = 300ms\nconfig-time = 20s\npeers = "
	one, _ := startFront(t, &pollKeeper{store: rig.store}, withLines(lines+freeAddress(t)+"\n"))
	two, _ := startFront(t, rig.store, withLines(lines+freeAddress(t)+"\n"))
	waitForStatus(t, one, http.StatusOK)
	waitForStatus(t, two, http.StatusOK)
	waitFor(t, "the fronts are not registered", func() bool { return len(rig.store.PeerAddresses()) == 2 })
	time.Sleep(knownToPeersAfter)
	rig.store.PutEvacuation("y")
	rig.waitForY(t, one, true)
}

// TestCallInFlightOutlivesAnEvacuation guards against a call that is cut off because its data centre is evacuated.
func TestCallInFlightOutlivesAnEvacuation(t *testing.T) {
	iis := is.New(t)
	store := plsim.NewStore()
	arrived, release := make(chan bool, 1), make(chan bool)
	srv := httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, req *http.Request) {
		arrived <- true
		<-release
		rw.Header().Set("Tarragonwheel-Request-Id", req.Header.Get("Tarragonwheel-Request-Id"))
		rw.Header().Set("Tarragonwheel-Replica-Signature", "sig")
	}))
	t.Cleanup(srv.Close)
	rig := &restoreRig{store: store, replica: srv}
	rig.putConfig(3, "s")
	rig.putReplica(false, 1)
	frt, _ := startFront(t, store, withLines(frontTimes))
	waitFor(t, "the front is not ready", frt.Ready)
	status := make(chan int, 1)
	go func() { status <- callFront(t, frt) }()
	<-arrived
	store.PutEvacuation("z")
	waitForStatus(t, frt, http.StatusServiceUnavailable)
	close(release)
	iis.Equal(<-status, http.StatusOK)
}
