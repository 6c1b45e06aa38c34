package fleet

import "time"

// maxPendingTasks limits the number of updates that are kept for replicas that are not registered yet.
const maxPendingTasks = 4096

// pendingTasks holds updates of other processes' tasks at replicas that are not registered here yet. A process that has
// just started receives all tasks of the others before it has read the registrations, and they are not sent again for
// seconds.
type pendingTasks struct {
	byHash map[uint32][]pendingTask // by the hash of the replica's ID, in the order of arrival
	count  int
}

// pendingTask is an update that waits for the registration of its replica.
type pendingTask struct {
	peer       string
	task       RemoteTask
	receivedAt time.Time
}

// add keeps an update until its replica is registered.
func (pen *pendingTasks) add(peer string, rem RemoteTask, now time.Time) {
	if pen.count >= maxPendingTasks {
		pen.removeStale(now)
	}
	if pen.count >= maxPendingTasks {
		return // The process that sent it sends it again within seconds.
	}
	if pen.byHash == nil {
		pen.byHash = make(map[uint32][]pendingTask)
	}
	pen.byHash[rem.Replica] = append(pen.byHash[rem.Replica], pendingTask{peer: peer, task: rem, receivedAt: now})
	pen.count++
}

// take removes the updates for a replica and returns those that are not stale.
func (pen *pendingTasks) take(hash uint32, now time.Time) []pendingTask {
	var list []pendingTask
	for _, one := range pen.byHash[hash] {
		if now.Sub(one.receivedAt) < remoteTaskTimeout {
			list = append(list, one)
		}
	}
	pen.count -= len(pen.byHash[hash])
	delete(pen.byHash, hash)
	return list
}

// removePeer removes all updates from a process.
func (pen *pendingTasks) removePeer(peer string) {
	for hash, list := range pen.byHash {
		pen.filter(hash, list, func(one pendingTask) bool { return one.peer != peer })
	}
}

// removeStale removes all stale updates.
func (pen *pendingTasks) removeStale(now time.Time) {
	for hash, list := range pen.byHash {
		pen.filter(hash, list, func(one pendingTask) bool { return now.Sub(one.receivedAt) < remoteTaskTimeout })
	}
}

// filter removes the updates for a replica for which keep returns false.
func (pen *pendingTasks) filter(hash uint32, list []pendingTask, keep func(one pendingTask) bool) {
	var rest []pendingTask
	for _, one := range list {
		if keep(one) {
			rest = append(rest, one)
		}
	}
	pen.count -= len(list) - len(rest)
	if len(rest) == 0 {
		delete(pen.byHash, hash)
		return
	}
	pen.byHash[hash] = rest
}
