package relay

import (
	"slices"
	"time"

	"github.com/tarragonwheel/tarragonwheel/fleet"
	"github.com/tarragonwheel/tarragonwheel/place"
)

// attemptTasks are the tasks of an attempt: the call at the primary replica, then the prompt parts at helper replicas.
type attemptTasks []*fleet.LocalTask

// startTasks registers the tasks of an attempt, so that they count as load of their replicas. The given one is that at
// the primary replica. With isClaim, the other processes learn of them at once.
func (hdl *callHandler) startTasks(plc *place.Placement, tsk fleet.Task, isClaim bool) attemptTasks {
	start := (*fleet.Replica).StartTask
	if isClaim {
		start = (*fleet.Replica).ClaimTask
	}
	tasks := attemptTasks{start(plc.Primary.Replica, tsk, hdl.opts.OnTaskChange)}
	for _, hlp := range plc.Helpers {
		part := fleet.Task{
			IsPart: true, SplitPrompt: true, KVTokens: hlp.ReserveTokens, PrefillTime: plc.PrefillTime,
			DueAt: tsk.DueAt, ExpectedAt: tsk.ExpectedAt, TargetMissed: tsk.TargetMissed,
			Value: tsk.Value * place.PartValueShare,
		}
		tasks = append(tasks, start(hlp.View.Replica, part, hdl.opts.OnTaskChange))
	}
	return tasks
}

// markDecoding records that prefill is over: the call is decoding, and the tasks of the prompt parts have ended.
func (tks attemptTasks) markDecoding() {
	tks[0].MarkDecoding()
	for _, tsk := range tks[1:] {
		tsk.End()
	}
}

// end ends all tasks.
func (tks attemptTasks) end() {
	for _, tsk := range tks {
		tsk.End()
	}
}

// outranked reports whether another process has claimed one of the replicas for a prompt that goes first, and this one
// has learned of it since the given time.
func (tks attemptTasks) outranked(since time.Time) bool {
	return slices.ContainsFunc(tks, func(tsk *fleet.LocalTask) bool { return tsk.Outranked(since) })
}
