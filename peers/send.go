package peers

import (
	"net"
	"slices"
	"time"

	"github.com/tarragonwheel/tarragonwheel/fleet"
)

// QueueTaskChange queues a change of one of this process's tasks at a replica. It is sent to the live peers after a
// short delay, during which further changes are collected.
func (exc *Exchange) QueueTaskChange(replica uint32, tsk fleet.Task, ended bool) {
	exc.mu.Lock()
	defer exc.mu.Unlock()
	isStart := !ended && tsk.Phase == fleet.Prefill && !tsk.TargetMissed
	exc.pending = append(exc.pending,
		fleet.RemoteTask{Replica: replica, Task: tsk, Ended: ended, ProgressOnly: !isStart})
	if !exc.flushScheduled {
		exc.flushScheduled = true
		exc.opts.Clock.After(exc.batchDelay(), exc.sendChanges)
	}
}

// batchDelay returns the time during which changes are collected into one datagram. It grows with the number of peers,
// so that the rate of datagrams that a process receives does not.
func (exc *Exchange) batchDelay() time.Duration {
	return min(max(time.Duration(len(exc.peers))*batchDelayPerPeer, minBatchDelay), maxBatchDelay)
}

// SendCrash sends the fingerprint of a call at whose start a replica closed the connection. It is sent at once with a
// full update, and repeated in the next ones.
func (exc *Exchange) SendCrash(fingerprint uint64) {
	exc.mu.Lock()
	exc.crashes = append(exc.crashes, crashReport{fingerprint: fingerprint, sendsLeft: crashReportSends})
	exc.mu.Unlock()
	exc.sendFullUpdate()
}

// sendChanges sends the queued changes to all live peers.
func (exc *Exchange) sendChanges() {
	exc.mu.Lock()
	changes := exc.pending
	exc.pending, exc.flushScheduled = nil, false
	var to []*net.UDPAddr
	for _, per := range exc.peers {
		if exc.isLive(per) {
			to = append(to, per.addr)
		}
	}
	exc.mu.Unlock()
	exc.sendTasks(to, "", latestChanges(changes), nil)
}

// latestChanges returns the last change of each task. If the start of the task is among the changes, the peers do not
// know the task yet, so its last change is sent with all fields.
func latestChanges(changes []fleet.RemoteTask) []fleet.RemoteTask {
	type key struct{ replica, id uint32 }
	index := make(map[key]int, len(changes)) // in out
	var out []fleet.RemoteTask
	for _, rem := range changes {
		tsk := key{rem.Replica, rem.Task.ID}
		idx, seen := index[tsk]
		if !seen {
			index[tsk] = len(out)
			out = append(out, rem)
			continue
		}
		rem.ProgressOnly = out[idx].ProgressOnly
		out[idx] = rem
	}
	return out
}

// sendFullUpdate sends all tasks of this process, and recent crashes, to all peers.
func (exc *Exchange) sendFullUpdate() {
	exc.mu.Lock()
	var to []*net.UDPAddr
	for _, per := range exc.peers {
		to = append(to, per.addr)
	}
	var crashes []uint64
	for idx := range exc.crashes {
		crashes = append(crashes, exc.crashes[idx].fingerprint)
		exc.crashes[idx].sendsLeft--
	}
	exc.crashes = slices.DeleteFunc(exc.crashes, func(crs crashReport) bool { return crs.sendsLeft <= 0 })
	exc.mu.Unlock()
	exc.sendTasks(to, exc.opts.Name, exc.opts.Fleet.LocalTasks(), crashes)
}

// sendTasks sends tasks and the fingerprints of crashes. The name is empty if the tasks are only changes.
func (exc *Exchange) sendTasks(to []*net.UDPAddr, name string, tasks []fleet.RemoteTask, crashes []uint64) {
	if len(to) == 0 {
		return
	}
	msg := message{Name: name, RunID: exc.runID, Crashes: crashes}
	for _, part := range splitMessage(msg, tasks, exc.opts.Clock.Now()) {
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
