package peers

import (
	"net"
	"time"

	"github.com/tarragonwheel/tarragonwheel/fleet"
)

// QueueTaskChange queues a change of one of this process's tasks at a replica. It is sent to the peers that place calls
// on the replica after a short delay, during which further changes are collected.
func (exc *Exchange) QueueTaskChange(chg fleet.TaskChange) {
	exc.mu.Lock()
	defer exc.mu.Unlock()
	isStart := !chg.Ended && chg.Task.Phase == fleet.Prefill && !chg.Task.TargetMissed
	exc.pending = append(exc.pending, fleet.RemoteTask{
		Replica: chg.Replica, Cell: chg.Cell, Task: chg.Task, Ended: chg.Ended, ProgressOnly: !isStart,
	})
	if chg.Urgent && !exc.urgentScheduled {
		exc.urgentScheduled = true
		exc.opts.Clock.After(urgentBatchDelay, exc.sendChanges)
	}
	exc.scheduleChanges()
}

// scheduleChanges sends the queued changes after the batch delay. The caller holds the lock.
func (exc *Exchange) scheduleChanges() {
	if !exc.flushScheduled {
		exc.flushScheduled = true
		exc.opts.Clock.After(exc.batchDelay(), exc.sendChanges)
	}
}

// batchDelay returns the time during which changes are collected into one datagram. It grows with the number of peers
// that get them, so that the rate of datagrams that a process receives does not.
func (exc *Exchange) batchDelay() time.Duration {
	num := 0
	for _, per := range exc.peers {
		if exc.isNear(per) {
			num++
		}
	}
	return min(max(time.Duration(num)*batchDelayPerPeer, minBatchDelay), maxBatchDelay)
}

// sendChanges sends the queued changes to the peers that place calls on the replicas concerned.
func (exc *Exchange) sendChanges() {
	exc.mu.Lock()
	changes, leaving, cold := exc.pending, exc.leaving, exc.cold
	evacuationsChanged, far := exc.evacuationsChanged, exc.farReceivers()
	exc.pending, exc.leaving, exc.cold, exc.evacuationsChanged = nil, nil, nil, false
	exc.flushScheduled, exc.urgentScheduled = false, false
	to := exc.audiences(func(per *peer) bool { return exc.isLive(per) || !exc.isNear(per) })
	exc.mu.Unlock()
	changes = latestChanges(changes)
	msg := message{Leaving: toLeavingNotices(leaving, exc.opts.Clock.Now()), Cold: cold}
	if evacuationsChanged {
		msg.Evacuations = exc.evacuations()
		exc.sendTasks(far, message{Evacuations: msg.Evacuations}, nil)
	}
	for dataCentre, addrs := range to {
		tasks := exc.tasksFor(dataCentre, changes)
		hasNews := len(msg.Leaving)+len(msg.Cold) > 0 || msg.Evacuations != nil
		if len(tasks) > 0 || (hasNews && exc.isNearDataCentre(dataCentre)) {
			exc.sendTasks(addrs, msg, tasks)
		}
	}
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

// sendFullUpdate sends all tasks of this process to the peers that place calls on the replicas concerned. With
// greetAll, all peers get a message, even one without tasks.
func (exc *Exchange) sendFullUpdate(greetAll bool) {
	exc.mu.Lock()
	to := exc.audiences(func(*peer) bool { return true })
	exc.mu.Unlock()
	all := exc.opts.Fleet.LocalTasks()
	msg := exc.greeting()
	msg.Leaving = toLeavingNotices(exc.opts.Fleet.LeavingNotices(leavingNoticeTime), exc.opts.Clock.Now())
	for dataCentre, addrs := range to {
		tasks := exc.tasksFor(dataCentre, all)
		if greetAll || len(tasks) > 0 || exc.isNearDataCentre(dataCentre) {
			exc.sendTasks(addrs, msg, tasks)
		}
	}
}

// greeting returns a message that introduces this process.
func (exc *Exchange) greeting() message {
	return message{
		Name: exc.opts.Name, DataCentre: exc.opts.DataCentre, StoreEra: exc.storeEra(), Evacuations: exc.evacuations(),
	}
}

// sendTasks sends a message with the given tasks, in as many datagrams as needed.
func (exc *Exchange) sendTasks(to []*net.UDPAddr, msg message, tasks []fleet.RemoteTask) {
	if len(to) == 0 {
		return
	}
	for _, part := range splitMessage(exc.withSender(msg), tasks, exc.opts.Clock.Now()) {
		exc.send(to, &part)
	}
}

// withSender returns the message with the run of this process and the version of its configuration.
func (exc *Exchange) withSender(msg message) message {
	msg.RunID, msg.Stopped = exc.runID, exc.stopped.Load()
	if exc.opts.ConfigVersion != nil {
		msg.ConfigVersion = exc.opts.ConfigVersion()
	}
	return msg
}

// send sends a message in one datagram to each address.
func (exc *Exchange) send(to []*net.UDPAddr, msg *message) {
	raw, err := encode(msg)
	if err != nil {
		exc.opts.Log.Error(err, "peers: message not sent")
		return
	}
	for _, addr := range to {
		if _, err := exc.conn.WriteToUDP(raw, addr); err != nil {
			exc.opts.Log.V(1).Info("peers: datagram not sent", "peer", addr.String(), "error", err.Error())
		}
	}
}
