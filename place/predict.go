package place

import (
	"time"

	"github.com/tarragonwheel/tarragonwheel/fleet"
)

// mostAheadLoad bounds the predicted share of the time that parts take, so that whole prompts are not predicted to wait
// forever.
const mostAheadLoad = 0.75

func aheadLoad(replicas int, longLoad float64) float64 {
	return min(longLoad/float64(max(replicas, 1)), mostAheadLoad)
}

func (chc *choice) measure() {
	chc.pass = make([]time.Duration, len(chc.views))
	for idx := range chc.views {
		vie := &chc.views[idx]
		chc.pass[idx] = scale(chc.eng.IterationTime(vie.DecodeStreams, vie.DecodeTokens), vie.LatencyRatio)
	}
}

func scale(dur time.Duration, factor float64) time.Duration {
	return time.Duration(float64(dur) * factor)
}

// first returns the predicted time to the first event if the replica reads for so long.
func (chc *choice) first(idx int, read time.Duration, parts int) time.Duration {
	vie := &chc.views[idx]
	reading := vie.SplitBacklog + read
	if parts == 1 {
		reading = vie.PrefillBacklog + read
		if !chc.short[idx] { // Parts that come meanwhile are read first.
			reading = scale(reading, 1/(1-chc.aheadLoad))
		}
	}
	takes := scale(reading, vie.LatencyRatio) + chc.pass[idx]
	if vie.DecodeStreams > 0 {
		takes += chc.pass[idx] / 2 // The pass in progress is over before the prompt is read.
	}
	return takes + chc.slotWait(vie)
}

// slotWait returns the predicted time until a slot is free for one more call.
func (chc *choice) slotWait(vie *fleet.View) time.Duration {
	slots := max(vie.Slots, 1)
	over := seats(vie) + 1 - slots
	if over <= 0 {
		return 0
	}
	context := vie.KVTokens * slots / (slots + over)
	passes := chc.usualOutput() / max(chc.eng.StepsPerIteration, 1)
	stream := scale(chc.eng.IterationTime(slots, context), vie.LatencyRatio) * time.Duration(passes)
	return stream * time.Duration(over) / time.Duration(slots)
}

// usualOutput returns the output in tokens that other streams are taken to have.
func (chc *choice) usualOutput() int {
	if chc.eng.MeanOutput > 0 {
		return chc.eng.MeanOutput
	}
	return max(chc.job.OutputTokens, leastOutput)
}

// leastOutput is the least output in tokens that other streams are taken to have where the operator does not say what
// is usual.
const leastOutput = 1000

// seats returns the number of slots that are taken or waited for. Parts of prompts take none.
func seats(vie *fleet.View) int {
	num := 0
	for idx := range vie.Tasks {
		if !vie.Tasks[idx].IsPart {
			num++
		}
	}
	return num
}

// harm returns the value that the other works on a replica lose if it reads for so long more. A part of a split prompt
// is read beside other parts and before whole prompts, so that it delays both.
func (chc *choice) harm(idx int, read time.Duration, part bool) float64 {
	vie := &chc.views[idx]
	read = scale(read, vie.LatencyRatio)
	before := chc.pass[idx] + scale(vie.PrefillBacklog, vie.LatencyRatio)
	loss := 0.0
	for widx := range vie.Tasks {
		wrk := &vie.Tasks[widx]
		goal := wrk.GapTarget
		if wrk.Phase == fleet.Prefill {
			goal = wrk.DueAt.Sub(chc.job.Now)
		}
		if wrk.TargetMissed || goal <= 0 || (wrk.SplitPrompt && !part) {
			continue
		}
		loss += wrk.Value * (late(before+read, goal) - late(before, goal))
	}
	return loss * lateLoss
}
