package retry

import (
	"sync"
	"time"

	"github.com/tarragonwheel/tarragonwheel/timer"
)

// SharedLimits are the limits on retries that hold for all processes together.
type SharedLimits struct {
	Ratio  float64       // retries for each first attempt
	Extra  float64       // further retries in a window
	Window time.Duration // span over which both are counted
}

// ratioMargin is the part of SharedLimits.Ratio that is used, since first attempts and retries fall into windows
// unevenly.
const ratioMargin = 0.7

// SharedBudget is one process's part of a retry budget that all processes share. They keep to the limits without asking
// one another, because each uses only its own part. It is safe for concurrent use.
type SharedBudget struct {
	clock   *timer.Service
	terms   func() SharedLimits
	sharers func() int
	mu      sync.Mutex
	left    float64
	updated time.Time
}

// NewSharedBudget returns a full SharedBudget. The function trm returns the limits, which may change, and sharers
// returns how many processes share the budget.
func NewSharedBudget(clk *timer.Service, trm func() SharedLimits, sharers func() int) *SharedBudget {
	shr := &SharedBudget{clock: clk, terms: trm, sharers: sharers, updated: clk.Now()}
	shr.left = shr.most()
	return shr
}

// most is the largest number of repeats that may be saved up. It is half of the process's part, because a window can
// see both what was saved up and what is refilled meanwhile.
func (shr *SharedBudget) most() float64 {
	return max(shr.terms().Extra/float64(2*max(shr.sharers(), 1)), 1)
}

func (shr *SharedBudget) refill() {
	now := shr.clock.Now()
	most := shr.most()
	if shr.terms().Window > 0 {
		shr.left += most * float64(now.Sub(shr.updated)) / float64(shr.terms().Window)
	}
	shr.left = min(shr.left, most)
	shr.updated = now
}

// RecordFirstAttempt refills the budget for a first attempt.
func (shr *SharedBudget) RecordFirstAttempt() {
	shr.mu.Lock()
	defer shr.mu.Unlock()
	shr.refill()
	shr.left = min(shr.left+shr.terms().Ratio*ratioMargin, shr.most())
}

// TakeRetry takes a retry from the budget, or returns false if none is left.
func (shr *SharedBudget) TakeRetry() bool {
	shr.mu.Lock()
	defer shr.mu.Unlock()
	shr.refill()
	if shr.left < 1 {
		return false
	}
	shr.left--
	return true
}
