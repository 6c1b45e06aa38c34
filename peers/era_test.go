package peers_test

import (
	"context"
	"testing"

	"github.com/go-logr/logr"
	"github.com/matryer/is"

	"github.com/tarragonwheel/tarragonwheel/fleet"
	"github.com/tarragonwheel/tarragonwheel/follow"
	"github.com/tarragonwheel/tarragonwheel/group"
	"github.com/tarragonwheel/tarragonwheel/peers"
	"github.com/tarragonwheel/tarragonwheel/timer"
)

// eraProcess is a process that states an era of the store, and what it has received.
type eraProcess struct {
	exc     *peers.Exchange
	eras    chan int64
	digests chan follow.Digest
}

func startInEra(t *testing.T, addr string, era int64) *eraProcess {
	t.Helper()
	grp := group.New(context.Background(), "test")
	t.Cleanup(func() { _ = grp.Stop() })
	prc := &eraProcess{eras: make(chan int64, 100), digests: make(chan follow.Digest, 100)}
	exc, err := peers.Start(grp, peers.Options{
		Name: addr, Address: addr, Clock: timer.New(), Log: logr.Discard(),
		Fleet:      fleet.New(timer.New(), logr.Discard(), nil),
		StoreEra:   func() int64 { return era },
		OnStoreEra: func(era int64) { prc.eras <- era },
		OnDigest:   func(_ string, dig follow.Digest) { prc.digests <- dig },
	})
	if err != nil {
		t.Fatal(err)
	}
	prc.exc = exc
	return prc
}

// TestPeersExchangeTheEra guards against offsets that reach another process without their era, and against a restore
// that a process does not hear of from one that has read the store since.
func TestPeersExchangeTheEra(t *testing.T) {
	iis := is.New(t)
	one := startInEra(t, freeAddress(t), 7)
	addr := freeAddress(t)
	two := startInEra(t, addr, 8)
	iis.NoErr(one.exc.AddPeer(addr))
	iis.Equal(<-two.eras, int64(7))
	iis.Equal(<-one.eras, int64(8))
	one.exc.SendDigest("topic", follow.Digest{Era: 6, From: 3, To: 4}) // read before the era rose
	dig := <-two.digests
	iis.Equal(dig, follow.Digest{Era: 6, From: 3, To: 4})
}
