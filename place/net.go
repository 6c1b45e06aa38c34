package place

import "time"

// A second of reading takes more from others the longer the prompts are that the replicas have not read yet.
const (
	// busyPrice is the value that a second of reading takes from others on busy replicas. Prompts of common lengths
	// earn more than that, while a prompt of several hundred thousand tokens, whose reading grows with the square of
	// its length, earns less and makes many others late.
	busyPrice = 3.0
	idleUntil = 200 * time.Millisecond // mean reading time ahead below which replicas count as idle
	busyFrom  = time.Second            // mean reading time ahead above which replicas count as busy
)

// CausesOverload tells whether a call is predicted to take more value from other calls than it earns, so that it should
// be refused.
func (pln *Placement) CausesOverload() bool { return pln.NetValue < 0 }

// net returns the value that a plan is predicted to earn, less what it takes from other calls.
func (chc *choice) net(pln *Placement) float64 {
	earns := chc.value * (1 - lateLoss*late(pln.FirstEvent, chc.job.LatencyTarget))
	work := chc.eng.PrefillTime(chc.job.PromptTokens)
	return earns - pln.harm - chc.workPrice()*work.Seconds()
}

// workPrice returns the value that a second of reading takes from calls that come later.
func (chc *choice) workPrice() float64 {
	var ahead time.Duration
	for idx := range chc.views {
		ahead += chc.views[idx].PrefillBacklog
	}
	ahead /= time.Duration(len(chc.views))
	busy := float64(ahead-idleUntil) / float64(busyFrom-idleUntil)
	return busyPrice * min(max(busy, 0), 1)
}
