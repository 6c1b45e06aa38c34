package retry

import (
	"sync"
	"time"

	"github.com/tarragonwheel/tarragonwheel/timer"
)

// Terms are the limits on repeats that hold for all processes together.
type Terms struct {
	Ratio  float64       // repeats for each first attempt
	Extra  float64       // further repeats in a window
	Window time.Duration // span over which both are counted
}

// ratioMargin is the part of Terms.Ratio that is used, since first attempts and repeats fall into windows unevenly.
const ratioMargin = 0.7

// Share is one process's part of a budget of repeats. All processes keep to the terms without asking one another,
// because each uses only its own part. It is safe for concurrent use.
type Share struct {
	clock   *timer.Service
	terms   func() Terms
	sharers func() int
	mu      sync.Mutex
	left    float64
	updated time.Time
}

// NewShare returns a full Share. The function trm returns the limits, which may change, and sharers returns how many
// processes share the budget.
func NewShare(clk *timer.Service, trm func() Terms, sharers func() int) *Share {
	shr := &Share{clock: clk, terms: trm, sharers: sharers, updated: clk.Now()}
	shr.left = shr.most()
	return shr
}

// most is the largest number of repeats that may be saved up. It is half of the process's part, because a window can
// see both what was saved up and what is refilled meanwhile.
func (shr *Share) most() float64 {
	return max(shr.terms().Extra/float64(2*max(shr.sharers(), 1)), 1)
}

func (shr *Share) refill() {
	now := shr.clock.Now()
	most := shr.most()
	if shr.terms().Window > 0 {
		shr.left += most * float64(now.Sub(shr.updated)) / float64(shr.terms().Window)
	}
	shr.left = min(shr.left, most)
	shr.updated = now
}

// First counts a first attempt.
func (shr *Share) First() {
	shr.mu.Lock()
	defer shr.mu.Unlock()
	shr.refill()
	shr.left = min(shr.left+shr.terms().Ratio*ratioMargin, shr.most())
}

// Take takes a repeat from the share, or returns false if none is left.
func (shr *Share) Take() bool {
	shr.mu.Lock()
	defer shr.mu.Unlock()
	shr.refill()
	if shr.left < 1 {
		return false
	}
	shr.left--
	return true
}
