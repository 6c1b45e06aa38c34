package cost

import "time"

// Engine is the speed of a model engine, as the operator declares it. The engine works in iterations: each iteration
// produces some tokens for every decoding stream, and processes prompts between these tokens.
type Engine struct {
	Slots              int           // requests that it runs at once
	MemoryTokens       int           // tokens that its KV memory holds
	Step               time.Duration // to produce one token for all streams
	StepPerStream      time.Duration // more for each stream
	StepPer1kTokens    time.Duration // more for each 1,000 tokens of context of all streams
	PrefillTokensPerS  float64       // prompt tokens processed in a second
	PrefillPerMPairs   time.Duration // more for each million pairs of a prompt token and an earlier one
	PrefillChunk       int           // most prompt tokens processed in a step
	StepsPerIteration  int           // steps of an iteration that has decoding streams
	MeanOutput         int           // mean output of a request in tokens; 0 if the operator does not say
	StepPerSplitStream time.Duration // more for each step of a stream whose context lies on several engines
}

// pairsPerMillion is the number of token pairs for which PrefillPerMPairs is charged.
const pairsPerMillion = 1e6

// PrefillTime returns how long the engine takes to process a prompt of n tokens, without anything else to do.
func (eng *Engine) PrefillTime(tokens int) time.Duration {
	if eng.PrefillTokensPerS <= 0 || tokens <= 0 {
		return 0
	}
	num := float64(tokens)
	linear := num / eng.PrefillTokensPerS * float64(time.Second)
	pairs := num * num / 2 / pairsPerMillion * float64(eng.PrefillPerMPairs)
	return time.Duration(linear + pairs)
}

// IterationTime returns how long an iteration takes that decodes the given number of streams, whose context has the
// given number of tokens in total, and that prefills nothing.
func (eng *Engine) IterationTime(streams, context int) time.Duration {
	if streams == 0 {
		return eng.Step
	}
	step := eng.Step + time.Duration(streams)*eng.StepPerStream + time.Duration(context)*eng.StepPer1kTokens/1000
	return time.Duration(max(eng.StepsPerIteration, 1)) * step
}
