package place

import (
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

// predictFirstEvent returns the predicted time to the first event if the replica prefills one of the given number of
// parts, which takes it the given time.
func (dec *decision) predictFirstEvent(idx int, prefill time.Duration, parts int) time.Duration {
	vie := &dec.views[idx]
	backlog := vie.SplitBacklog + prefill
	if parts == 1 {
		backlog = vie.PrefillBacklog + prefill
		if !dec.forShortCalls[idx] { // Parts of split prompts that arrive in the meantime are prefilled first.
			backlog = scale(backlog, 1/(1-dec.cells[vie.Cell].splitLoad))
		}
	}
	firstEvent := scale(backlog, vie.LatencyRatio) + dec.iterationTimes[idx]
	if vie.DecodeStreams > 0 {
		firstEvent += dec.iterationTimes[idx] / 2 // Prefill starts after the iteration in progress.
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

// interference returns the value that the other tasks at a replica lose if it prefills for the given time more. A part
// of a split prompt is prefilled beside other parts and before whole prompts, so it delays both; a whole prompt does
// not delay parts.
func (dec *decision) interference(idx int, prefill time.Duration, part bool) float64 {
	vie := &dec.views[idx]
	prefill = scale(prefill, vie.LatencyRatio)
	before := dec.iterationTimes[idx] + scale(vie.PrefillBacklog, vie.LatencyRatio)
	valueAtRisk := 0.0
	for num := range vie.Tasks {
		tsk := &vie.Tasks[num]
		target := tsk.GapTarget
		if tsk.Phase == fleet.Prefill {
			target = tsk.DueAt.Sub(dec.req.Now)
		}
		if tsk.TargetMissed || target <= 0 || (tsk.SplitPrompt && !part) {
			continue
		}
		valueAtRisk += tsk.Value * (missProbability(before+prefill, target) - missProbability(before, target))
	}
	return valueAtRisk * latePenalty
}
