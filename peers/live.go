package peers

import "time"

// LiveProcesses returns the number of processes that have not timed out, including this one. Those of other cells are
// counted by the processes there.
func (exc *Exchange) LiveProcesses() int {
	exc.mu.Lock()
	defer exc.mu.Unlock()
	now := exc.opts.Clock.Now()
	live := make(map[string]int) // by data centre
	for _, per := range exc.peers {
		if exc.isLive(per) {
			live[per.dataCentre]++
		}
	}
	for dataCentre, size := range exc.cellSizes {
		if now.Sub(size.receivedAt) < peerTimeout {
			live[dataCentre] = max(live[dataCentre], size.live)
		}
	}
	num := 1
	for _, count := range live {
		num += count
	}
	return num
}

// LiveNear returns the number of live processes that place calls on the same replicas first as this one, including it.
func (exc *Exchange) LiveNear() int {
	exc.mu.Lock()
	defer exc.mu.Unlock()
	num := 1
	for _, per := range exc.peers {
		if exc.isLive(per) && exc.isNear(per) {
			num++
		}
	}
	return num
}

// isLive reports whether a datagram of the peer came within the timeout.
func (exc *Exchange) isLive(per *peer) bool {
	return !per.lastReceived.IsZero() && exc.opts.Clock.Since(per.lastReceived) < peerTimeout
}

// expirePeers drops the tasks of peers that have timed out, and removes peers that have been inactive for long.
func (exc *Exchange) expirePeers() {
	now := exc.opts.Clock.Now()
	var timedOut []string
	exc.mu.Lock()
	for addr, per := range exc.peers {
		if !per.lastReceived.IsZero() && now.Sub(per.lastReceived) > peerTimeout {
			timedOut = append(timedOut, addr)
			if exc.isNear(per) { // The others send little.
				exc.opts.Log.Info("peers: peer timed out", "peer", per.name, "address", addr)
			}
			per.lastReceived, per.inactiveSince = time.Time{}, now
		}
		if per.lastReceived.IsZero() && now.Sub(per.inactiveSince) > removePeerAfter {
			delete(exc.peers, addr)
		}
	}
	exc.expireFronts()
	exc.mu.Unlock()
	for _, addr := range timedOut {
		exc.opts.Fleet.RemovePeer(addr)
	}
}
