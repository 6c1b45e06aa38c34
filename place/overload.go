package place

import "time"

// The value that a second of prefill costs later calls grows with the mean prefill backlog of the replicas, from 0 at
// idleBacklog to busyCostPerS at busyBacklog.
const (
	// busyCostPerS is the value that a second of prefill costs later calls on busy replicas. Prompts of common lengths
	// are worth more than that. A prompt of several hundred thousand tokens, whose prefill time grows with the square
	// of its length, is worth less and makes many other calls miss their target.
	busyCostPerS = 3.0
	idleBacklog  = 200 * time.Millisecond // mean prefill backlog below which replicas count as idle
	busyBacklog  = time.Second            // mean prefill backlog above which replicas count as busy
)

// CausesOverload tells whether the call is predicted to cost other calls more value than it earns, so that it should be
// refused.
func (pln *Placement) CausesOverload() bool { return pln.NetValue < 0 }

// netValue returns the value that the call is predicted to earn with a placement, less what it costs other calls.
func (dec *decision) netValue(pln *Placement) float64 {
	earned := dec.value * (1 - latePenalty*missProbability(pln.FirstEvent, dec.req.LatencyTarget))
	prefill := dec.eng.PrefillTime(dec.req.PromptTokens)
	return earned - pln.interference - dec.prefillCostPerS()*prefill.Seconds()
}

// prefillCostPerS returns the value that a second of prefill costs calls that come later.
func (dec *decision) prefillCostPerS() float64 {
	var backlog time.Duration
	for idx := range dec.views {
		backlog += dec.views[idx].PrefillBacklog
	}
	backlog /= time.Duration(len(dec.views))
	load := float64(backlog-idleBacklog) / float64(busyBacklog-idleBacklog)
	return busyCostPerS * min(max(load, 0), 1)
}
