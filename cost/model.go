package cost

import (
	"math"
	"sync"
	"time"
)

const (
	// observationWeight is the weight of a new sample. At 0.2, one stalled prefill lowers the rate by a fifth at most,
	// and a lasting change is followed within about ten samples.
	observationWeight = 0.2
	// minSampleTokens is the least prefill from which a rate is taken. Shorter ones measure the engine's step time.
	minSampleTokens = 1000
	// decodeMargin is less than the factor 4 that bounds single delays, because an output takes many steps.
	decodeMargin = 2
	minRatio     = 0.25
	maxRatio     = 4
)

// Model predicts what requests cost one engine. It is corrected by observation and safe for concurrent use.
type Model struct {
	mu          sync.Mutex
	prefillRate float64 // tokens a second; 0 while unknown
	observed    bool    // prefillRate comes from first-token times rather than from the engine's own report
	promptRatio float64 // prompt tokens counted by the engine, per token predicted
	outputRatio float64 // output tokens produced, per token allowed
	decodeTime  float64 // seconds per output token; 0 while unknown
	decodeDev   float64 // average deviation of decodeTime
}

// NewModel returns a Model without observations. It predicts a prefill time of 0 until it knows a rate.
func NewModel() *Model { return &Model{promptRatio: 1, outputRatio: 1} }

func average(old, sample float64) float64 { return old + observationWeight*(sample-old) }

// ReportedRate sets the prefill rate that the engine reports, in tokens a second. It is used until a rate is observed.
func (mdl *Model) ReportedRate(rate float64) {
	mdl.mu.Lock()
	defer mdl.mu.Unlock()
	if !mdl.observed && rate > 0 {
		mdl.prefillRate = rate
	}
}

// ObservePrefill takes a prefill of so many tokens that took so long.
func (mdl *Model) ObservePrefill(tokens int, took time.Duration) {
	if tokens < minSampleTokens || took <= 0 {
		return
	}
	rate := float64(tokens) / took.Seconds()
	mdl.mu.Lock()
	defer mdl.mu.Unlock()
	if mdl.prefillRate <= 0 {
		mdl.prefillRate = rate
	}
	mdl.prefillRate = average(mdl.prefillRate, rate)
	mdl.observed = true
}

// ObserveUsage takes the engine's token counts of a finished request beside the predicted prompt and allowed output.
func (mdl *Model) ObserveUsage(predicted, prompt, allowed, output int) {
	mdl.mu.Lock()
	defer mdl.mu.Unlock()
	if predicted > 0 && prompt > 0 {
		sample := float64(prompt) / float64(predicted)
		mdl.promptRatio = average(mdl.promptRatio, min(max(sample, minRatio), maxRatio))
	}
	if allowed > 0 && output > 0 {
		mdl.outputRatio = average(mdl.outputRatio, min(float64(output)/float64(allowed), 1))
	}
}

// ObserveDecode takes the time in which an engine produced so many output tokens after the first.
func (mdl *Model) ObserveDecode(tokens int, took time.Duration) {
	if tokens <= 0 || took <= 0 {
		return
	}
	sample := took.Seconds() / float64(tokens)
	mdl.mu.Lock()
	defer mdl.mu.Unlock()
	if mdl.decodeTime == 0 {
		mdl.decodeTime = sample
	}
	mdl.decodeDev = average(mdl.decodeDev, math.Abs(sample-mdl.decodeTime))
	mdl.decodeTime = average(mdl.decodeTime, sample)
}

// Rate returns the prefill rate in tokens a second, or 0 while it is unknown.
func (mdl *Model) Rate() float64 {
	mdl.mu.Lock()
	defer mdl.mu.Unlock()
	return mdl.prefillRate
}

// Prefill returns the predicted prefill time of so many tokens.
func (mdl *Model) Prefill(tokens int) time.Duration { return Prefill(tokens, mdl.Rate()) }

// Prompt corrects a predicted number of prompt tokens.
func (mdl *Model) Prompt(predicted int) int {
	mdl.mu.Lock()
	defer mdl.mu.Unlock()
	return int(float64(predicted)*mdl.promptRatio + 0.5)
}

// PromptRatio returns the prompt tokens that the engine counts, per token predicted.
func (mdl *Model) PromptRatio() float64 {
	mdl.mu.Lock()
	defer mdl.mu.Unlock()
	return mdl.promptRatio
}

// Decode returns the time within which an output of at most so many tokens is very likely produced: the average plus
// decodeMargin deviations. Steps that prefill other requests make the time vary by a factor of ten.
func (mdl *Model) Decode(allowed int) time.Duration {
	mdl.mu.Lock()
	defer mdl.mu.Unlock()
	each := mdl.decodeTime + decodeMargin*mdl.decodeDev
	return time.Duration(float64(allowed) * mdl.outputRatio * each * float64(time.Second))
}
