package front_test

import (
	"context"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestServesFromTheStoreAlone guards against a front that needs anything besides the records in the store to serve.
func TestServesFromTheStoreAlone(t *testing.T) {
	iis := is.New(t)
	rig := newRig(t)
	iis.Equal(rig.call(t), http.StatusServiceUnavailable) // No configuration is known yet.
	iis.True(!rig.frt.Ready())
	rig.store.put("keyed.op", "config", operatorConfig(3, "s"))
	rig.store.put("keyed.servers", "i-1", registration("s", host(rig.replica), "ready", 1))
	waitUntil(t, func() bool { return rig.frt.Ready() && rig.call(t) == http.StatusOK })
}

// TestOutageOfTheStore guards against a front that stops serving while the store is unavailable, or that misses changes
// made during the outage.
func TestOutageOfTheStore(t *testing.T) {
	iis := is.New(t)
	rig := newRig(t)
	rig.store.put("keyed.op", "config", operatorConfig(3, "s"))
	rig.store.put("keyed.servers", "i-1", registration("s", host(rig.replica), "ready", 1))
	waitUntil(t, func() bool { return rig.call(t) == http.StatusOK })
	rig.store.setDown(true)
	time.Sleep(500 * time.Millisecond) // longer than the interval between two reads of each topic
	iis.Equal(rig.call(t), http.StatusOK)
	iis.True(rig.frt.Ready())
	rig.store.put("keyed.servers", "i-1", registration("s", host(rig.replica), "draining", 2))
	rig.store.setDown(false)
	waitUntil(t, func() bool { return rig.call(t) == http.StatusServiceUnavailable })
}

// TestOlderConfigurationIsIgnored guards against a front that goes back to an older version, or applies a damaged
// record.
func TestOlderConfigurationIsIgnored(t *testing.T) {
	iis := is.New(t)
	rig := newRig(t)
	rig.store.put("keyed.servers", "i-1", registration("s", host(rig.replica), "ready", 1))
	rig.store.put("keyed.op", "config", operatorConfig(5, "s"))
	waitUntil(t, func() bool { return rig.call(t) == http.StatusOK })
	rig.store.put("keyed.op", "config", operatorConfig(4, "other"))
	rig.store.put("keyed.op", "config", "{damaged")
	time.Sleep(400 * time.Millisecond) // long enough for both records to be read
	iis.Equal(rig.call(t), http.StatusOK)
	rig.store.put("keyed.op", "config", operatorConfig(9, "other"))
	waitUntil(t, func() bool { return rig.call(t) == http.StatusServiceUnavailable })
}

// TestDrainLeavesRotationFirst guards against a planned stop that refuses calls before the load balancer has taken the
// front out of rotation.
func TestDrainLeavesRotationFirst(t *testing.T) {
	iis := is.New(t)
	rig := newRig(t)
	rig.store.put("keyed.op", "config", operatorConfig(3, "s"))
	rig.store.put("keyed.servers", "i-1", registration("s", host(rig.replica), "ready", 1))
	waitUntil(t, func() bool { return rig.frt.Ready() && rig.call(t) == http.StatusOK })
	done := make(chan struct{})
	go func() {
		defer close(done)
		rig.frt.Drain(context.Background())
	}()
	waitUntil(t, func() bool { return !rig.frt.Ready() })
	iis.Equal(rig.call(t), http.StatusOK)
	<-done
}

// TestSettingsAreReloaded guards against a changed settings file that is noticed only on a signal, and against invalid
// settings that are applied.
func TestSettingsAreReloaded(t *testing.T) {
	iis := is.New(t)
	rig := newRig(t)
	file := filepath.Join(t.TempDir(), "front.ini")
	write := func(text string) { iis.NoErr(os.WriteFile(file, []byte(text), 0o600)) }
	write(rig.settings)
	hup := make(chan os.Signal, 1)
	rig.frt.WatchSettings(file, hup)
	iis.Equal(rig.frt.Grace(), time.Second)
	write("[process]\nno-such-key = 1\n")
	hup <- syscall.SIGHUP
	write(strings.Replace(rig.settings, "grace = 1s", "grace = 3s", 1))
	waitUntil(t, func() bool { return rig.frt.Grace() == 3*time.Second }) // without a signal
	write(strings.Replace(rig.settings, "grace = 1s", "grace = 4s", 1))
	hup <- syscall.SIGHUP
	waitUntil(t, func() bool { return rig.frt.Grace() == 4*time.Second })
}

// TestRemovedReplicaGetsNoMoreCalls guards against a replica that is used after the removal of its registration has
// been read.
func TestRemovedReplicaGetsNoMoreCalls(t *testing.T) {
	iis := is.New(t)
	rig := newRig(t)
	rig.store.put("keyed.op", "config", operatorConfig(3, "s"))
	rig.store.put("keyed.servers", "i-1", registration("s", host(rig.replica), "ready", 1))
	waitUntil(t, func() bool { return rig.frt.Ready() && rig.call(t) == http.StatusOK })
	rig.store.put("keyed.servers", "i-1", "")
	waitUntil(t, func() bool { return rig.call(t) == http.StatusServiceUnavailable })
	rig.store.put("keyed.servers", "i-1", registration("s", host(rig.replica), "ready", 2))
	waitUntil(t, func() bool { return rig.call(t) == http.StatusOK })
	iis.True(rig.frt.Ready())
}
