package front

import (
	"context"
	"time"

	"github.com/tarragonwheel/tarragonwheel/config"
	"github.com/tarragonwheel/tarragonwheel/fleet"
	"github.com/tarragonwheel/tarragonwheel/follow"
	"github.com/tarragonwheel/tarragonwheel/platform"
)

const (
	// readsPerDrainTime is the number of reads of the replicas within the drain time, after which a draining replica
	// must get no more calls. With this value one read may fail.
	readsPerDrainTime = 2.2
	// Bounds of the longest backoff after a failed call to the store.
	minStoreBackoff = 400 * time.Millisecond
	maxStoreBackoff = 1600 * time.Millisecond
	backoffPerFront = 100 * time.Millisecond // of the near ones
	// maxLongPoll is the longest time that the store is asked to hold back a response.
	maxLongPoll = 25 * time.Second
	// pollsPerConfigTime is the number of long polls of near fronts that end within the configuration time. One that
	// finds a new configuration tells the others, whose connections to the store may be silently dead.
	pollsPerConfigTime = 4
)

// followStore keeps the configuration and the list of replicas up to date with the store.
func (frt *Front) followStore() {
	frt.configFollower = follow.Start(frt.group, follow.Options{
		Name: "configuration", Clock: frt.clock, Log: frt.log, Source: frt.store.OperatorRecords(),
		LongPollTimeout: frt.configPollTimeout,
		ResponseTimeout: storeTimeout,
		OnList:          frt.applyOperatorRecords, OnChange: frt.applyOperatorRecord, OnRead: frt.evacuations.Read,
		OnEra:       func(era int64, _ bool) { frt.storeEra.set(era) },
		MaxBackoff:  frt.storeBackoff,
		OnRecovered: func(time.Duration) { frt.tellStoreAnswers() },
	})
	frt.replicaFollower = follow.Start(frt.group, follow.Options{
		Name: "replicas", Clock: frt.clock, Log: frt.log, Source: frt.store.ReplicaRegistrations(),
		ReadInterval:    time.Duration(float64(config.FrontDrainTime.Of(frt.startSettings)) / readsPerDrainTime),
		ResponseTimeout: storeTimeout,
		OnEra: func(era int64, restored bool) {
			frt.storeEra.set(era)
			if restored {
				frt.fleet.StoreOutageEnded()
			}
		},
		OnList: frt.replaceRegistrations, OnChange: frt.applyRegistration,
		Sharing:    frt.registrationSharing(),
		MaxBackoff: frt.storeBackoff,
		OnRecovered: func(time.Duration) {
			frt.fleet.StoreOutageEnded()
			frt.tellStoreAnswers()
		},
	})
	close(frt.following)
	frt.group.Go("store era", func(ctx context.Context) error {
		frt.storeEra.watch(ctx, frt.listAgain)
		return nil
	})
}

// configPollTimeout returns how long the store may hold back the configuration until it changes. The store answers at
// once when it does. The limit bounds the time until a dead connection is noticed.
func (frt *Front) configPollTimeout() time.Duration {
	limit := config.FrontConfigTime.Of(frt.startSettings)
	if frt.peers == nil {
		return limit
	}
	shared := time.Duration(frt.peers.LiveNear()) * limit / pollsPerConfigTime
	return max(limit, min(shared, maxLongPoll))
}

// registrationSharing lets near fronts read the registrations in turn. It is nil if there is no exchange with others.
func (frt *Front) registrationSharing() *follow.Sharing {
	if frt.peers == nil {
		return nil
	}
	return &follow.Sharing{
		Send: func(dig follow.Digest) { frt.peers.SendDigest(digestReplicas, dig) },
		Matters: func(rec follow.Record) bool {
			reg, err := platform.ReadReplica(rec.Key, rec.Value)
			return rec.Value == nil || (err == nil && !frt.fleet.IsHeartbeat(reg))
		},
		Paused: func() bool { return frt.fleet.InGrace() || frt.peers.LiveNear() == 1 },
	}
}

// digestReplicas names the registrations of replicas in the exchange with other fronts.
const digestReplicas = "replicas"

// applyDigest uses what a peer has read in the store.
func (frt *Front) applyDigest(topic string, dig follow.Digest) {
	select {
	case <-frt.following:
	default:
		return // The front has just started, and is going to list the topic itself.
	}
	if topic == digestReplicas {
		frt.replicaFollower.Receive(dig)
	}
}

// storeBackoff returns the longest backoff between calls to the store in an outage. The near fronts together probe it
// about as often, whatever their number, and the first one to get an answer tells the others.
func (frt *Front) storeBackoff() time.Duration {
	if frt.peers == nil {
		return minStoreBackoff
	}
	return min(max(time.Duration(frt.peers.LiveNear())*backoffPerFront, minStoreBackoff), maxStoreBackoff)
}

// tellStoreAnswers tells the near fronts that the store answers this one again after an outage.
func (frt *Front) tellStoreAnswers() {
	if frt.peers != nil {
		frt.peers.SendStoreAnswers()
	}
}

// retryStore calls the store at once if this front waits after a failed call.
func (frt *Front) retryStore() {
	select {
	case <-frt.following:
		frt.configFollower.Retry()
		frt.replicaFollower.Retry()
	default: // The front has just started and calls the store anyway.
	}
}

// applyRegistration records the registration of a replica, or its removal.
func (frt *Front) applyRegistration(rec follow.Record) {
	if rec.Value == nil {
		frt.fleet.Unregister(rec.Key)
		return
	}
	reg, err := platform.ReadReplica(rec.Key, rec.Value)
	if err != nil {
		frt.odd.report("replicas", rec.Key, err) // What the replica itself wrote before holds.
		return
	}
	frt.fleet.UpdateRegistration(reg)
}

// replaceRegistrations records the full list of registrations. Replicas that are not on it have been removed.
func (frt *Front) replaceRegistrations(list []follow.Record, _ follow.Position) {
	regs := make([]fleet.Registration, 0, len(list))
	var unreadable []string
	for _, rec := range list {
		reg, err := platform.ReadReplica(rec.Key, rec.Value)
		if err != nil {
			frt.odd.report("replicas", rec.Key, err)
			unreadable = append(unreadable, rec.Key)
			continue
		}
		regs = append(regs, reg)
	}
	frt.fleet.ReplaceRegistrations(regs, unreadable)
	frt.replicasKnown.Store(true)
	frt.log.Info("front: replicas listed", "replicas", len(regs), "odd", len(unreadable))
}
