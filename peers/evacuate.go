package peers

import (
	"net"
	"time"

	"github.com/tarragonwheel/tarragonwheel/evac"
	"github.com/tarragonwheel/tarragonwheel/follow"
)

const (
	// maxEvacuationBytes bounds the names in a message, so that a datagram fits into one packet. A part of the names
	// would return the other data centres to service at the receiver.
	maxEvacuationBytes = 300
	// maxHeldTime bounds what a peer states as the rest of a grace period.
	maxHeldTime = time.Minute
	// maxFarReceivers is the number of peers of other cells to which a process sends a change at once. All processes
	// that read it in the store do so, so that each of the others is likely to receive it.
	maxFarReceivers = 8
)

// evacuationState is an evac.State.
type evacuationState struct {
	_           struct{} `cbor:",toarray"`
	Era         int64
	Offset      int64
	DataCentres []string
	Held        []heldDataCentre
}

// heldDataCentre is an evac.Held.
type heldDataCentre struct {
	_          struct{} `cbor:",toarray"`
	DataCentre string
	LeftMs     int64
}

func toEvacuationState(sta *evac.State) *evacuationState {
	out := &evacuationState{Era: sta.Position.Era, Offset: sta.Position.Offset, DataCentres: sta.DataCentres}
	for _, one := range sta.Held {
		out.Held = append(out.Held, heldDataCentre{DataCentre: one.DataCentre, LeftMs: one.Left.Milliseconds()})
	}
	return out
}

func (est *evacuationState) toState() evac.State {
	sta := evac.State{
		Position: follow.Position{Era: est.Era, Offset: est.Offset}, DataCentres: est.DataCentres,
	}
	for _, one := range est.Held {
		sta.Held = append(sta.Held, evac.Held{
			DataCentre: one.DataCentre, Left: min(toDuration(one.LeftMs), maxHeldTime),
		})
	}
	return sta
}

// nameBytes returns the size of the names.
func (est *evacuationState) nameBytes() int {
	size := 0
	for _, name := range est.DataCentres {
		size += len(name)
	}
	for _, one := range est.Held {
		size += len(one.DataCentre)
	}
	return size
}

// evacuations returns the evacuated data centres for a message. It returns nil if they are not known or do not fit.
func (exc *Exchange) evacuations() *evacuationState {
	if exc.opts.Evacuations == nil {
		return nil
	}
	sta, known := exc.opts.Evacuations()
	if !known {
		return nil
	}
	est := toEvacuationState(&sta)
	if size := est.nameBytes(); size > maxEvacuationBytes {
		exc.opts.Log.Info("peers: evacuated data centres not sent, too many names", "bytes", size,
			"data-centres", len(est.DataCentres), "in-grace-period", len(est.Held))
		return nil
	}
	return est
}

// QueueEvacuations queues the evacuated data centres, which have changed. They are sent with the next changes of tasks,
// and with each full update.
func (exc *Exchange) QueueEvacuations() {
	exc.mu.Lock()
	defer exc.mu.Unlock()
	exc.evacuationsChanged = true
	exc.scheduleChanges()
}

// farReceivers returns some live peers of other cells, chosen at random. The caller holds the lock.
func (exc *Exchange) farReceivers() []*net.UDPAddr {
	var list []*net.UDPAddr
	for _, per := range exc.peers { // In random order.
		if len(list) < maxFarReceivers && !exc.isNear(per) {
			list = append(list, per.addr)
		}
	}
	return list
}

// applyEvacuations hands over the evacuated data centres of a message. Only peers that were added by their address are
// believed, since anybody can send a datagram. Another one may have registered since the addresses were read.
func (exc *Exchange) applyEvacuations(msg *message, registered bool) {
	switch {
	case exc.opts.OnEvacuations == nil || msg.Evacuations == nil:
	case registered:
		exc.opts.OnEvacuations(msg.Evacuations.toState())
	case exc.opts.OnUnregistered != nil:
		exc.opts.OnUnregistered()
	}
}
