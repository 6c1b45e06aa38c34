package entry

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/tarragonwheel/tarragonwheel/cost"
	"github.com/tarragonwheel/tarragonwheel/proto"
	"github.com/tarragonwheel/tarragonwheel/route"
)

// share is the part of a prompt that one agent of a group is to hold.
type share struct {
	agent string
	from  int // first token
	to    int // token after the last one; 0 in the last share, which has the rest of the prompt and the output
}

// groupPlan divides a prompt among agents, in the order of the prompt.
type groupPlan struct {
	shares  []share
	prefill time.Duration // predicted, one share after another
}

// planGroup divides a prompt among as few agents as can hold it, in proportion to their room. Each gives what room
// tells. It returns nil if all together cannot hold it. The agent with the most room comes last, since it also holds
// the output.
func planGroup(rooms []route.PartCapacity, cst proto.Cost, room func(route.PartCapacity) int) *groupPlan {
	rooms = slices.Clone(rooms)
	// Equal agents are taken at random, so that several entries do not all ask the same ones.
	rand.Shuffle(len(rooms), func(one, two int) { rooms[one], rooms[two] = rooms[two], rooms[one] })
	slices.SortStableFunc(rooms, func(one, two route.PartCapacity) int { return cmp.Compare(room(two), room(one)) })
	sum := -cst.OutputTokens
	for num, rom := range rooms {
		if num == 0 && room(rom) <= cst.OutputTokens {
			return nil
		}
		sum += room(rom)
		used := rooms[:num+1]
		if prompt := promptTokens(used, cst); sum >= prompt {
			return divide(used, prompt, sum, room)
		}
	}
	return nil
}

// promptTokens predicts the prompt's length as the engines count it.
func promptTokens(rooms []route.PartCapacity, cst proto.Cost) int {
	ratio := 0.0
	for _, rom := range rooms {
		ratio = max(ratio, cmp.Or(rom.PromptRatio, 1))
	}
	return int(math.Ceil(ratio * float64(cst.PromptTokens)))
}

// divide gives each agent its part of the prompt. The rooms are in descending order and add up to sum, less the output
// in the first of them.
func divide(rooms []route.PartCapacity, prompt, sum int, room func(route.PartCapacity) int) *groupPlan {
	pln := &groupPlan{}
	from := 0
	for idx := len(rooms) - 1; idx > 0; idx-- {
		// Rounded up, so that the last part, which takes what remains, never exceeds its agent's room.
		part := int(math.Ceil(float64(prompt) * float64(room(rooms[idx])) / float64(sum)))
		pln.shares = append(pln.shares, share{agent: rooms[idx].Agent, from: from, to: from + part})
		pln.prefill += cost.Prefill(part, rooms[idx].PrefillRate)
		from += part
	}
	pln.shares = append(pln.shares, share{agent: rooms[0].Agent, from: from})
	pln.prefill += cost.Prefill(prompt-from, rooms[0].PrefillRate)
	return pln
}
