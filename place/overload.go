package place

import (
	"math"
	"time"

	"github.com/tarragonwheel/tarragonwheel/fleet"
)

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
	cost := pln.interference
	if dec.price() > 0 { // What others lose counts more for an account above its share, as the price does.
		cost *= dec.req.priceFactor()
	}
	return earned - cost - dec.price()*prefill.Seconds()
}

// price returns the value that a second of prefill costs the call.
func (dec *decision) price() float64 { return dec.req.priceFactor() * costPerS(dec.backlog) }

// priceFactor returns the factor by which the call pays more than the value that a second of prefill costs later calls.
func (req *Request) priceFactor() float64 {
	if req.PriceFactor <= 0 {
		return 1
	}
	return req.PriceFactor
}

// costPerS returns the value that a second of prefill costs calls that come later, with the given mean prefill backlog.
func costPerS(backlog time.Duration) float64 {
	load := float64(backlog-idleBacklog) / float64(busyBacklog-idleBacklog)
	return busyCostPerS * min(max(load, 0), 1)
}

// predictBacklog sets the mean prefill backlog and predicts how long it stays above the busy level. Each replica
// prefills for a second per second, less the long prompts that arrive meanwhile.
func (dec *decision) predictBacklog(loads fleet.PrefillLoads) {
	for idx := range dec.views {
		dec.backlog += dec.views[idx].PrefillBacklog
	}
	dec.backlog /= time.Duration(len(dec.views))
	arriving := 0.0
	for name := range dec.cells {
		arriving += loads[name]
	}
	dec.busyFor = scale(max(dec.backlog-busyBacklog, 0), 1/(1-splitLoad(len(dec.views), arriving)))
}

// mayEarnPrice tells whether the call may be worth its price after it has waited for the given time. The backlog is
// lower by that time then at best.
func (dec *decision) mayEarnPrice(wait time.Duration) bool {
	price := dec.req.priceFactor() * costPerS(dec.backlog-max(wait, 0))
	return dec.value >= price*dec.eng.PrefillTime(dec.req.PromptTokens).Seconds()
}

// shareLimit returns the longest predicted time to the first event with which a placement is accepted on busy replicas,
// if it is the given time for an account that has no more than its share. For an account with twice its share, a short
// call must be on time. A long prompt must certainly be on time, and the backlog leave room for two others like it, so
// that the queues are left to those who have had less.
func (dec *decision) shareLimit(limit time.Duration) time.Duration {
	factor := dec.req.priceFactor()
	onTime, room := scale(dec.req.LatencyTarget, missCertainRatio), time.Duration(0)
	if dec.eng.PrefillTime(dec.req.PromptTokens) >= fleet.LongPrefill {
		onTime, room = scale(dec.req.LatencyTarget, missFromRatio), backlogRoom*dec.backlog
	}
	least := max(onTime, limit/leastLimitDivisor)
	if factor <= 1 || least >= limit {
		return limit
	}
	ratio := float64(least) / float64(limit)
	excess := math.Log2(factor)
	return scale(limit, math.Pow(ratio, excess)) - scale(room, excess)
}

// backlogRoom is the number of mean backlogs that must fit into the time of a call of an account with twice its share.
// A lower one lets a flood of one account fill the queues, so that more calls of others are refused. A higher one also
// refuses calls of equal accounts, whose recent work differs by chance.
const backlogRoom = 2

// leastLimitDivisor bounds what shareLimit takes from the time of a call that has already missed its latency target.
const leastLimitDivisor = 8
