package route

// PartCapacity is the capacity that an agent last reported for parts of split prompts. Memory is in tokens.
type PartCapacity struct {
	Agent       string
	FreeTokens  int     // largest part that fits now
	MaxTokens   int     // largest part that fits into an idle engine
	PromptRatio float64 // prompt tokens counted by the engine, per predicted token
	PrefillRate float64 // prefill rate, in tokens a second
}

// PartCapacities returns the capacity of the usable agents that accept parts of split prompts, and the number of connected
// agents that are not usable now.
func (tab *Table) PartCapacities(tgt Target) (list []PartCapacity, down int) {
	now := tab.opts.Clock.Now()
	for _, vie := range (*tab.index.Load())[tgt] {
		if !vie.usable(now) {
			down++
			continue
		}
		if rom := vie.capacity(); rom.MaxTokens > 0 {
			list = append(list, rom)
		}
	}
	return list, down
}

// capacity returns the agent's Room. Most is 0 if it accepts no parts of split prompts.
func (vie *agentView) capacity() PartCapacity {
	vie.lock.Lock()
	defer vie.lock.Unlock()
	rep := vie.report
	rom := PartCapacity{
		Agent: vie.peer.Name, FreeTokens: rep.FreeHold, MaxTokens: rep.HoldMax, PromptRatio: rep.PromptRatio,
		PrefillRate: rep.PrefillRate,
	}
	if rom.PrefillRate <= 0 {
		rom.PrefillRate = assumedRate
	}
	return rom
}
