package fleet

import "time"

// Summary is the load of one replica without its single tasks. Processes of a cell send it to those of other cells,
// which place calls there only if their own cell is busy.
type Summary struct {
	Replica        uint32 // hash of the replica's ID
	Calls          int    // in flight, without parts of split prompts
	ShortCalls     int    // of these, those with a short prefill
	DecodeStreams  int
	DecodeTokens   int
	KVTokens       int
	PrefillBacklog time.Duration
	SplitBacklog   time.Duration
	DecodeValue    float64       // value of the decoding streams that have not missed their target
	GapTarget      time.Duration // the shortest of these streams
	PrefillValue   float64       // value of the calls in prefill that have not missed their target
	DueIn          time.Duration // until the first event of the most urgent of these calls is due
	receivedAt     time.Time
}

// Times that apply to summaries.
const (
	// summaryTimeout is the age at which a summary is dropped.
	summaryTimeout = 4 * time.Second
	// summaryDelay is the time within which a new task is part of the summaries that arrive.
	summaryDelay = 60 * time.Millisecond
)

// Summaries returns the load of all replicas that belong to the cell of the given data centre. It returns none for the
// common cell, whose processes all know each task.
func (flt *Fleet) Summaries(dataCentre string) []Summary {
	var list []Summary
	for _, set := range flt.allReplicaSets() {
		for _, vie := range set.viewsIf(func(cell string, _ *Replica) bool {
			return cell != commonCell && cell == dataCentre
		}) {
			list = append(list, vie.summary(set.clock.Now()))
		}
	}
	return list
}

// summary returns the load in the view.
func (vie *View) summary(now time.Time) Summary {
	sum := Summary{
		Replica: vie.Replica.hash, Calls: vie.Calls(), ShortCalls: vie.ShortCalls(),
		DecodeStreams: vie.DecodeStreams, DecodeTokens: vie.DecodeTokens, KVTokens: vie.KVTokens,
		PrefillBacklog: vie.PrefillBacklog, SplitBacklog: vie.SplitBacklog,
	}
	for idx := range vie.Tasks {
		tsk := &vie.Tasks[idx]
		switch {
		case tsk.TargetMissed:
		case tsk.Phase == Decode && tsk.GapTarget > 0:
			sum.DecodeValue += tsk.Value
			sum.GapTarget = leastPositive(sum.GapTarget, tsk.GapTarget)
		case tsk.Phase == Prefill && tsk.DueAt.After(now):
			sum.PrefillValue += tsk.Value
			sum.DueIn = leastPositive(sum.DueIn, tsk.DueAt.Sub(now))
		}
	}
	return sum
}

// leastPositive returns the shorter of two times, of which the first may be 0 for none.
func leastPositive(one, two time.Duration) time.Duration {
	if one == 0 {
		return two
	}
	return min(one, two)
}

// ApplySummaries records the load of replicas in other cells.
func (flt *Fleet) ApplySummaries(list []Summary) {
	now := flt.clock.Now()
	for _, sum := range list {
		flt.mu.Lock()
		rep := flt.byHash[sum.Replica]
		flt.mu.Unlock()
		if rep == nil {
			continue // Its registration has not been read yet. The next summary comes soon.
		}
		sum.receivedAt = now
		rep.set.mu.Lock()
		rep.summary = sum
		rep.set.mu.Unlock()
	}
}

// fresh reports whether the summary has been received and has not timed out.
func (sum *Summary) fresh(now time.Time) bool {
	return !sum.receivedAt.IsZero() && now.Sub(sum.receivedAt) < summaryTimeout
}

// contains reports whether the summary includes a task that this process has learned of otherwise.
func (sum *Summary) contains(tsk *Task) bool {
	return tsk.StartedAt.Before(sum.receivedAt.Add(-summaryDelay))
}

// addTo adds the summarized load to a view. Its streams, and its calls in prefill, each become one task, so that the
// delay that further calls cause them counts.
func (sum *Summary) addTo(vie *View, now time.Time) {
	vie.summarizedCalls, vie.summarizedShortCalls = sum.Calls, sum.ShortCalls
	vie.DecodeStreams += sum.DecodeStreams
	vie.DecodeTokens += sum.DecodeTokens
	vie.KVTokens += sum.KVTokens
	age := now.Sub(sum.receivedAt)
	vie.SummaryAge = max(age, 1) // 0 stands for none.
	vie.PrefillBacklog += max(sum.PrefillBacklog-age, 0)
	vie.SplitBacklog += max(sum.SplitBacklog-age, 0)
	if sum.DecodeValue > 0 {
		vie.Tasks = append(vie.Tasks,
			Task{Phase: Decode, Value: sum.DecodeValue, GapTarget: sum.GapTarget, summarized: true})
	}
	if sum.PrefillValue > 0 {
		vie.Tasks = append(vie.Tasks,
			Task{
				Phase: Prefill, Value: sum.PrefillValue, StartedAt: sum.receivedAt,
				DueAt: sum.receivedAt.Add(sum.DueIn), PrefillLeft: vie.PrefillBacklog, summarized: true,
			})
	}
}

// Calls returns the number of calls at the replica that occupy a slot or wait for one. Parts of split prompts take no
// slot.
func (vie *View) Calls() int {
	return vie.summarizedCalls + vie.countTasks(func(tsk *Task) bool { return !tsk.IsPart })
}

// ShortCalls returns the number of calls at the replica whose prefill delays others little.
func (vie *View) ShortCalls() int {
	return vie.summarizedShortCalls +
		vie.countTasks(func(tsk *Task) bool { return !tsk.IsPart && tsk.PrefillTime < LongPrefill })
}

// countTasks returns the number of known tasks that the function accepts.
func (vie *View) countTasks(accept func(tsk *Task) bool) int {
	num := 0
	for idx := range vie.Tasks {
		if tsk := &vie.Tasks[idx]; !tsk.summarized && accept(tsk) {
			num++
		}
	}
	return num
}
