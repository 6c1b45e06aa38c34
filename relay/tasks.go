package relay

import (
	"github.com/tarragonwheel/tarragonwheel/fleet"
	"github.com/tarragonwheel/tarragonwheel/place"
)

// attemptTasks are the tasks of an attempt: the call at the primary replica, then the prompt parts at helper replicas.
type attemptTasks []*fleet.LocalTask

// startTasks registers the tasks of an attempt, so that they count as load of their replicas. The given one is that at
// the primary replica.
func (hdl *callHandler) startTasks(plc *place.Placement, tsk fleet.Task) attemptTasks {
	tasks := attemptTasks{plc.Primary.Replica.StartTask(tsk, hdl.opts.OnTaskChange)}
	for _, hlp := range plc.Helpers {
		part := fleet.Task{
			IsPart: true, SplitPrompt: true, KVTokens: hlp.ReserveTokens, PrefillTime: plc.PrefillTime,
			DueAt: tsk.DueAt, ExpectedAt: tsk.ExpectedAt, TargetMissed: tsk.TargetMissed,
			Value: tsk.Value * place.PartValueShare,
		}
		tasks = append(tasks, hlp.View.Replica.StartTask(part, hdl.opts.OnTaskChange))
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
