package cost

import "time"

// Engine holds the performance parameters of a model engine, as the operator declares them. The engine works in
// iterations: each iteration produces some tokens for every decoding stream, and prefills prompts between these tokens.
type Engine struct {
	Slots              int           // requests that it runs at once
	MemoryTokens       int           // tokens that its KV memory holds
	Step               time.Duration // time of a decode step, which produces one token for each stream
	StepPerStream      time.Duration // added to a step for each stream
	StepPer1kTokens    time.Duration // added to a step for each 1,000 tokens of context of all streams
	PrefillTokensPerS  float64       // prompt tokens prefilled per second, without the time per pair
	PrefillPerMPairs   time.Duration // added for each million pairs of a prompt token and an earlier one (attention)
	PrefillChunk       int           // most prompt tokens prefilled in a step
	StepsPerIteration  int           // steps of an iteration that has decoding streams
	MeanOutput         int           // mean output of a request in tokens; 0 if the operator does not say
	StepPerSplitStream time.Duration // added to each step of a stream whose context is spread over several engines
}

// pairsPerMillion is the number of token pairs for which PrefillPerMPairs is charged.
const pairsPerMillion = 1e6

// PrefillTime returns how long the engine takes to prefill a prompt of the given length if it is otherwise idle. The
// time has a part that is quadratic in the length.
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
