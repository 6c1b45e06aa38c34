package peers

import (
	"maps"
	"net"
	"slices"
	"time"

	"github.com/tarragonwheel/tarragonwheel/pace"
)

// The fronts that share limits with this process are those that it knows: from the store or from a datagram, live or
// lately lost. A front that has lost contact may still send calls, so it keeps its share until it says that it stops,
// or until these times are over.
const (
	// lostFrontTime is the time after the last datagram of a front until it is taken to have ended. It is longer than
	// the minutes for which regions lose each other.
	lostFrontTime = time.Hour
	// unansweredFrontTime is the time in which a front must answer that is known from the store only. The store keeps
	// the addresses of fronts that have ended. One that lives answers within milliseconds, unless it is cut off.
	unansweredFrontTime = 30 * time.Second
	// stoppedFrontTime is the time for which a front that has stopped keeps its share, so that no other one takes it
	// within the second in which the last calls were sent. A run that is heard of later is another one.
	stoppedFrontTime = time.Second
	// frontsSettleTime is the time after the first list of the fronts until that list counts as complete. A front that
	// registers later finds this one on its own list and greets it, before it counts its list as complete.
	frontsSettleTime = time.Second
	// assumedFronts is the number of fronts that a process assumes at least until then: that of the largest deployment
	// planned for. Together, that many fronts that know nothing of each other keep to the limit on average.
	assumedFronts = 512
)

// knownFront is another process that shares limits with this one.
type knownFront struct {
	name      string
	runID     uint32
	addedAt   time.Time
	heardAt   time.Time // when a datagram last came; zero for none
	stoppedAt time.Time // when it said that it sends no more calls; zero if it has not
}

// Fronts returns the processes that share limits with this one, including it. The set is built when it is first needed
// after a change: a process that starts learns of hundreds one by one.
func (exc *Exchange) Fronts() *pace.Fronts {
	if frs := exc.fronts.Load(); frs != nil {
		return frs
	}
	exc.mu.Lock()
	defer exc.mu.Unlock()
	minimum := assumedFronts
	if exc.frontsSettled {
		minimum = 1
	}
	frs := pace.NewFronts(exc.opts.Address, slices.Collect(maps.Keys(exc.known)), minimum)
	exc.fronts.Store(frs)
	return frs
}

// SetFrontsListed records that the addresses of all processes have been read from the store. The process assumes a
// minimum number of them until some time after.
func (exc *Exchange) SetFrontsListed() {
	exc.opts.Clock.After(frontsSettleTime, func() {
		exc.mu.Lock()
		defer exc.mu.Unlock()
		if !exc.frontsSettled {
			exc.frontsSettled = true
			exc.fronts.Store(nil)
			exc.opts.Log.Info("peers: processes that share limits are known", "processes", len(exc.known)+1)
		}
	})
}

// addFront records a process that is known by its address. The caller holds the lock.
func (exc *Exchange) addFront(addr *net.UDPAddr) {
	text := addr.String()
	if exc.known[text] != nil || len(exc.known) >= maxPeers {
		return
	}
	exc.known[text] = &knownFront{addedAt: exc.opts.Clock.Now()}
	exc.fronts.Store(nil)
}

// recordFront records a datagram of a process. The caller holds the lock.
func (exc *Exchange) recordFront(addr *net.UDPAddr, msg *message) {
	exc.addFront(addr)
	frt := exc.known[addr.String()]
	if frt == nil {
		return // There are too many.
	}
	now := exc.opts.Clock.Now()
	if frt.runID != msg.RunID {
		frt.runID, frt.stoppedAt = msg.RunID, time.Time{}
	}
	frt.heardAt = now
	if msg.Name != "" {
		frt.name = msg.Name
	}
	if msg.Stopped && frt.stoppedAt.IsZero() {
		frt.stoppedAt = now
		exc.opts.Log.Info("peers: peer has stopped", "peer", frt.name, "address", addr.String())
	}
}

// expireFronts forgets the processes that do not share limits any more. The caller holds the lock.
func (exc *Exchange) expireFronts() {
	now := exc.opts.Clock.Now()
	lastHeard := make(map[string]time.Time, len(exc.known)) // by name
	for _, frt := range exc.known {
		if frt.heardAt.After(lastHeard[frt.name]) {
			lastHeard[frt.name] = frt.heardAt
		}
	}
	num := len(exc.known)
	maps.DeleteFunc(exc.known, func(addr string, frt *knownFront) bool {
		reason := frt.endReason(now, lastHeard[frt.name])
		if reason != "" {
			exc.opts.Log.Info("peers: peer has no share of limits any more", "peer", frt.name, "address", addr,
				"reason", reason, "heard-ago", now.Sub(frt.heardAt))
		}
		return reason != ""
	})
	if len(exc.known) != num {
		exc.fronts.Store(nil)
	}
}

// endReason returns why the process does not share limits any more, or an empty string if it does. One under the same
// name was last heard of at the given time.
func (frt *knownFront) endReason(now, lastHeard time.Time) string {
	switch {
	case frt.heardAt.IsZero() && now.Sub(frt.addedAt) >= unansweredFrontTime:
		return "never answered"
	case frt.heardAt.IsZero():
		return ""
	case !frt.stoppedAt.IsZero() && now.Sub(frt.stoppedAt) >= stoppedFrontTime:
		return "stopped"
	case now.Sub(frt.heardAt) >= lostFrontTime:
		return "lost"
	case frt.name != "" && now.Sub(frt.heardAt) >= peerTimeout && lastHeard.After(frt.heardAt):
		return "replaced" // By one at another address.
	}
	return ""
}

// SendStopped tells all processes that this one sends no more calls to replicas. It is sent twice, since a lost
// datagram would keep the share of this process unused for long.
func (exc *Exchange) SendStopped() {
	exc.mu.Lock()
	var to []*net.UDPAddr
	for _, per := range exc.peers {
		to = append(to, per.addr)
	}
	exc.mu.Unlock()
	exc.stopped.Store(true)
	msg := exc.withSender(exc.greeting())
	exc.send(to, &msg)
	exc.send(to, &msg)
}
