package front_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"

	"github.com/tarragonwheel/tarragonwheel/fleet"
	"github.com/tarragonwheel/tarragonwheel/group"
	"github.com/tarragonwheel/tarragonwheel/peers"
	"github.com/tarragonwheel/tarragonwheel/platform"
	"github.com/tarragonwheel/tarragonwheel/timer"
)

// TestConfigurationComesFromPeers guards against a front that goes on with withdrawn routes and keys for as long as the
// store refuses it, although other fronts have the newer configuration.
func TestConfigurationComesFromPeers(t *testing.T) {
	iis := is.New(t)
	rig := newRestoreRig(t)
	rig.putConfig(3, "s")
	rig.putReplica(false, 1)
	lnk := &link{store: rig.store}
	one, _ := startFront(t, lnk, withLines(frontTimes+"peers = "+freeAddress(t)+"\n"))
	two, _ := startFront(t, rig.store, withLines(frontTimes+"peers = "+freeAddress(t)+"\n"))
	waitForStatus(t, one, http.StatusOK)
	waitForStatus(t, two, http.StatusOK)
	waitFor(t, "the fronts are not registered", func() bool { return len(rig.store.PeerAddresses()) == 2 })
	time.Sleep(1500 * time.Millisecond) // until they know one another from the store
	lnk.isCut.Store(true)
	time.Sleep(time.Second) // until the long poll of the first front has ended
	rig.putConfig(5, "other")
	waitForStatus(t, two, http.StatusServiceUnavailable)
	waitForStatus(t, one, http.StatusServiceUnavailable)
	rig.putConfig(4, "s") // The version in force counts.
	lnk.isCut.Store(false)
	time.Sleep(time.Second)
	iis.Equal(callFront(t, one), http.StatusServiceUnavailable)
}

// TestFrontStartedAfterARestoreLearnsTheVersionInForce guards against a front that starts before the operator has
// written the newest configuration again, and brings withdrawn keys and old routes back into use.
func TestFrontStartedAfterARestoreLearnsTheVersionInForce(t *testing.T) {
	rig := newRestoreRig(t)
	rig.putConfig(3, "s")
	rig.putReplica(false, 1)
	one, _ := startFront(t, rig.store, withLines(frontTimes+"peers = "+freeAddress(t)+"\n"))
	waitForStatus(t, one, http.StatusOK)
	waitFor(t, "the front is not registered", func() bool { return len(rig.store.PeerAddresses()) == 1 })
	copied := time.Now()
	rig.store.PutConfig(5, nil) // without the route
	waitForStatus(t, one, http.StatusNotFound)
	rig.store.Restore(copied)
	two, _ := startFront(t, rig.store, withLines(frontTimes+"peers = "+freeAddress(t)+"\n"))
	waitForStatus(t, two, http.StatusNotFound)
}

// TestUnusableConfigurationOfAPeerIsIgnored guards against a front that applies a damaged configuration, or one with
// another version than stated, because a peer has sent it.
func TestUnusableConfigurationOfAPeerIsIgnored(t *testing.T) {
	for name, record := range map[string]string{
		"damaged":       `{"Version":9,"Routes":[{`,
		"no version":    `{"Routes":[]}`,
		"other version": `{"Version":8,"Routes":[]}`,
		"invalid route": `{"Version":9,"Routes":[{"Name":"r"}]}`,
	} {
		t.Run(name, func(t *testing.T) {
			iis := is.New(t)
			rig := newRestoreRig(t)
			rig.putConfig(3, "s")
			rig.putReplica(false, 1)
			sent, addr := make(chan bool, 100), freeAddress(t)
			grp := group.New(context.Background(), "peer")
			t.Cleanup(func() { _ = grp.Stop() })
			_, err := peers.Start(grp, peers.Options{
				Name: "peer", Address: addr, Clock: timer.New(), Log: logr.Discard(),
				Fleet:         fleet.New(timer.New(), logr.Discard(), nil),
				ConfigVersion: func() int64 { return 9 },
				ConfigRecord: func() (int64, []byte) {
					sent <- true
					return 9, []byte(record)
				},
			})
			iis.NoErr(err)
			srv := httptest.NewServer(rig.store)
			t.Cleanup(srv.Close)
			_, err = platform.NewStore(host(srv), &http.Transport{}).RegisterPeer(t.Context(), addr)
			iis.NoErr(err)
			frt, _ := startFront(t, rig.store, withLines(frontTimes+"peers = "+freeAddress(t)+"\n"))
			<-sent
			<-sent // The front has not used the first one.
			waitForStatus(t, frt, http.StatusOK)
		})
	}
}
