package place

import "github.com/tarragonwheel/tarragonwheel/fleet"

// memoryMargin is the share of an engine's KV memory that placements leave free, because outputs may be longer than
// predicted.
const memoryMargin = 0.04

// freeTokens returns the KV memory in tokens that is left for placements at a replica.
func (dec *decision) freeTokens(vie *fleet.View) int {
	return int(float64(dec.eng.MemoryTokens)*(1-memoryMargin)) - vie.KVTokens
}

// findHolder returns the index of the best candidate whose memory can hold the whole prompt and its output, or -1.
func (dec *decision) findHolder(ranked []candidate, parts int) int {
	need := dec.req.PromptTokens + dec.req.OutputTokens
	for num, cnd := range ranked {
		if dec.freeTokens(&dec.views[cnd.idx]) >= need {
			return num
		}
	}
	// An engine can never hold a prompt that exceeds its whole memory, but it frees memory in time for one that does
	// not.
	if need <= dec.eng.MemoryTokens && parts == 1 {
		return 0
	}
	return -1
}

// reserveAtHelpers reserves memory at the helpers, the one with the most free memory first, for a prompt that no
// replica can hold alone. The primary replica holds the rest. It returns false if the memory does not suffice.
func (dec *decision) reserveAtHelpers(pln *Placement) bool {
	remaining := dec.req.PromptTokens + dec.req.OutputTokens
	remaining -= max(dec.freeTokens(&pln.Primary), 0)
	for remaining > 0 {
		best := -1
		for idx := range pln.Helpers {
			hlp := &pln.Helpers[idx]
			if hlp.ReserveTokens == 0 &&
				(best < 0 || dec.freeTokens(&hlp.View) > dec.freeTokens(&pln.Helpers[best].View)) {
				best = idx
			}
		}
		if best < 0 {
			return false
		}
		free := dec.freeTokens(&pln.Helpers[best].View)
		if free < minPartTokens {
			return false
		}
		pln.Helpers[best].ReserveTokens = min(free, max(remaining, minPartTokens))
		remaining -= pln.Helpers[best].ReserveTokens
	}
	return true
}
