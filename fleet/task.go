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
	summarized   bool          // it stands for several tasks that are known only as a Summary
}

// LocalTask is a task that this process has started.
type LocalTask struct {
	replica  *Replica
	task     *Task
	onChange func(chg TaskChange)
}

// TaskChange is a new state of a task of this process.
type TaskChange struct {
	Replica uint32 // hash of the replica's ID
	Cell    string // of the replica; empty for the common cell
	Task    Task
	Ended   bool
}

// StartTask registers a new task at the replica. The function onChange, if not nil, is called when the task starts,
// changes or ends.
func (rep *Replica) StartTask(tsk Task, onChange func(chg TaskChange)) *LocalTask {
	set := rep.set
	set.mu.Lock()
	set.lastTaskID++
	tsk.ID = set.lastTaskID
	tsk.StartedAt = set.clock.Now()
	rep.localTasks[tsk.ID] = &tsk
	set.addDemand(rep, &tsk, tsk.StartedAt)
	set.mu.Unlock()
	ltk := &LocalTask{replica: rep, task: &tsk, onChange: onChange}
	ltk.notify(tsk, false)
	return ltk
}

// notify passes a change of the task to onChange.
func (ltk *LocalTask) notify(tsk Task, ended bool) {
	if ltk.onChange != nil {
		rep := ltk.replica
		ltk.onChange(TaskChange{Replica: rep.hash, Cell: rep.cell(), Task: tsk, Ended: ended})
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
		tasks[rem.Task.ID] = old
	default:
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

// View is a snapshot of what is known of one replica.
type View struct {
	Replica        *Replica
	Position       int // position in the hash order, which is the same at all processes
	ID             string
	Address        string
	DataCentre     string
	Cell           string // of the replica; empty for the common cell
	Slots          int
	Draining       bool
	WarmUpLeft     time.Duration // remaining warm-up time, during which it is slow
	SlowStart      bool          // it is in a slow start, and no helper for split prompts
	FailureRate    float64       // predicted share of calls that fail
	LatencyRatio   float64       // observed over predicted time, at least 1
	Tasks          []Task
	KVTokens       int           // KV memory in use or reserved
	DecodeTokens   int           // context tokens of the decoding streams
	DecodeStreams  int           // streams that are decoding
	PrefillBacklog time.Duration // predicted time until all prompts there have been prefilled
	SplitBacklog   time.Duration // predicted time until all parts of split prompts there have been prefilled
	SummaryAge     time.Duration // age of the Summary that is part of the view; 0 for none
	// Calls that are known only as a Summary.
	summarizedCalls      int
	summarizedShortCalls int
}

// view returns a snapshot of the replica. The caller holds the lock.
func (rep *Replica) view(position int, now time.Time) View {
	vie := View{
		Replica: rep, Position: position, ID: rep.reg.ID, Address: rep.reg.Address, DataCentre: rep.reg.DataCentre,
		Slots: rep.reg.Slots, FailureRate: rep.health.failureRate(now), LatencyRatio: rep.health.latencyRatio(now),
		WarmUpLeft: rep.warmUpLeft(now), SlowStart: rep.notices.slowStart != nil,
		Tasks: make([]Task, 0, len(rep.localTasks)+len(rep.remoteTasks)),
	}
	rep.removeStaleTasks(now)
	hasSummary := rep.summary.fresh(now)
	addTask := func(tsk *Task) {
		if !hasSummary || !rep.summary.contains(tsk) {
			vie.addTask(tsk)
		}
	}
	for _, tsk := range rep.localTasks {
		addTask(tsk)
	}
	for _, tasks := range rep.remoteTasks {
		for _, tsk := range tasks {
			addTask(tsk)
		}
	}
	vie.PrefillBacklog, vie.SplitBacklog = predictPrefill(vie.Tasks, now)
	if hasSummary {
		rep.summary.addTo(&vie, now)
	}
	return vie
}

// addTask adds a task to the view.
func (vie *View) addTask(tsk *Task) {
	vie.Tasks = append(vie.Tasks, *tsk)
	vie.KVTokens += tsk.KVTokens
	if tsk.Phase == Decode {
		vie.DecodeStreams++
		vie.DecodeTokens += tsk.KVTokens
	}
}
