package peers

import (
	"net"
	"slices"
	"time"

	"github.com/tarragonwheel/tarragonwheel/fleet"
)

// SendTaskChange queues a change of this process's task at a replica. It is sent to the others soon.
func (exc *Exchange) SendTaskChange(replica uint32, wrk fleet.Task, ended bool) {
	exc.mu.Lock()
	defer exc.mu.Unlock()
	begins := !ended && wrk.Phase == fleet.Prefill && !wrk.TargetMissed
	exc.pending = append(exc.pending,
		fleet.RemoteTask{Replica: replica, Task: wrk, Ended: ended, ProgressOnly: !begins})
	if !exc.flush {
		exc.flush = true
		exc.opts.Clock.After(exc.delay(), exc.sendChanges)
	}
}

// delay returns the time in which changes are gathered into one datagram. It is longer where there are many peers, so
// that the datagrams that a process receives in a second do not grow with their number.
func (exc *Exchange) delay() time.Duration {
	return min(max(time.Duration(len(exc.peers))*delayPerPeer, leastDelay), mostDelay)
}

// SendCrash sends the fingerprint of a call at whose start a replica closed the connection.
func (exc *Exchange) SendCrash(print uint64) {
	exc.mu.Lock()
	exc.crashes = append(exc.crashes, crash{print: print, left: crashRepeats})
	exc.mu.Unlock()
	exc.sendWhole()
}

func (exc *Exchange) sendChanges() {
	exc.mu.Lock()
	list := exc.pending
	exc.pending, exc.flush = nil, false
	var to []*net.UDPAddr
	for _, per := range exc.peers {
		if exc.alive(per) {
			to = append(to, per.addr)
		}
	}
	exc.mu.Unlock()
	exc.send(to, "", newest(list), nil)
}

// newest leaves the last change of each work. A work that began and moved within the list is sent as a whole.
func newest(list []fleet.RemoteTask) []fleet.RemoteTask {
	type key struct{ replica, id uint32 }
	place := make(map[key]int, len(list))
	var out []fleet.RemoteTask
	for _, rem := range list {
		one := key{rem.Replica, rem.Task.ID}
		idx, seen := place[one]
		if !seen {
			place[one] = len(out)
			out = append(out, rem)
			continue
		}
		rem.ProgressOnly = out[idx].ProgressOnly
		out[idx] = rem
	}
	return out
}

func (exc *Exchange) sendWhole() {
	exc.mu.Lock()
	var to []*net.UDPAddr
	for _, per := range exc.peers {
		to = append(to, per.addr)
	}
	var prints []uint64
	for idx := range exc.crashes {
		prints = append(prints, exc.crashes[idx].print)
		exc.crashes[idx].left--
	}
	exc.crashes = slices.DeleteFunc(exc.crashes, func(crs crash) bool { return crs.left <= 0 })
	exc.mu.Unlock()
	exc.send(to, exc.opts.Name, exc.opts.Fleet.LocalTasks(), prints)
}

func (exc *Exchange) send(to []*net.UDPAddr, name string, list []fleet.RemoteTask, prints []uint64) {
	if len(to) == 0 {
		return
	}
	msg := message{Name: name, Run: exc.run, Crashes: prints}
	for _, part := range split(msg, list, exc.opts.Clock.Now()) {
		raw, err := encode(&part)
		if err != nil {
			exc.opts.Log.Error(err, "peers: load not sent")
			return
		}
		for _, addr := range to {
			if _, err := exc.conn.WriteToUDP(raw, addr); err != nil {
				exc.opts.Log.V(1).Info("peers: datagram not sent", "peer", addr.String(), "error", err.Error())
			}
		}
	}
}
