package fleet

import "time"

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
	// PrefillInProgress is the predicted rest of the prefill in progress that goes before any new part, as streams are
	// decoded.
	PrefillInProgress time.Duration
	SummaryAge        time.Duration // age of the Summary that is part of the view; 0 for none
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
	vie.predictPrefill(now)
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
