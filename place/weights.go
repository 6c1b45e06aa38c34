package place

import "time"

// Weights of the choice, as shares of a call's value unless stated otherwise.
const (
	// PartValueShare is the share of a call's value that is lost when one of its parts is late.
	PartValueShare = 0.4

	valueTokens = 10000 // tokens that double the value of a very short prompt
	// lateLoss is the share of its value that a late call loses.
	lateLoss = 0.75
	// failLoss is lost when a replica fails the call, which is then tried elsewhere.
	failLoss = 0.8
	// farLoss stands for the price of bytes between data centres.
	farLoss = 0.01
	// jitterLoss is the largest random loss.
	jitterLoss = 0.08
	// slotLoss is lost for each share of a replica's slots in use, so that equal choices spread.
	slotLoss = 0.06
	// longZoneLoss keeps short calls off the replicas that long prompts need.
	longZoneLoss = 0.5
	// helperLoss is the risk that each further helper adds.
	helperLoss = 0.0015
	// earlyLoss prefers the earlier of two choices that are both on time.
	earlyLoss = 0.15
	// deferLoss is the loss above which a long prompt waits for a better choice.
	deferLoss = 0.5
	// overdueLoss is lost for each span as long as the goal by which the first event is late.
	overdueLoss = 0.06
)

// Lateness is predicted with a margin: it begins below the goal and is certain above it.
const (
	lateFrom  = 0.5
	lateUntil = 1.0
)

// shortestGoal bounds the loss of calls whose goal is past.
const shortestGoal = 100 * time.Millisecond

// late returns the predicted probability that something that takes so long misses its goal.
func late(takes, goal time.Duration) float64 {
	if goal <= 0 {
		return 1
	}
	ratio := float64(takes) / float64(goal)
	return min(max((ratio-lateFrom)/(lateUntil-lateFrom), 0), 1)
}
