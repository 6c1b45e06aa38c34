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
	SplitPrompt  bool          // its prompt is split, and engines process parts before whole prompts
	KVTokens     int           // KV memory that it will use at this replica
	PrefillTime  time.Duration // predicted time to process its prompt
	DueAt        time.Time     // when its first event is due; zero for none
	GapTarget    time.Duration // longest pause between events that meets the target; 0 for none
	Value        float64       // what its being on time is worth
	TargetMissed bool          // it has missed its target already, so that further delay costs nothing
	StartedAt    time.Time
	heard        time.Time // when another process last said that it has this work
}

// LocalTask is a task that this process has started.
type LocalTask struct {
	replica *Replica
	work    *Task
	onMove  func(rep uint32, wrk Task, ended bool)
}

// StartTask registers a new task at the replica. The function onMove, if not nil, is called on each change of it.
func (rep *Replica) StartTask(wrk Task, onMove func(rep uint32, wrk Task, ended bool)) *LocalTask {
	grp := rep.group
	grp.mu.Lock()
	grp.works++
	wrk.ID = grp.works
	wrk.StartedAt = grp.clock.Now()
	rep.works[wrk.ID] = &wrk
	grp.demand.add(&wrk, wrk.StartedAt)
	grp.mu.Unlock()
	tkt := &LocalTask{replica: rep, work: &wrk, onMove: onMove}
	tkt.tell(wrk, false)
	return tkt
}

func (tkt *LocalTask) tell(wrk Task, ended bool) {
	if tkt.onMove != nil {
		tkt.onMove(tkt.replica.hash, wrk, ended)
	}
}

// MarkDecoding records that the first event has come.
func (tkt *LocalTask) MarkDecoding() {
	tkt.change(func(wrk *Task) { wrk.Phase = Decode })
}

// MarkTargetMissed records that the call has missed its target, so that its further delay costs nothing.
func (tkt *LocalTask) MarkTargetMissed() {
	tkt.change(func(wrk *Task) { wrk.TargetMissed = true })
}

func (tkt *LocalTask) change(fn func(wrk *Task)) {
	grp := tkt.replica.group
	grp.mu.Lock()
	fn(tkt.work)
	wrk := *tkt.work
	grp.mu.Unlock()
	tkt.tell(wrk, false)
}

// End removes the task.
func (tkt *LocalTask) End() {
	grp := tkt.replica.group
	grp.mu.Lock()
	delete(tkt.replica.works, tkt.work.ID)
	wrk := *tkt.work
	grp.mu.Unlock()
	tkt.tell(wrk, true)
}

// RemoteTask is a task of another process.
type RemoteTask struct {
	Replica      uint32 // hash of the replica's ID
	Task         Task
	Ended        bool
	ProgressOnly bool // only the phase, the missed target and the end of the task are known
}

// staleAfter is the time after which a work of another process is dropped unless it is heard of again. Processes repeat
// all that they have every two seconds, and datagrams may be lost.
const staleAfter = 4500 * time.Millisecond

// ApplyRemoteTasks records tasks of another process, and which of them have ended.
func (flt *Fleet) ApplyRemoteTasks(peer string, list []RemoteTask) {
	now := flt.clock.Now()
	for _, rem := range list {
		if rep := flt.hearer(peer, rem, now); rep != nil {
			rep.hear(peer, rem, now)
		}
	}
}

// hearer returns the replica that a work is at. It keeps the work for later and returns nil if the replica is not
// registered here.
func (flt *Fleet) hearer(peer string, rem RemoteTask, now time.Time) *Replica {
	flt.mu.Lock()
	defer flt.mu.Unlock()
	rep := flt.byHash[rem.Replica]
	if rep == nil {
		flt.early.keep(peer, rem, now)
	}
	return rep
}

func (rep *Replica) hear(peer string, rem RemoteTask, now time.Time) {
	grp := rep.group
	grp.mu.Lock()
	defer grp.mu.Unlock()
	works := rep.remote[peer]
	if works == nil {
		works = make(map[uint32]*Task)
		rep.remote[peer] = works
	}
	if rem.Ended {
		delete(works, rem.Task.ID)
		return
	}
	old := works[rem.Task.ID]
	switch {
	case rem.ProgressOnly && old == nil:
		return // Its beginning was lost or comes later; the process repeats it.
	case rem.ProgressOnly:
		old.Phase, old.TargetMissed = rem.Task.Phase, rem.Task.TargetMissed
	case old == nil:
		if now.Sub(rem.Task.StartedAt) < staleAfter {
			grp.demand.add(&rem.Task, now)
		}
		old = &rem.Task
		works[rem.Task.ID] = old
	default:
		*old = rem.Task
	}
	old.heard = now
}

// dropStale removes the works of other processes that have not been heard of for a while.
func (rep *Replica) dropStale(now time.Time) {
	for _, works := range rep.remote {
		for id, wrk := range works {
			if now.Sub(wrk.heard) > staleAfter {
				delete(works, id)
			}
		}
	}
}

// RemovePeer removes the tasks of another process.
func (flt *Fleet) RemovePeer(peer string) {
	flt.mu.Lock()
	flt.early.forget(peer)
	flt.mu.Unlock()
	for _, grp := range flt.all() {
		grp.mu.Lock()
		for _, rep := range grp.members {
			delete(rep.remote, peer)
		}
		grp.mu.Unlock()
	}
}

// LocalTasks returns all tasks of this process, to be sent to other processes.
func (flt *Fleet) LocalTasks() []RemoteTask {
	var list []RemoteTask
	for _, grp := range flt.all() {
		grp.mu.Lock()
		for _, rep := range grp.members {
			for _, wrk := range rep.works {
				list = append(list, RemoteTask{Replica: rep.hash, Task: *wrk})
			}
		}
		grp.mu.Unlock()
	}
	return list
}

// View is what is known of one replica at one moment.
type View struct {
	Replica        *Replica
	Position       int // position in the hash order, which is the same at all processes
	ID             string
	Address        string
	DataCentre     string
	Slots          int
	Draining       bool
	WarmUpLeft     time.Duration // remaining warm-up time, during which it is slow
	FailureRate    float64       // predicted share of calls that fail
	LatencyRatio   float64       // observed over predicted time, at least 1
	Tasks          []Task
	KVTokens       int           // KV memory in use or reserved
	DecodeTokens   int           // context tokens of the decoding streams
	DecodeStreams  int           // streams that are decoding
	PrefillBacklog time.Duration // predicted time until all prompts there have been prefilled
	SplitBacklog   time.Duration // predicted time until all parts of split prompts there have been prefilled
}

// Views returns a view of each replica of the service that still takes calls.
func (grp *Group) Views() []View {
	grp.mu.Lock()
	defer grp.mu.Unlock()
	now := grp.clock.Now()
	list := make([]View, 0, len(grp.members))
	for rank, rep := range grp.members {
		if rep.reg.Draining {
			continue
		}
		list = append(list, rep.view(rank, now))
	}
	return list
}

func (rep *Replica) view(rank int, now time.Time) View {
	vie := View{
		Replica: rep, Position: rank, ID: rep.reg.ID, Address: rep.reg.Address, DataCentre: rep.reg.DataCentre,
		Slots: rep.reg.Slots, FailureRate: rep.health.risk(now), LatencyRatio: rep.health.slowness(now),
		WarmUpLeft: max(rep.reg.WarmUpLeft-now.Sub(rep.started), 0),
		Tasks:      make([]Task, 0, len(rep.works)+len(rep.remote)),
	}
	rep.dropStale(now)
	all, ahead := reading{oldest: now}, reading{oldest: now}
	for _, wrk := range rep.works {
		vie.count(wrk, &all, &ahead)
	}
	for _, works := range rep.remote {
		for _, wrk := range works {
			vie.count(wrk, &all, &ahead)
		}
	}
	vie.PrefillBacklog = all.left(now)
	vie.SplitBacklog = min(ahead.left(now), vie.PrefillBacklog)
	return vie
}

// reading is a sum of prompts that have not been read.
type reading struct {
	sum    time.Duration
	oldest time.Time // when the first of them came
}

func (rdg *reading) add(wrk *Task) {
	rdg.sum += wrk.PrefillTime
	if wrk.StartedAt.Before(rdg.oldest) {
		rdg.oldest = wrk.StartedAt
	}
}

// left returns what is left of the sum. The replica has been reading since the first prompt came, but a prediction that
// is past shows that it is slower.
func (rdg *reading) left(now time.Time) time.Duration {
	return max(rdg.sum-now.Sub(rdg.oldest), rdg.sum/4)
}

func (vie *View) count(wrk *Task, all, ahead *reading) {
	vie.Tasks = append(vie.Tasks, *wrk)
	vie.KVTokens += wrk.KVTokens
	if wrk.Phase == Decode {
		vie.DecodeStreams++
		vie.DecodeTokens += wrk.KVTokens
		return
	}
	all.add(wrk)
	if wrk.SplitPrompt {
		ahead.add(wrk)
	}
}
