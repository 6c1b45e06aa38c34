package fleet

import "time"

// A claim is a long prompt's tasks that are announced to the other processes before the prompt is sent. Processes place
// prompts at the same moment when replicas become free, and learn of each other's tasks only after some milliseconds.
// Those that have claimed the same replicas then agree on which prompt goes first.

// Outranked reports whether another process has a long prefill at the replica of the task that goes before it and that
// this process has learned of since the given time.
func (ltk *LocalTask) Outranked(since time.Time) bool {
	set := ltk.replica.set
	set.mu.Lock()
	defer set.mu.Unlock()
	for _, tasks := range ltk.replica.remoteTasks {
		for _, tsk := range tasks {
			if tsk.learnedAt.After(since) && tsk.isLongPrefill() && tsk.goesBefore(ltk.task) {
				return true
			}
		}
	}
	return false
}

// goesBefore reports whether a claim has precedence over another one. The shorter prefill goes first, which delays the
// others least. All processes must decide alike, so the times are compared as they are exchanged, in milliseconds.
func (tsk *Task) goesBefore(other *Task) bool {
	one, two := tsk.PrefillTime.Milliseconds(), other.PrefillTime.Milliseconds()
	if one != two {
		return one < two
	}
	return tsk.ID < other.ID
}
