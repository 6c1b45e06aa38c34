package front

import (
	"context"
	"fmt"
	"time"

	"github.com/tarragonwheel/tarragonwheel/config"
	"github.com/tarragonwheel/tarragonwheel/fleet"
	"github.com/tarragonwheel/tarragonwheel/follow"
	"github.com/tarragonwheel/tarragonwheel/peers"
)

const (
	// leastSharers is the number of fronts assumed to share the budget of repeats while fewer are known.
	leastSharers = 4
	// peerListInterval is the time between two reads of the peers' addresses. Peers also learn of one another when
	// they are written to.
	peerListInterval = 20 * time.Second
	registerPause    = time.Second
)

// startPeers joins the exchange of load. The store holds the addresses of the fronts.
func (frt *Front) startPeers() error {
	addr := config.FrontPeers.Of(frt.set)
	if addr == "" {
		return nil
	}
	exc, err := peers.Start(frt.group, peers.Options{
		Name: config.ProcessName.Of(frt.set), Address: addr, Clock: frt.clock, Log: frt.log, Fleet: frt.fleet,
		OnCrash: frt.blame.AddCrash,
	})
	if err != nil {
		return fmt.Errorf("front: %w", err)
	}
	frt.peers = exc
	frt.group.Go("register", func(ctx context.Context) error {
		frt.register(ctx, addr)
		frt.followPeers() // After the registration, so that of two fronts that start at once one sees the other.
		return nil
	})
	return nil
}

func (frt *Front) followPeers() {
	add := func(rec follow.Record) {
		if rec.Value != nil {
			frt.peers.AddPeer(rec.Key)
		}
	}
	follow.Start(frt.group, follow.Options{
		Name: "peers", Clock: frt.clock, Log: frt.log, Source: frt.store.PeerAddresses(),
		ReadInterval: peerListInterval, ReadTimeout: storeTimeout, OnChange: add,
		OnList: func(list []follow.Record) {
			for _, rec := range list {
				add(rec)
			}
		},
	})
}

// register writes this front's address into the store. It tries until the store has accepted it.
func (frt *Front) register(ctx context.Context, addr string) {
	for ctx.Err() == nil {
		lim, cancel := frt.clock.WithTimeout(ctx, storeTimeout)
		err := frt.store.RegisterPeer(lim, addr)
		cancel()
		if err == nil {
			return
		}
		frt.log.Info("front: address not registered, trying again", "error", err.Error())
		_ = frt.clock.Sleep(ctx, registerPause) // The loop checks whether ctx has ended.
	}
}

func (frt *Front) tellMove(replica uint32, wrk fleet.Task, ended bool) {
	if frt.peers != nil {
		frt.peers.SendTaskChange(replica, wrk, ended)
	}
}

func (frt *Front) tellCrash(print uint64) {
	if frt.peers != nil {
		frt.peers.SendCrash(print)
	}
}

// loadKnownAfter is the time after the start by which other fronts have told of their works.
const loadKnownAfter = time.Second

// unsure tells whether other fronts may have works that this one has not heard of.
func (frt *Front) unsure() bool {
	return frt.peers != nil && frt.clock.Since(frt.started) < loadKnownAfter
}

// sharers returns the number of fronts that share the budget of repeats.
func (frt *Front) sharers() int {
	if frt.peers == nil {
		return leastSharers
	}
	return max(frt.peers.LiveProcesses(), leastSharers)
}
