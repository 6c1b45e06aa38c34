package front_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tarragonwheel/tarragonwheel/front"
	"github.com/tarragonwheel/tarragonwheel/platform/plsim"
)

// link is the path of one front to a store, which can be cut.
type link struct {
	store http.Handler
	isCut atomic.Bool
}

func (lnk *link) ServeHTTP(rw http.ResponseWriter, req *http.Request) {
	if lnk.isCut.Load() {
		panic(http.ErrAbortHandler)
	}
	lnk.store.ServeHTTP(rw, req)
}

// restoreRig is a store that can be restored, and a replica of the service "s".
type restoreRig struct {
	store   *plsim.Store
	replica *httptest.Server
	calls   atomic.Int64 // that the replica got
}

func newRestoreRig(t *testing.T) *restoreRig {
	t.Helper()
	rig := &restoreRig{store: plsim.NewStore()}
	rig.replica = startCountingReplica(t, &rig.calls)
	return rig
}

// startCountingReplica starts a replica that counts the calls that it gets.
func startCountingReplica(t *testing.T, calls *atomic.Int64) *httptest.Server {
	t.Helper()
	srv := httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, req *http.Request) {
		calls.Add(1)
		rw.Header().Set("Tarragonwheel-Request-Id", req.Header.Get("Tarragonwheel-Request-Id"))
		rw.Header().Set("Tarragonwheel-Replica-Signature", "sig")
		_, _ = io.WriteString(rw, "answer")
	}))
	t.Cleanup(srv.Close)
	return srv
}

// putConfig writes a configuration whose only route leads to a service.
func (rig *restoreRig) putConfig(version int, srv string) {
	rig.store.PutConfig(version, []plsim.Route{{
		Name: "r", Host: "127.0.0.1", PathPrefix: "/a/", Kind: "safe", Service: srv, MaxAttempts: 2, TimeoutMs: 1000,
	}})
}

// putReplica writes the registration of the replica.
func (rig *restoreRig) putReplica(draining bool, sequence int) {
	rig.store.PutReplica("i-1", "s", host(rig.replica), "z", draining, sequence, 1)
}

// waitForStatus waits until calls through the front get a status, and fails the test after a few seconds.
func waitForStatus(t *testing.T, frt *front.Front, status int) {
	t.Helper()
	waitFor(t, fmt.Sprint("calls do not get ", status), func() bool { return callFront(t, frt) == status })
}

// waitFor waits until fn returns true, and fails the test with the given text after a few seconds.
func waitFor(t *testing.T, text string, fn func() bool) {
	t.Helper()
	const limit = 5 * time.Second
	for start := time.Now(); !fn(); time.Sleep(5 * time.Millisecond) {
		if time.Since(start) > limit {
			t.Fatal(text)
		}
	}
}

// TestConfigurationIsReadAfterARestore guards against a front that was frozen or cut off while the store was restored
// from an older copy, and then reads on at an offset that the store has meanwhile given to another record: the newest
// configuration, written before that offset, is skipped without an error.
func TestConfigurationIsReadAfterARestore(t *testing.T) {
	rig := newRestoreRig(t)
	rig.putConfig(3, "s")
	rig.putReplica(false, 1)
	lnk := &link{store: rig.store}
	frt, _ := startFront(t, lnk, withLines(frontTimes))
	waitForStatus(t, frt, http.StatusOK)
	copied := time.Now()
	rig.putConfig(4, "s")
	rig.putConfig(5, "s")
	time.Sleep(400 * time.Millisecond) // until the front has read up to offset 3
	lnk.isCut.Store(true)
	time.Sleep(400 * time.Millisecond) // until its long poll has ended
	rig.putConfig(6, "other")          // which has no replica
	rig.store.Restore(copied)
	rig.store.Rewrite()
	rig.store.PutNote("written after the restore") // The topic ends at offset 3 again.
	lnk.isCut.Store(false)
	waitForStatus(t, frt, http.StatusServiceUnavailable)
	is.New(t).Equal(callFront(t, frt), http.StatusServiceUnavailable)
}

// TestRestoreDuringALongPoll guards against a configuration that is missed for as long as a long poll goes on that was
// sent before the store was restored, because its connection shows nothing of the restore.
func TestRestoreDuringALongPoll(t *testing.T) {
	rig := newRestoreRig(t)
	rig.putConfig(3, "s")
	rig.putReplica(false, 1)
	polls := &pollKeeper{store: rig.store}
	frt, _ := startFront(t, polls, withLines("drain-time = 300ms\nconfig-time = 20s\n"))
	waitForStatus(t, frt, http.StatusOK)
	copied := time.Now()
	rig.putConfig(5, "other")
	rig.store.Restore(copied)
	rig.store.Rewrite()
	waitForStatus(t, frt, http.StatusServiceUnavailable)
}

// pollKeeper never answers reads of the operator's records, and passes on all other calls.
type pollKeeper struct{ store http.Handler }

func (kee *pollKeeper) ServeHTTP(rw http.ResponseWriter, req *http.Request) {
	if req.URL.Path == "/v1/log-read" && req.URL.Query().Get("Topic") == "keyed.op" {
		<-req.Context().Done()
		return
	}
	kee.store.ServeHTTP(rw, req)
}

// TestReplicasOutliveARestore guards against replicas that are dropped although they are alive, because the store was
// restored from a copy of before their registration, at a moment at which no call to it failed.
func TestReplicasOutliveARestore(t *testing.T) {
	iis := is.New(t)
	rig := newRestoreRig(t)
	rig.putConfig(3, "s")
	copied := time.Now()
	rig.putReplica(false, 1)
	frt, _ := startFront(t, rig.store, withLines(frontTimes))
	waitForStatus(t, frt, http.StatusOK)
	rig.store.Restore(copied)
	for until := time.Now().Add(time.Second); time.Now().Before(until); time.Sleep(10 * time.Millisecond) {
		iis.Equal(callFront(t, frt), http.StatusOK)
	}
	rig.store.Rewrite() // The replica writes again at its next heartbeat.
	for until := time.Now().Add(2 * time.Second); time.Now().Before(until); time.Sleep(10 * time.Millisecond) {
		iis.Equal(callFront(t, frt), http.StatusOK)
	}
}

// TestReplicaThatHasLeftStaysOut guards against a replica that had left, or begun to drain, and is in use again because
// the store was restored from a copy of before.
func TestReplicaThatHasLeftStaysOut(t *testing.T) {
	for name, leave := range map[string]func(rig *restoreRig){
		"removed":  func(rig *restoreRig) { rig.store.RemoveReplica("i-1") },
		"draining": func(rig *restoreRig) { rig.putReplica(true, 2) },
	} {
		t.Run(name, func(t *testing.T) {
			iis := is.New(t)
			rig := newRestoreRig(t)
			rig.putConfig(3, "s")
			rig.putReplica(false, 1)
			frt, _ := startFront(t, rig.store, withLines(frontTimes))
			waitForStatus(t, frt, http.StatusOK)
			copied := time.Now()
			leave(rig)
			waitForStatus(t, frt, http.StatusServiceUnavailable)
			rig.store.Restore(copied)
			calls := rig.calls.Load()
			for until := time.Now().Add(time.Second); time.Now().Before(until); time.Sleep(10 * time.Millisecond) {
				iis.Equal(callFront(t, frt), http.StatusServiceUnavailable)
			}
			iis.Equal(rig.calls.Load(), calls)
		})
	}
}

// freeAddress returns a UDP address that is not in use.
func freeAddress(t *testing.T) string {
	t.Helper()
	con, err := net.ListenPacket("udp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = con.Close() }()
	return con.LocalAddr().String()
}

// TestPeerAddressIsRegisteredAgain guards against a front that later fronts cannot find, because its only registration
// was written after the copy from which the store was restored.
func TestPeerAddressIsRegisteredAgain(t *testing.T) {
	rig := newRestoreRig(t)
	copied := time.Now()
	addr := freeAddress(t)
	_, _ = startFront(t, rig.store, withLines(frontTimes+"peers = "+addr+"\n"))
	isRegistered := func() bool { return slices.Contains(rig.store.PeerAddresses(), addr) }
	waitFor(t, "the address is not registered", isRegistered)
	for range 3 { // restores in a row
		rig.store.Restore(copied)
		waitFor(t, "the address is not registered", isRegistered)
	}
}

// TestRegistrationIsNotRepeated guards against fronts that write to the store again and again although it has their
// registrations.
func TestRegistrationIsNotRepeated(t *testing.T) {
	iis := is.New(t)
	rig := newRestoreRig(t)
	addr := freeAddress(t)
	_, _ = startFront(t, rig.store, withLines(frontTimes+"peers = "+addr+"\n"))
	waitFor(t, "the address is not registered", func() bool { return len(rig.store.PeerAddresses()) == 1 })
	rig.store.Restore(time.Now())
	waitFor(t, "the address is not registered", func() bool { return len(rig.store.PeerAddresses()) == 2 })
	time.Sleep(2 * time.Second)
	iis.Equal(rig.store.PeerAddresses(), []string{addr, addr})
}
