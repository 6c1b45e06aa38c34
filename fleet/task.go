package fleet

import "time"

// Phase is the progress of a task.
type Phase uint8

// Phases of a task.
const (
	Prefill Phase = iota // the prompt waits or is being processed; at a plain service, the call runs
	Decode               // the task produces events
)

// Task is a call, or one part of a split prompt, in flight at a replica.
type Task struct {
	ID           uint32
	Phase        Phase
	IsPart       bool          // it processes a part of a prompt for another replica
	SplitPrompt  bool          // its prompt is split
	KVTokens     int           // KV memory that it will use at this replica
	PrefillTime  time.Duration // predicted time to process its prompt
	DueAt        time.Time     // when its first event is due; zero for none
	ExpectedAt   time.Time     // when its first event is predicted; zero for none
	GapTarget    time.Duration // longest pause between events at which the call counts as on time; 0 for none
	Value        float64       // what meeting its target is worth
	TargetMissed bool          // it has missed its target already, so that further delay costs nothing
	StartedAt    time.Time
	PrefillLeft  time.Duration // in a View, the predicted time until its prefill ends; 0 if it has ended
	receivedAt   time.Time     // when this task of another process was last received; zero for own tasks
	learnedAt    time.Time     // when this task of another process was first received; zero for own tasks
	summarized   bool          // it stands for several tasks that are known only as a Summary
}

// LocalTask is a task that this process has started.
type LocalTask struct {
	replica  *Replica
	task     *Task
	urgent   bool
	onChange func(chg TaskChange)
}

// TaskChange is a new state of a task of this process.
type TaskChange struct {
	Replica uint32 // hash of the replica's ID
	Cell    string // of the replica; empty for the common cell
	Task    Task
	Ended   bool
	Urgent  bool // the other processes must learn of it at once
}

// StartTask registers a new task at the replica. The function onChange, if not nil, is called when the task starts,
// changes or ends.
func (rep *Replica) StartTask(tsk Task, onChange func(chg TaskChange)) *LocalTask {
	return rep.startTask(tsk, false, onChange)
}

// ClaimTask is StartTask for a task of which the other processes must learn at once.
func (rep *Replica) ClaimTask(tsk Task, onChange func(chg TaskChange)) *LocalTask {
	return rep.startTask(tsk, true, onChange)
}

func (rep *Replica) startTask(tsk Task, urgent bool, onChange func(chg TaskChange)) *LocalTask {
	set := rep.set
	set.mu.Lock()
	set.lastTaskID++
	tsk.ID = set.lastTaskID
	tsk.StartedAt = set.clock.Now()
	rep.localTasks[tsk.ID] = &tsk
	set.addDemand(rep, &tsk, tsk.StartedAt)
	set.mu.Unlock()
	ltk := &LocalTask{replica: rep, task: &tsk, urgent: urgent, onChange: onChange}
	ltk.notify(tsk, false)
	return ltk
}

// notify passes a change of the task to onChange.
func (ltk *LocalTask) notify(tsk Task, ended bool) {
	if ltk.onChange != nil {
		rep := ltk.replica
		ltk.onChange(TaskChange{Replica: rep.hash, Cell: rep.cell(), Task: tsk, Ended: ended, Urgent: ltk.urgent})
	}
}

// MarkDecoding records that the first event has arrived.
func (ltk *LocalTask) MarkDecoding() {
	ltk.update(func(tsk *Task) { tsk.Phase = Decode })
}

// MarkTargetMissed records that the call has missed its target, so that its further delay costs nothing.
func (ltk *LocalTask) MarkTargetMissed() {
	ltk.update(func(tsk *Task) { tsk.TargetMissed = true })
}

// update changes the task and passes it to onChange.
func (ltk *LocalTask) update(fn func(tsk *Task)) {
	set := ltk.replica.set
	set.mu.Lock()
	ltk.replica.recordLongPrefillEnd(ltk.task)
	fn(ltk.task)
	tsk := *ltk.task
	set.mu.Unlock()
	ltk.notify(tsk, false)
}

// End removes the task.
func (ltk *LocalTask) End() {
	set := ltk.replica.set
	set.mu.Lock()
	ltk.replica.recordLongPrefillEnd(ltk.task)
	delete(ltk.replica.localTasks, ltk.task.ID)
	tsk := *ltk.task
	set.mu.Unlock()
	ltk.notify(tsk, true)
}

// recordLongPrefillEnd records that a task is about to end or to change. The caller holds the lock.
func (rep *Replica) recordLongPrefillEnd(tsk *Task) {
	if tsk.isLongPrefill() {
		rep.longPrefillAt = rep.set.clock.Now()
	}
}

// RemoteTask is a task as one process sends it to another.
type RemoteTask struct {
	Replica      uint32 // hash of the replica's ID
	Cell         string // of the replica, where the task is sent; empty for the common cell
	Task         Task
	Ended        bool
	ProgressOnly bool // only the phase, the missed target and the end of the task are known
}

// remoteTaskTimeout is the time after which a task of another process is removed unless it is received again. Processes
// send all their tasks every two seconds, and datagrams may be lost.
const remoteTaskTimeout = 4500 * time.Millisecond

// ApplyRemoteTasks records the tasks in an update from another process, and removes those that have ended.
func (flt *Fleet) ApplyRemoteTasks(peer string, list []RemoteTask) {
	now := flt.clock.Now()
	for _, rem := range list {
		if rep := flt.lookupOrKeepPending(peer, rem, now); rep != nil {
			rep.applyRemoteTask(peer, rem, now)
		}
	}
}

// lookupOrKeepPending returns the replica of a task. If the replica is not registered here, it keeps the task until
// then and returns nil.
func (flt *Fleet) lookupOrKeepPending(peer string, rem RemoteTask, now time.Time) *Replica {
	flt.mu.Lock()
	defer flt.mu.Unlock()
	rep := flt.byHash[rem.Replica]
	if rep == nil {
		flt.pending.add(peer, rem, now)
	}
	return rep
}

// applyRemoteTask records a task of another process as of the given time, or removes it if it has ended.
func (rep *Replica) applyRemoteTask(peer string, rem RemoteTask, now time.Time) {
	set := rep.set
	set.mu.Lock()
	defer set.mu.Unlock()
	tasks := rep.remoteTasks[peer]
	if tasks == nil {
		tasks = make(map[uint32]*Task)
		rep.remoteTasks[peer] = tasks
	}
	old := tasks[rem.Task.ID]
	if old != nil {
		rep.recordLongPrefillEnd(old)
	}
	if rem.Ended {
		delete(tasks, rem.Task.ID)
		return
	}
	if old != nil && old.Phase == Prefill && rem.Task.Phase == Decode {
		rep.recordPeerFirstEvent(old, now)
	}
	switch {
	case rem.ProgressOnly && old == nil:
		return // The update with its start was lost or is late; the process sends the whole task again.
	case rem.ProgressOnly:
		old.Phase, old.TargetMissed = rem.Task.Phase, rem.Task.TargetMissed
	case old == nil:
		if now.Sub(rem.Task.StartedAt) < remoteTaskTimeout {
			set.addDemand(rep, &rem.Task, now)
		}
		old = &rem.Task
		old.learnedAt = now
		tasks[rem.Task.ID] = old
	default:
		rem.Task.learnedAt = old.learnedAt
		*old = rem.Task
	}
	old.receivedAt = now
}

// removeStaleTasks removes tasks of other processes that have not been received for remoteTaskTimeout.
func (rep *Replica) removeStaleTasks(now time.Time) {
	for _, tasks := range rep.remoteTasks {
		for id, tsk := range tasks {
			if now.Sub(tsk.receivedAt) > remoteTaskTimeout {
				delete(tasks, id)
			}
		}
	}
}

// RemovePeer removes all tasks of another process.
func (flt *Fleet) RemovePeer(peer string) {
	flt.mu.Lock()
	flt.pending.removePeer(peer)
	flt.mu.Unlock()
	for _, set := range flt.allReplicaSets() {
		set.mu.Lock()
		for _, rep := range set.replicas {
			delete(rep.remoteTasks, peer)
		}
		set.mu.Unlock()
	}
}

// LocalTasks returns all tasks of this process, to be sent to other processes.
func (flt *Fleet) LocalTasks() []RemoteTask {
	var list []RemoteTask
	for _, set := range flt.allReplicaSets() {
		set.mu.Lock()
		for _, rep := range set.replicas {
			for _, tsk := range rep.localTasks {
				list = append(list, RemoteTask{
					Replica: rep.hash, Cell: set.cellLocked(rep.reg.DataCentre), Task: *tsk,
				})
			}
		}
		set.mu.Unlock()
	}
	return list
}
