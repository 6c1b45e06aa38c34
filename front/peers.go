package front

import (
	"context"
	"fmt"
	"math/rand"
	"time"

	"github.com/tarragonwheel/tarragonwheel/cause"
	"github.com/tarragonwheel/tarragonwheel/config"
	"github.com/tarragonwheel/tarragonwheel/fleet"
	"github.com/tarragonwheel/tarragonwheel/follow"
	"github.com/tarragonwheel/tarragonwheel/pace"
	"github.com/tarragonwheel/tarragonwheel/peers"
)

const (
	// minBudgetFronts is the number of fronts assumed to share the retry budget while fewer are known.
	minBudgetFronts = 4
	// peerListInterval is the time between two reads of the peers' addresses. It may be long, since a front also learns
	// of a peer when it receives a datagram from it, and reads the address then.
	peerListInterval      = time.Minute
	newPeerListDelay      = time.Second // so that fronts that start together lead to one read
	registerRetryInterval = time.Second
	// Bounds of the time over which the fronts spread their registrations after a restore of the store.
	minRegisterSpread      = time.Second
	registerSpreadPerFront = 20 * time.Millisecond
)

// startPeers starts the exchange of load with other fronts, whose addresses are in the store. It does nothing if no
// address for the exchange is configured.
func (frt *Front) startPeers() error {
	addr := config.FrontPeers.Of(frt.startSettings)
	if addr == "" {
		return nil
	}
	exc, err := peers.Start(frt.group, peers.Options{
		Name: config.ProcessName.Of(frt.startSettings), DataCentre: config.ProcessDataCentre.Of(frt.startSettings),
		Address: addr, Clock: frt.clock, Log: frt.log, Fleet: frt.fleet, OnCrash: frt.crashes.AddReport,
		OnAnswers: frt.crashes.AddAnswers, KnownCrashes: frt.crashes.BlockingReports,
		ConfigVersion: frt.configVersion, OnConfigVersion: frt.catchUpWithPeer,
		ConfigRecord: frt.activeConfigRecord, OnConfigRecord: frt.applyPeerConfig,
		OnUnregistered: frt.listPeersSoon, OnDigest: frt.applyDigest,
		StoreEra: frt.storeEra.get, OnStoreEra: frt.listAgain, OnStoreAnswers: frt.retryStore,
		Evacuations: frt.evacuations.State, OnEvacuations: frt.evacuations.Merge,
	})
	if err != nil {
		return fmt.Errorf("front: %w", err)
	}
	frt.peers = exc
	frt.group.Go("register", func(ctx context.Context) error {
		registered := frt.registerAddress(ctx, addr)
		// The peers are listed after the registration: of two fronts that start at the same time, the one that
		// registers last then finds the other.
		flw := frt.followPeers()
		frt.peerFollower.Store(flw)
		frt.storeEra.watch(ctx, func(era int64) {
			if era <= registered {
				return
			}
			spread := max(minRegisterSpread, time.Duration(frt.peers.LiveProcesses())*registerSpreadPerFront)
			_ = frt.clock.Sleep(ctx, time.Duration(rand.Int63n(int64(spread)))) // Registering ends with ctx.
			registered = frt.registerAddress(ctx, addr)
			frt.log.Info("front: peer address registered again after a restore of the store", "era", registered)
			flw.Restored(era)
		})
		return nil
	})
	return nil
}

// followPeers adds the peers whose addresses are in the store, now and as they register.
func (frt *Front) followPeers() *follow.Follower {
	addPeer := func(rec follow.Record) {
		if rec.Value == nil {
			return
		}
		if err := frt.peers.AddPeer(rec.Key); err != nil {
			frt.odd.report("peers", rec.Key, err)
		}
	}
	return follow.Start(frt.group, follow.Options{
		Name: "peers", Clock: frt.clock, Log: frt.log, Source: frt.store.PeerAddresses(),
		ReadInterval: peerListInterval, ResponseTimeout: storeTimeout, OnChange: addPeer,
		OnEra: func(era int64, _ bool) { frt.storeEra.set(era) },
		OnList: func(list []follow.Record, _ follow.Position) {
			for _, rec := range list {
				addPeer(rec)
			}
			frt.peers.SetFrontsListed()
			frt.clock.After(newPeerListDelay/2, frt.listPeersSoon) // Finds those that have started at the same time.
		},
	})
}

// listPeersSoon reads the addresses of the peers soon, because a datagram came from one that is not known from there.
func (frt *Front) listPeersSoon() {
	if flw := frt.peerFollower.Load(); flw != nil {
		flw.ReadWithin(newPeerListDelay)
	}
}

// registerAddress writes this front's peer address into the store, and returns the era in which the store has accepted
// it. It retries until then or until ctx ends.
func (frt *Front) registerAddress(ctx context.Context, addr string) (era int64) {
	for ctx.Err() == nil {
		reqCtx, cancel := frt.clock.WithTimeout(ctx, storeTimeout)
		era, err := frt.store.RegisterPeer(reqCtx, addr)
		cancel()
		if err == nil {
			return era
		}
		frt.log.Info("front: cannot register the peer address, trying again", "error", err.Error())
		_ = frt.clock.Sleep(ctx, registerRetryInterval) // The loop checks whether ctx has ended.
	}
	return 0
}

// sendTaskChange sends the peers a change of a task of this front.
func (frt *Front) sendTaskChange(chg fleet.TaskChange) {
	if frt.peers != nil {
		frt.peers.QueueTaskChange(chg)
	}
}

// sendCrash sends the peers a crash that this front has observed.
func (frt *Front) sendCrash(rpt cause.Report) {
	if frt.peers != nil {
		frt.peers.SendCrash(rpt)
	}
}

// sendAnswers sends the peers that suspected calls have been answered.
func (frt *Front) sendAnswers(list []cause.Answer) {
	if frt.peers != nil {
		frt.peers.SendAnswers(list)
	}
}

// loadKnownAfter is the time after the start within which the other fronts have sent their tasks.
const loadKnownAfter = time.Second

// loadUnknown reports whether other fronts may have tasks in flight that this one has not yet received.
func (frt *Front) loadUnknown() bool {
	return frt.peers != nil && frt.clock.Since(frt.started) < loadKnownAfter
}

// defaultFronts is the set of fronts that a front without an exchange assumes, which cannot learn of others.
var defaultFronts = pace.NewFronts("", nil, minBudgetFronts)

// knownFronts returns the fronts that share the limits of cold replicas.
func (frt *Front) knownFronts() *pace.Fronts {
	if frt.peers == nil {
		return defaultFronts
	}
	return frt.peers.Fronts()
}

// budgetProcesses returns the number of fronts that share the retry budget, and at least minBudgetFronts.
func (frt *Front) budgetProcesses() int {
	if frt.peers == nil {
		return minBudgetFronts
	}
	return max(frt.peers.LiveProcesses(), minBudgetFronts)
}
