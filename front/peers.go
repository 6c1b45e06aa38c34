package front

import (
	"context"
	"fmt"
	"time"

	"github.com/tarragonwheel/tarragonwheel/cause"
	"github.com/tarragonwheel/tarragonwheel/config"
	"github.com/tarragonwheel/tarragonwheel/fleet"
	"github.com/tarragonwheel/tarragonwheel/follow"
	"github.com/tarragonwheel/tarragonwheel/peers"
)

const (
	// minBudgetSharers is the number of fronts assumed to share the retry budget while fewer are known.
	minBudgetSharers = 4
	// peerListInterval is the time between two reads of the peers' addresses. It may be long, since a front also learns
	// of a peer when it receives a datagram from it.
	peerListInterval      = time.Minute
	registerRetryInterval = time.Second
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
		ConfigVersion: frt.configVersion, OnConfigVersion: frt.catchUpWithPeer, OnDigest: frt.applyDigest,
		OnStoreAnswers: frt.retryStore,
	})
	if err != nil {
		return fmt.Errorf("front: %w", err)
	}
	frt.peers = exc
	frt.group.Go("register", func(ctx context.Context) error {
		frt.registerAddress(ctx, addr)
		// The peers are listed after the registration: of two fronts that start at the same time, the one that
		// registers last then finds the other.
		frt.followPeers()
		return nil
	})
	return nil
}

// followPeers adds the peers whose addresses are in the store, now and as they register.
func (frt *Front) followPeers() {
	addPeer := func(rec follow.Record) {
		if rec.Value == nil {
			return
		}
		if err := frt.peers.AddPeer(rec.Key); err != nil {
			frt.odd.report("peers", rec.Key, err)
		}
	}
	follow.Start(frt.group, follow.Options{
		Name: "peers", Clock: frt.clock, Log: frt.log, Source: frt.store.PeerAddresses(),
		ReadInterval: peerListInterval, ResponseTimeout: storeTimeout, OnChange: addPeer,
		OnList: func(list []follow.Record) {
			for _, rec := range list {
				addPeer(rec)
			}
		},
	})
}

// registerAddress writes this front's peer address into the store. It retries until the store accepts it or ctx ends.
func (frt *Front) registerAddress(ctx context.Context, addr string) {
	for ctx.Err() == nil {
		reqCtx, cancel := frt.clock.WithTimeout(ctx, storeTimeout)
		err := frt.store.RegisterPeer(reqCtx, addr)
		cancel()
		if err == nil {
			return
		}
		frt.log.Info("front: cannot register the peer address, trying again", "error", err.Error())
		_ = frt.clock.Sleep(ctx, registerRetryInterval) // The loop checks whether ctx has ended.
	}
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

// budgetSharers returns the number of fronts that share the retry budget, and at least minBudgetSharers.
func (frt *Front) budgetSharers() int {
	if frt.peers == nil {
		return minBudgetSharers
	}
	return max(frt.peers.LiveProcesses(), minBudgetSharers)
}
