package place

import "time"

// Penalties by which placements are compared, as shares of the value of the call unless stated otherwise.
const (
	// PartValueShare is the share of a call's value that counts for each of its parts: a delay of any of them delays
	// the whole call, but one call often delays several.
	PartValueShare = 0.7

	valueTokens = 10000 // tokens that double the value of a very short prompt
	// latePenalty is the share of its value that a call loses when it misses a target.
	latePenalty = 0.75
	// failurePenalty is lost when a replica fails the call, which is then retried at another one.
	failurePenalty = 0.8
	// remotePenalty stands for the cost of traffic between data centres. It is in units of call value.
	remotePenalty = 0.01
	// maxJitterPenalty is the largest random penalty, in units of call value.
	maxJitterPenalty = 0.08
	// slotPenalty is the penalty for a replica whose slots are all occupied, in units of call value. It is proportional
	// to the share of occupied slots, so that calls spread over replicas that are otherwise equal.
	slotPenalty = 0.06
	// longReplicaPenalty keeps short calls off the replicas that are left to long prompts. It is in units of call
	// value.
	longReplicaPenalty = 0.5
	// helperPenalty stands for the risk of failure that each helper adds.
	helperPenalty = 0.0015
	// earlyWaitPenalty is lost when the first event takes the whole latency target, and in proportion when it takes
	// less. It prefers the earlier of two placements that are both on time.
	earlyWaitPenalty = 0.15
	// deferPenalty is the penalty above which a long prompt waits for a better placement.
	deferPenalty = 0.5
	// elsewherePenalty is the penalty above which a call is also considered for other cells.
	elsewherePenalty = 0.35
	// delayPenalty is lost when the first event of another call is delayed by its whole latency target, and in
	// proportion when it is delayed by less.
	delayPenalty = 1.0
	// overduePenalty is multiplied by the time that the first event takes beyond the latency target, as a ratio of the
	// target.
	overduePenalty = 0.06
)

// Ratios of a predicted time to its target. The probability of missing the target rises from 0 at missFromRatio to 1 at
// missCertainRatio, which leaves a margin for errors of the prediction.
const (
	missFromRatio    = 0.5
	missCertainRatio = 1.0
)

// minLatencyTarget limits the penalty for calls whose latency target is short or has passed.
const minLatencyTarget = 100 * time.Millisecond

// missProbability returns the probability that something whose predicted time is given misses its target.
func missProbability(predicted, target time.Duration) float64 {
	if target <= 0 {
		return 1
	}
	ratio := float64(predicted) / float64(target)
	return min(max((ratio-missFromRatio)/(missCertainRatio-missFromRatio), 0), 1)
}
