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
	processes  func() int
	mu         sync.Mutex
	tokens     float64
	refilledAt time.Time
}

// NewSharedBudget returns a full SharedBudget. The function limits returns the limits, which may change, and processes
// returns the number of processes that share the budget, which may change too.
func NewSharedBudget(clk *timer.Service, limits func() SharedLimits, processes func() int) *SharedBudget {
	bud := &SharedBudget{clock: clk, limits: limits, processes: processes, refilledAt: clk.Now()}
	bud.tokens = bud.capacity()
	return bud
}

// capacity returns the largest number of unused retries, at least 1. It is half of the process's part of the extra
// retries, because within one window both a full bucket and its refill can be used.
func (bud *SharedBudget) capacity() float64 {
	return max(bud.limits().Extra/float64(2*max(bud.processes(), 1)), 1)
}

// refill adds the extra retries for the time since the last call, at the rate of one full bucket in a window.
func (bud *SharedBudget) refill() {
	now := bud.clock.Now()
	capacity := bud.capacity()
	if bud.limits().Window > 0 {
		bud.tokens += capacity * float64(now.Sub(bud.refilledAt)) / float64(bud.limits().Window)
	}
	bud.tokens = min(bud.tokens, capacity)
	bud.refilledAt = now
}

// RecordFirstAttempt adds the retries that a first attempt grants.
func (bud *SharedBudget) RecordFirstAttempt() {
	bud.mu.Lock()
	defer bud.mu.Unlock()
	bud.refill()
	bud.tokens = min(bud.tokens+bud.limits().Ratio*ratioMargin, bud.capacity())
}

// TakeRetry takes a retry from the budget, or returns false if none is left.
func (bud *SharedBudget) TakeRetry() bool {
	bud.mu.Lock()
	defer bud.mu.Unlock()
	bud.refill()
	if bud.tokens < 1 {
		return false
	}
	bud.tokens--
	return true
}
