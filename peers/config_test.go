package peers_test

import (
	"bytes"
	"context"
	"math/rand/v2"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"

	"github.com/tarragonwheel/tarragonwheel/fleet"
	"github.com/tarragonwheel/tarragonwheel/group"
	"github.com/tarragonwheel/tarragonwheel/peers"
	"github.com/tarragonwheel/tarragonwheel/timer"
)

// configProcess is a process with an active configuration.
type configProcess struct {
	exc      *peers.Exchange
	version  atomic.Int64
	record   []byte
	received chan []byte
	versions chan int64 // that were received
}

func startWithConfig(t *testing.T, addr string, version int64, record []byte) *configProcess {
	t.Helper()
	grp := group.New(context.Background(), "test")
	t.Cleanup(func() { _ = grp.Stop() })
	prc := &configProcess{record: record, received: make(chan []byte, 100), versions: make(chan int64, 100)}
	prc.version.Store(version)
	exc, err := peers.Start(grp, peers.Options{
		Name: addr, Address: addr, Clock: timer.New(), Log: logr.Discard(),
		Fleet:         fleet.New(timer.New(), logr.Discard(), nil),
		ConfigVersion: prc.version.Load,
		ConfigRecord:  func() (int64, []byte) { return prc.version.Load(), prc.record },
		OnConfigRecord: func(version int64, record []byte) {
			prc.versions <- version
			prc.received <- record
		},
	})
	if err != nil {
		t.Fatal(err)
	}
	prc.exc = exc
	return prc
}

// noise returns bytes that cannot be compressed.
func noise(size int) []byte {
	rnd := rand.New(rand.NewPCG(1, 2))
	raw := make([]byte, size)
	for idx := range raw {
		raw[idx] = byte(rnd.Uint32())
	}
	return raw
}

// waitForConfig requests the configuration until it arrives, and reports false if it does not within the time.
func (prc *configProcess) waitForConfig(above int64, within time.Duration) ([]byte, bool) {
	for start := time.Now(); time.Since(start) < within; {
		prc.exc.RequestConfig(above)
		select {
		case record := <-prc.received:
			return record, true
		case <-time.After(50 * time.Millisecond):
		}
	}
	return nil, false
}

// TestConfigurationReachesPeers guards against a process that stays with an older configuration for as long as the
// store refuses it or does not hold the newer one any more, although other processes have it.
func TestConfigurationReachesPeers(t *testing.T) {
	for name, record := range map[string][]byte{
		"small":      []byte(`{"Version":7}`),
		"repetitive": bytes.Repeat([]byte("route "), 100_000),
		"many parts": noise(50_000),
	} {
		t.Run(name, func(t *testing.T) {
			iis := is.New(t)
			addr := freeAddress(t)
			one := startWithConfig(t, addr, 7, record)
			two := startWithConfig(t, freeAddress(t), 5, nil)
			iis.NoErr(two.exc.AddPeer(addr))
			got, ok := two.waitForConfig(5, 5*time.Second)
			iis.True(ok)
			iis.True(bytes.Equal(got, record))
			iis.Equal(<-two.versions, int64(7))
			one.version.Store(4) // What a peer has is not requested if it is older, and not sent either.
			_, ok = two.waitForConfig(7, 300*time.Millisecond)
			iis.True(!ok)
		})
	}
}

// TestTooLargeConfigurationIsNotSent guards against a burst of datagrams without bound.
func TestTooLargeConfigurationIsNotSent(t *testing.T) {
	addr := freeAddress(t)
	_ = startWithConfig(t, addr, 7, noise(200<<10))
	two := startWithConfig(t, freeAddress(t), 5, nil)
	is.New(t).NoErr(two.exc.AddPeer(addr))
	_, ok := two.waitForConfig(5, time.Second)
	is.New(t).True(!ok)
}

// TestConfigurationComesFromRegisteredPeersOnly guards against a process that takes a configuration from anybody who
// sends it a datagram with a high version.
func TestConfigurationComesFromRegisteredPeersOnly(t *testing.T) {
	iis := is.New(t)
	addr := freeAddress(t)
	two := startWithConfig(t, addr, 5, nil)
	one := startWithConfig(t, freeAddress(t), 7, []byte(`{"Version":7}`))
	iis.NoErr(one.exc.AddPeer(addr)) // The other process has heard of this one, but it was not told its address.
	_, ok := two.waitForConfig(5, time.Second)
	iis.True(!ok)
	iis.Equal(two.exc.LiveProcesses(), 2)
}
