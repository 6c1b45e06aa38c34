package route

// PartCapacity is the capacity that an agent last reported for parts of split prompts. Memory is in tokens.
type PartCapacity struct {
	Agent       string
	FreeTokens  int     // largest part that fits now
	MaxTokens   int     // largest part that fits into an idle engine
	PromptRatio float64 // prompt tokens counted by the engine, per predicted token
	PrefillRate float64 // prefill rate, in tokens a second
}

// PartCapacities returns the capacity of the usable agents that accept parts of split prompts, and the number of
// connected agents that are not usable now.
func (tab *Table) PartCapacities(tgt Target) (list []PartCapacity, down int) {
	now := tab.opts.Clock.Now()
	for _, vie := range (*tab.index.Load())[tgt] {
		if !vie.usable(now) {
			down++
			continue
		}
		if pcp := vie.capacity(); pcp.MaxTokens > 0 {
			list = append(list, pcp)
		}
	}
	return list, down
}

// capacity returns the agent's PartCapacity. MaxTokens is 0 if it accepts no parts of split prompts.
func (vie *agentView) capacity() PartCapacity {
	vie.lock.Lock()
	defer vie.lock.Unlock()
	rep := vie.report
	pcp := PartCapacity{
		Agent: vie.peer.Name, FreeTokens: rep.FreeSegmentTokens, MaxTokens: rep.MaxSegmentTokens,
		PromptRatio: rep.PromptRatio, PrefillRate: rep.PrefillRate,
	}
	if pcp.PrefillRate <= 0 {
		pcp.PrefillRate = assumedRate
	}
	return pcp
}
