package cost

import "time"

// Engine is the speed of a model engine, as the operator declares it. The engine works in passes: each pass produces
// some tokens for every stream that is writing, and reads prompts between these tokens.
type Engine struct {
	Slots        int           // requests that it runs at once
	MemoryTokens int           // tokens that its KV memory holds
	Step         time.Duration // to produce one token for all streams
	StepPerSlot  time.Duration // more for each stream
	StepPerK     time.Duration // more for each 1,000 tokens of context of all streams
	ReadPerS     float64       // prompt tokens read in a second
	PerMillion   time.Duration // more for each million pairs of a prompt token and an earlier one
	Chunk        int           // most prompt tokens read in a step
	Stride       int           // steps of a pass that has streams writing
	UsualOutput  int           // mean output of a request in tokens; 0 if the operator does not say
	HelperHop    time.Duration // more for each step of a stream whose context lies on several engines
}

// pairsPerMillion is the number of token pairs for which PerMillion is charged.
const pairsPerMillion = 1e6

// Reading returns how long the engine reads a prompt of so many tokens, without anything else to do.
func (eng *Engine) Reading(tokens int) time.Duration {
	if eng.ReadPerS <= 0 || tokens <= 0 {
		return 0
	}
	num := float64(tokens)
	linear := num / eng.ReadPerS * float64(time.Second)
	pairs := num * num / 2 / pairsPerMillion * float64(eng.PerMillion)
	return time.Duration(linear + pairs)
}

// Pass returns how long a pass takes that writes so many streams with the given context in tokens, all together, and
// reads nothing.
func (eng *Engine) Pass(streams, context int) time.Duration {
	if streams == 0 {
		return eng.Step
	}
	step := eng.Step + time.Duration(streams)*eng.StepPerSlot + time.Duration(context)*eng.StepPerK/1000
	return time.Duration(max(eng.Stride, 1)) * step
}
