package route

// Room is what an agent can hold of a prompt that several engines share, as last reported. Memory is in tokens.
type Room struct {
	Agent       string
	Free        int     // largest part that would be granted now
	Most        int     // largest part ever granted
	PromptRatio float64 // prompt tokens that the engine counts, per token predicted
	Rate        float64 // prefill, tokens a second
}

// Rooms returns the agents that can be given work and take part in groups, and the number of connected agents that can
// be given no work now.
func (tab *Table) Rooms(tgt Target) (list []Room, down int) {
	now := tab.opts.Clock.Now()
	for _, vie := range (*tab.index.Load())[tgt] {
		if !vie.usable(now) {
			down++
			continue
		}
		if rom := vie.room(); rom.Most > 0 {
			list = append(list, rom)
		}
	}
	return list, down
}

func (vie *view) room() Room {
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
