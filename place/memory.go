package place

import "github.com/tarragonwheel/tarragonwheel/fleet"

// memoryMargin is the share of an engine's memory that is not promised, since outputs are predicted.
const memoryMargin = 0.04

// free returns the memory in tokens that a replica can still promise.
func (chc *choice) free(vie *fleet.View) int {
	return int(float64(chc.eng.MemoryTokens)*(1-memoryMargin)) - vie.KVTokens
}

// holder returns the best option that holds the whole prompt and its output, or -1.
func (chc *choice) holder(opts []option, parts int) int {
	need := chc.job.PromptTokens + chc.job.OutputTokens
	for num, opt := range opts {
		if chc.free(&chc.views[opt.idx]) >= need {
			return num
		}
	}
	// An engine never takes a prompt that exceeds its memory, but it makes room in time for one that does not.
	if need <= chc.eng.MemoryTokens && parts == 1 {
		return 0
	}
	return -1
}

// reserve spreads a prompt that no replica can hold alone over the helpers, largest free memory first. What the
// reservations do not hold lies at the first replica.
func (chc *choice) reserve(pln *Placement) bool {
	rest := chc.job.PromptTokens + chc.job.OutputTokens
	rest -= max(chc.free(&pln.Primary), 0)
	for rest > 0 {
		best := -1
		for idx := range pln.Helpers {
			hlp := &pln.Helpers[idx]
			if hlp.ReserveTokens == 0 && (best < 0 || chc.free(&hlp.View) > chc.free(&pln.Helpers[best].View)) {
				best = idx
			}
		}
		if best < 0 {
			return false
		}
		room := chc.free(&pln.Helpers[best].View)
		if room < leastPart {
			return false
		}
		pln.Helpers[best].ReserveTokens = min(room, max(rest, leastPart))
		rest -= pln.Helpers[best].ReserveTokens
	}
	return true
}
