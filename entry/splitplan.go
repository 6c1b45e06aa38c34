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

// share is the token range of a prompt that a plan assigns to one agent.
type share struct {
	agent string
	from  int // first token
	to    int // token after the last one; 0 in the last share, which has the rest of the prompt and the output
}

// splitPlan divides a prompt among agents. The shares are in the order of the prompt.
type splitPlan struct {
	shares  []share
	prefill time.Duration // predicted time to prefill all shares, one after another
}

// planSplit divides a prompt among the smallest number of agents that can hold it, in proportion to their capacity. The
// function tokens returns the capacity to use of an agent. planSplit returns nil if all agents together are too small.
// The agent with the largest capacity gets the last share, since it also holds the output.
func planSplit(list []route.PartCapacity, cst proto.Cost, tokens func(route.PartCapacity) int) *splitPlan {
	list = slices.Clone(list)
	// Agents of equal capacity are chosen at random, so that several entries do not all choose the same ones.
	rand.Shuffle(len(list), func(one, two int) { list[one], list[two] = list[two], list[one] })
	slices.SortStableFunc(list, func(one, two route.PartCapacity) int { return cmp.Compare(tokens(two), tokens(one)) })
	sum := -cst.OutputTokens
	for num, ptc := range list {
		if num == 0 && tokens(ptc) <= cst.OutputTokens {
			return nil
		}
		sum += tokens(ptc)
		used := list[:num+1]
		if prompt := promptTokens(used, cst); sum >= prompt {
			return divide(used, prompt, sum, tokens)
		}
	}
	return nil
}

// promptTokens predicts the length of the prompt in tokens, by the highest ratio of the given engines' counts to the
// predicted ones.
func promptTokens(list []route.PartCapacity, cst proto.Cost) int {
	ratio := 0.0
	for _, ptc := range list {
		ratio = max(ratio, cmp.Or(ptc.PromptRatio, 1))
	}
	return int(math.Ceil(ratio * float64(cst.PromptTokens)))
}

// divide gives each agent its share of a prompt of the given number of tokens. The agents are in descending order of
// capacity; sum is their total capacity less the output, which the first of them holds.
func divide(list []route.PartCapacity, prompt, sum int, tokens func(route.PartCapacity) int) *splitPlan {
	pln := &splitPlan{}
	from := 0
	for idx := len(list) - 1; idx > 0; idx-- {
		// Rounded up, so that the last share, which takes the rest, never exceeds the capacity of its agent.
		part := int(math.Ceil(float64(prompt) * float64(tokens(list[idx])) / float64(sum)))
		pln.shares = append(pln.shares, share{agent: list[idx].Agent, from: from, to: from + part})
		pln.prefill += cost.PrefillTime(part, list[idx].PrefillRate)
		from += part
	}
	pln.shares = append(pln.shares, share{agent: list[0].Agent, from: from})
	pln.prefill += cost.PrefillTime(prompt-from, list[0].PrefillRate)
	return pln
}
