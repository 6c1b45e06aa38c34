package place

import (
	"math"
	"time"

	"github.com/tarragonwheel/tarragonwheel/fleet"
)

// maxSplitLoad limits the predicted share of time that engines spend on parts of split prompts. Without the limit,
// whole prompts, which are prefilled after them, would be predicted to wait forever.
const maxSplitLoad = 0.75

// splitLoad returns the share of time that each of the given number of replicas spends on parts of split prompts, if
// longPrefillLoad seconds of prefill arrive per second.
func splitLoad(replicas int, longPrefillLoad float64) float64 {
	return min(longPrefillLoad/float64(max(replicas, 1)), maxSplitLoad)
}

// predictSplitLoads sets the split load of each cell from the prefill time of long prompts that arrives there.
func (dec *decision) predictSplitLoads(loads fleet.PrefillLoads) {
	for name, cel := range dec.cells {
		cel.splitLoad = splitLoad(cel.replicas-cel.shortReplicas, loads[name])
	}
}

// predictIterationTimes predicts how long an iteration of each engine takes if it prefills nothing.
func (dec *decision) predictIterationTimes() {
	dec.iterationTimes = make([]time.Duration, len(dec.views))
	for idx := range dec.views {
		vie := &dec.views[idx]
		dec.iterationTimes[idx] = scale(dec.eng.IterationTime(vie.DecodeStreams, vie.DecodeTokens), vie.LatencyRatio)
	}
}

func scale(dur time.Duration, factor float64) time.Duration {
	return time.Duration(float64(dur) * factor)
}

// role is what a replica does for a call.
type role int

const (
	wholePrompt role = iota // it prefills the prompt alone
	primaryPart             // it prefills a part, and produces the events
	helperPart              // it prefills a part for the primary replica
)

// predictFirstEvent returns the predicted time to the first event if the replica has the given role and prefills for
// the given time. An engine prefills a new part before all that waits there.
func (dec *decision) predictFirstEvent(idx int, prefill time.Duration, rol role) time.Duration {
	vie := &dec.views[idx]
	if rol != wholePrompt {
		prefill += vie.PrefillInProgress
	} else {
		prefill += vie.PrefillBacklog
		if !dec.forShortCalls[idx] { // Parts of split prompts that arrive in the meantime are prefilled first.
			prefill = scale(prefill, 1/(1-dec.cells[vie.Cell].splitLoad))
		}
	}
	firstEvent := scale(prefill, vie.LatencyRatio) + dec.iterationTimes[idx]
	if vie.DecodeStreams > 0 {
		firstEvent += dec.iterationTimes[idx] / 2 // Prefill starts after the iteration in progress.
	}
	if rol == helperPart {
		return firstEvent // A part for another replica takes no slot.
	}
	return firstEvent + dec.slotWait(vie)
}

// slotWait returns the predicted time until a slot is free for one more call.
func (dec *decision) slotWait(vie *fleet.View) time.Duration {
	slots := max(vie.Slots, 1)
	excess := vie.Calls() + 1 - slots // calls that must end before this one gets a slot
	if excess <= 0 {
		return 0
	}
	contextTokens := vie.KVTokens * slots / (slots + excess)
	iterations := dec.meanOutput() / max(dec.eng.StepsPerIteration, 1)
	streamTime := scale(dec.eng.IterationTime(slots, contextTokens), vie.LatencyRatio) * time.Duration(iterations)
	return streamTime * time.Duration(excess) / time.Duration(slots)
}

// meanOutput returns the output in tokens that is assumed of streams whose slot the call waits for.
func (dec *decision) meanOutput() int {
	if dec.eng.MeanOutput > 0 {
		return dec.eng.MeanOutput
	}
	return max(dec.req.OutputTokens, minMeanOutput)
}

// minMeanOutput is the least output in tokens that is assumed of other streams if the operator does not set the mean
// output of the engine.
const minMeanOutput = 1000

// interference returns the value that the other tasks at a replica lose if it prefills for the given time more. A new
// part of a split prompt goes before all that waits there. A whole prompt waits for the others, but an iteration
// prefills all that it can, so that it delays the events of streams.
func (dec *decision) interference(idx int, prefill time.Duration, rol role) float64 {
	vie := &dec.views[idx]
	prefill = scale(prefill, vie.LatencyRatio)
	backlog := dec.iterationTimes[idx] + scale(vie.PrefillBacklog, vie.LatencyRatio)
	valueAtRisk := 0.0
	for num := range vie.Tasks {
		tsk := &vie.Tasks[num]
		switch {
		case tsk.Phase == fleet.Prefill:
			if rol != wholePrompt || !tsk.SplitPrompt {
				left := dec.iterationTimes[idx] + scale(tsk.PrefillLeft, vie.LatencyRatio)
				valueAtRisk += tsk.Value * dec.firstEventDelay(tsk, left, prefill)
			}
		case !tsk.TargetMissed && tsk.GapTarget > 0:
			valueAtRisk += tsk.Value * latePenalty * missIncrease(backlog, prefill, tsk.GapTarget)
		}
	}
	return valueAtRisk
}

// firstEventDelay returns the share of its value that a task loses if the end of its prefill, which is predicted after
// the given time, is delayed.
func (dec *decision) firstEventDelay(tsk *fleet.Task, left, delay time.Duration) float64 {
	if tsk.DueAt.IsZero() || (tsk.IsPart && tsk.PrefillLeft == 0) {
		return 0
	}
	// The first event also waits for the parts that other replicas prefill.
	before := max(left, tsk.ExpectedAt.Sub(dec.req.Now))
	delay = max(left+delay-before, 0)
	target := tsk.DueAt.Sub(tsk.StartedAt)
	left = tsk.DueAt.Sub(dec.req.Now)
	if left <= 0 || tsk.TargetMissed {
		// It still loses by waiting: without this, parts would be put before it until its client disconnects.
		return overduePenalty * float64(delay) / float64(max(target, minLatencyTarget))
	}
	// Calls that come later delay it further, so that a delay counts even if the target can still be met.
	return latePenalty*missIncrease(before, delay, left) +
		delayPenalty*float64(delay)/float64(max(target, minLatencyTarget))
}

// missIncrease returns by how much a delay raises the probability that something misses its target.
func missIncrease(predicted, delay, target time.Duration) float64 {
	return missProbability(predicted+delay, target) - missProbability(predicted, target)
}

// leastLatencyRatio returns the latency ratio of the fastest replica, at least 1.
func (dec *decision) leastLatencyRatio() float64 {
	least := math.Inf(1)
	for idx := range dec.views {
		least = min(least, dec.views[idx].LatencyRatio)
	}
	return max(least, 1)
}
