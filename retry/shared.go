package retry

import (
	"sync"
	"time"

	"github.com/tarragonwheel/tarragonwheel/timer"
)

// SharedLimits limit the retries of all processes together.
type SharedLimits struct {
	Ratio  float64       // retries for each first attempt
	Extra  float64       // retries in a window that are allowed in addition
	Window time.Duration // period over which both limits hold
}

// ratioMargin is the fraction of SharedLimits.Ratio that is used, because first attempts and their retries may fall
// into different windows.
const ratioMargin = 0.7

// SharedBudget is one process's part of a retry budget that all processes share. The processes keep to the limits
// without communication, because each uses only its own part. It is safe for concurrent use.
type SharedBudget struct {
	clock      *timer.Service
	limits     func() SharedLimits
	sharers    func() int
	mu         sync.Mutex
	tokens     float64
	refilledAt time.Time
}

// NewSharedBudget returns a full SharedBudget. The function limits returns the limits, which may change, and sharers
// returns the number of processes that share the budget, which may change too.
func NewSharedBudget(clk *timer.Service, limits func() SharedLimits, sharers func() int) *SharedBudget {
	shr := &SharedBudget{clock: clk, limits: limits, sharers: sharers, refilledAt: clk.Now()}
	shr.tokens = shr.capacity()
	return shr
}

// capacity returns the largest number of unused retries, at least 1. It is half of the process's part of the extra
// retries, because within one window both a full bucket and its refill can be used.
func (shr *SharedBudget) capacity() float64 {
	return max(shr.limits().Extra/float64(2*max(shr.sharers(), 1)), 1)
}

// refill adds the extra retries for the time since the last call, at the rate of one full bucket in a window.
func (shr *SharedBudget) refill() {
	now := shr.clock.Now()
	capacity := shr.capacity()
	if shr.limits().Window > 0 {
		shr.tokens += capacity * float64(now.Sub(shr.refilledAt)) / float64(shr.limits().Window)
	}
	shr.tokens = min(shr.tokens, capacity)
	shr.refilledAt = now
}

// RecordFirstAttempt adds the retries that a first attempt grants.
func (shr *SharedBudget) RecordFirstAttempt() {
	shr.mu.Lock()
	defer shr.mu.Unlock()
	shr.refill()
	shr.tokens = min(shr.tokens+shr.limits().Ratio*ratioMargin, shr.capacity())
}

// TakeRetry takes a retry from the budget, or returns false if none is left.
func (shr *SharedBudget) TakeRetry() bool {
	shr.mu.Lock()
	defer shr.mu.Unlock()
	shr.refill()
	if shr.tokens < 1 {
		return false
	}
	shr.tokens--
	return true
}
