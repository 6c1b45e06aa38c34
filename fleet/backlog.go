package fleet

import (
	"slices"
	"time"
)

// overdueShare is the share of its prefill time that a whole prompt is assumed to still take after it should have
// ended: that it has not shows that the replica is slower than predicted.
const overdueShare = 0.25

// prefillQueue predicts how far a replica is with the prompts that it was given. It prefills parts of split prompts
// before whole prompts. A new part goes before those that wait, which was found by comparing predictions with
// responses. Whole prompts are prefilled in the order of their arrival.
type prefillQueue struct {
	tasks []Task
	at    time.Time // up to which the prefill has been predicted
	parts []int     // indices of unfinished parts, the one in progress last
	whole []int     // indices of unfinished whole prompts, the one in progress first
}

// advance predicts the prefill up to the given time.
func (que *prefillQueue) advance(until time.Time) {
	left := until.Sub(que.at)
	que.at = until
	for left > 0 {
		next := que.inProgress()
		if next == nil {
			return
		}
		done := min(left, next.PrefillLeft)
		next.PrefillLeft -= done
		left -= done
		if next.PrefillLeft == 0 {
			que.removeInProgress()
		}
	}
}

// inProgress returns the task that is being prefilled, or nil.
func (que *prefillQueue) inProgress() *Task {
	switch {
	case len(que.parts) > 0:
		return &que.tasks[que.parts[len(que.parts)-1]]
	case len(que.whole) > 0:
		return &que.tasks[que.whole[0]]
	}
	return nil
}

func (que *prefillQueue) removeInProgress() {
	if len(que.parts) > 0 {
		que.parts = que.parts[:len(que.parts)-1]
		return
	}
	que.whole = que.whole[1:]
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

// addWaitingTimes adds to the prefill time that is left for each task what goes before it. It returns the total, and
// the total of the parts.
func (que *prefillQueue) addWaitingTimes() (all, parts time.Duration) {
	for _, idx := range slices.Backward(que.parts) {
		parts += que.tasks[idx].PrefillLeft
		que.tasks[idx].PrefillLeft = parts
	}
	all = parts
	for _, idx := range que.whole {
		all += que.tasks[idx].PrefillLeft
		que.tasks[idx].PrefillLeft = all
	}
	return all, parts
}

// predictPrefill sets the time after which each task is predicted to be prefilled. It returns the time until all of
// them are, and until all parts of split prompts are. It sorts the tasks by their start.
func predictPrefill(tasks []Task, now time.Time) (all, parts time.Duration) {
	slices.SortFunc(tasks, func(one, two Task) int { return one.StartedAt.Compare(two.StartedAt) })
	que := prefillQueue{tasks: tasks}
	for idx := range tasks {
		if tasks[idx].Phase == Prefill {
			que.advance(tasks[idx].StartedAt)
			que.add(idx)
		}
	}
	que.advance(now)
	all, parts = que.addWaitingTimes()
	for idx := range tasks {
		tsk := &tasks[idx]
		// A part may have ended long before its prompt, whose other parts are prefilled elsewhere.
		if tsk.Phase == Prefill && tsk.PrefillLeft == 0 && !tsk.SplitPrompt {
			tsk.PrefillLeft = time.Duration(overdueShare * float64(tsk.PrefillTime))
			all += tsk.PrefillLeft
		}
	}
	return all, parts
}
