package route

// Room is the capacity that an agent last reported for parts of split prompts. Memory is in tokens.
type Room struct {
	Agent       string
	Free        int     // largest part that fits now
	Most        int     // largest part that fits into an idle engine
	PromptRatio float64 // prompt tokens counted by the engine, per predicted token
	Rate        float64 // prefill rate, in tokens a second
}

// Rooms returns the capacity of the usable agents that accept parts of split prompts, and the number of connected
// agents that are not usable now.
func (tab *Table) Rooms(tgt Target) (list []Room, down int) {
	now := tab.opts.Clock.Now()
	for _, vie := range (*tab.index.Load())[tgt] {
		if !vie.usable(now) {
			down++
			continue
		}
		if rom := vie.capacity(); rom.Most > 0 {
			list = append(list, rom)
		}
	}
	return list, down
}

// capacity returns the agent's Room. Most is 0 if it accepts no parts of split prompts.
func (vie *agentView) capacity() Room {
	vie.lock.Lock()
	defer vie.lock.Unlock()
	rep := vie.report
	rom := Room{
		Agent: vie.peer.Name, Free: rep.FreeHold, Most: rep.HoldMax, PromptRatio: rep.PromptRatio,
		Rate: rep.PrefillRate,
	}
	if rom.Rate <= 0 {
		rom.Rate = assumedRate
	}
	return rom
}
