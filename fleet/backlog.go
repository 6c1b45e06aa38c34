package fleet

import (
	"slices"
	"time"
)

// overdueShare is the share of its prefill time that a whole prompt is assumed to still take after it should have
// ended: that it has not shows that the replica is slower than predicted.
const overdueShare = 0.25

// prefillQueue predicts how far a replica is with the prompts that it was given. It prefills parts of split prompts
// before whole prompts. A new part goes before those that wait. Whole prompts are prefilled in the order of their
// arrival.
//
// While streams are decoded, an iteration of the engine takes as long as all the prefill that it has begun with. What
// is in progress is then not interrupted by a new part. Otherwise iterations are short, and it is.
type prefillQueue struct {
	tasks       []Task
	at          time.Time // up to which the prefill has been predicted
	parts       []int     // indices of unfinished parts, the one to be prefilled first last
	whole       []int     // indices of unfinished whole prompts, the one to be prefilled first first
	hasStreams  bool      // streams are decoded
	uninterrupt int       // index of the task that is in progress and not interrupted; -1 for none
}

// advance predicts the prefill up to the given time.
func (que *prefillQueue) advance(until time.Time) {
	left := until.Sub(que.at)
	que.at = until
	for left > 0 {
		idx := que.inProgress()
		if idx < 0 {
			return
		}
		if que.hasStreams {
			que.uninterrupt = idx
		}
		next := &que.tasks[idx]
		done := min(left, next.PrefillLeft)
		next.PrefillLeft -= done
		left -= done
		if next.PrefillLeft == 0 {
			que.remove(idx)
		}
	}
}

// inProgress returns the index of the task that is being prefilled, or -1.
func (que *prefillQueue) inProgress() int {
	switch {
	case que.uninterrupt >= 0:
		return que.uninterrupt
	case len(que.parts) > 0:
		return que.parts[len(que.parts)-1]
	case len(que.whole) > 0:
		return que.whole[0]
	}
	return -1
}

// remove removes a task that has been prefilled.
func (que *prefillQueue) remove(idx int) {
	isIt := func(other int) bool { return other == idx }
	que.parts, que.whole = slices.DeleteFunc(que.parts, isIt), slices.DeleteFunc(que.whole, isIt)
	que.uninterrupt = -1
}

// add adds a task that has just arrived.
func (que *prefillQueue) add(idx int) {
	tsk := &que.tasks[idx]
	tsk.PrefillLeft = tsk.PrefillTime
	if tsk.SplitPrompt {
		que.parts = append(que.parts, idx)
		return
	}
	que.whole = append(que.whole, idx)
}

// addWaitingTimes adds to the prefill time that is left for each task what goes before it. It returns the total, that
// of the parts, and what is in progress and goes before any new part.
func (que *prefillQueue) addWaitingTimes() (all, parts, inProgress time.Duration) {
	if que.uninterrupt >= 0 {
		inProgress = que.tasks[que.uninterrupt].PrefillLeft
	}
	all = inProgress
	addWaiting := func(idx int) {
		if idx != que.uninterrupt {
			all += que.tasks[idx].PrefillLeft
			que.tasks[idx].PrefillLeft = all
		}
	}
	for _, idx := range slices.Backward(que.parts) {
		addWaiting(idx)
	}
	if len(que.parts) > 0 {
		parts = all
	}
	for _, idx := range que.whole {
		addWaiting(idx)
	}
	return all, parts, inProgress
}

// predictPrefill sets the time after which each task is predicted to be prefilled, and in the view the time until all
// of them are, until all parts of split prompts are, and the rest of what is in progress. It sorts the tasks of the
// view by their start.
func (vie *View) predictPrefill(now time.Time) {
	tasks := vie.Tasks
	slices.SortFunc(tasks, func(one, two Task) int { return one.StartedAt.Compare(two.StartedAt) })
	que := prefillQueue{tasks: tasks, hasStreams: vie.DecodeStreams > 0, uninterrupt: -1}
	for idx := range tasks {
		if tasks[idx].Phase == Prefill {
			que.advance(tasks[idx].StartedAt)
			que.add(idx)
		}
	}
	que.advance(now)
	vie.PrefillBacklog, vie.SplitBacklog, vie.PrefillInProgress = que.addWaitingTimes()
	for idx := range tasks {
		tsk := &tasks[idx]
		// A part may have ended long before its prompt, whose other parts are prefilled elsewhere.
		if tsk.Phase == Prefill && tsk.PrefillLeft == 0 && !tsk.SplitPrompt {
			tsk.PrefillLeft = time.Duration(overdueShare * float64(tsk.PrefillTime))
			vie.PrefillBacklog += tsk.PrefillLeft
		}
	}
}
