package route

import (
	"time"

	"github.com/tarragonwheel/tarragonwheel/proto"
)

// Room is what an agent can hold of a prompt that several engines share, as last reported. Memory is in tokens.
type Room struct {
	Agent       string
	Free        int     // largest part that would be granted now
	Most        int     // largest part ever granted
	PromptRatio float64 // prompt tokens that the engine counts, per token predicted
	Rate        float64 // prefill, tokens a second
}

// Rooms returns the agents that can be given work and take part in groups.
func (tab *Table) Rooms(tgt Target) []Room {
	now := tab.opts.Clock.Now()
	var list []Room
	for _, vie := range (*tab.index.Load())[tgt] {
		if rom, ok := vie.room(now); ok {
			list = append(list, rom)
		}
	}
	return list
}

func (vie *view) room(now time.Time) (Room, bool) {
	vie.lock.Lock()
	defer vie.lock.Unlock()
	rep := vie.report
	if !vie.mayTake(now) || rep.HoldMax == 0 || vie.peer.Kind != proto.UpstreamEngine {
		return Room{}, false
	}
	rom := Room{
		Agent: vie.peer.Name, Free: rep.FreeHold, Most: rep.HoldMax, PromptRatio: rep.PromptRatio,
		Rate: rep.PrefillRate,
	}
	if rom.Rate <= 0 {
		rom.Rate = assumedRate
	}
	return rom, true
}
