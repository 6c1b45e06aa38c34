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
	// minSampleTokens is the shortest prefill from which a rate is derived. Shorter ones measure the engine's step
	// time.
	minSampleTokens = 1000
	// decodeMargin is the number of average deviations by which predicted decode times exceed the average. It is less
	// than the factor 4 that limits single delays, because an output takes many steps.
	decodeMargin = 2
	// minRatio and maxRatio limit a single sample of promptRatio.
	minRatio = 0.25
	maxRatio = 4
)

// Model predicts the prompt tokens of requests and the time that they take at one engine. It is corrected by
// observations and safe for concurrent use.
type Model struct {
	mu          sync.Mutex
	prefillRate float64 // tokens per second; 0 while unknown
	observed    bool    // prefillRate comes from first-token times rather than from the engine's own report
	promptRatio float64 // prompt tokens counted by the engine, per predicted token
	outputRatio float64 // output tokens produced, per allowed token
	decodeTime  float64 // seconds per output token; 0 while unknown
	decodeDev   float64 // average deviation of decodeTime
}

// NewModel returns a Model without observations. It predicts a prefill time of 0 until it knows a rate.
func NewModel() *Model { return &Model{promptRatio: 1, outputRatio: 1} }

// average returns a moving average with the sample added.
func average(old, sample float64) float64 { return old + observationWeight*(sample-old) }

// SetReportedRate sets the prefill rate that the engine reports, in tokens per second. It is used until a rate is
// observed.
func (mdl *Model) SetReportedRate(rate float64) {
	mdl.mu.Lock()
	defer mdl.mu.Unlock()
	if !mdl.observed && rate > 0 {
		mdl.prefillRate = rate
	}
}

// ObservePrefill records how long a prefill of the given number of tokens took. It ignores prefills that are too short
// to derive a rate from.
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

// ObserveUsage records the prompt and output tokens that the engine counted for a finished request, beside the
// predicted prompt tokens and the allowed output tokens.
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

// ObserveDecode records how long the engine took to produce the given number of output tokens after the first.
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

// Rate returns the prefill rate in tokens per second, or 0 while it is unknown.
func (mdl *Model) Rate() float64 {
	mdl.mu.Lock()
	defer mdl.mu.Unlock()
	return mdl.prefillRate
}

// PrefillTime returns the predicted prefill time of the given number of tokens.
func (mdl *Model) PrefillTime(tokens int) time.Duration { return PrefillTime(tokens, mdl.Rate()) }

// CorrectPromptTokens corrects a predicted number of prompt tokens by the ratio that was observed.
func (mdl *Model) CorrectPromptTokens(predicted int) int {
	mdl.mu.Lock()
	defer mdl.mu.Unlock()
	return int(float64(predicted)*mdl.promptRatio + 0.5)
}

// PromptRatio returns the prompt tokens that the engine counts, per predicted token.
func (mdl *Model) PromptRatio() float64 {
	mdl.mu.Lock()
	defer mdl.mu.Unlock()
	return mdl.promptRatio
}

// DecodeTime returns the time within which an output of at most the given number of tokens is very likely complete: the
// average plus decodeMargin average deviations. Steps that prefill other requests make the time vary by a factor of
// ten.
func (mdl *Model) DecodeTime(allowed int) time.Duration {
	mdl.mu.Lock()
	defer mdl.mu.Unlock()
	perToken := mdl.decodeTime + decodeMargin*mdl.decodeDev
	return time.Duration(float64(allowed) * mdl.outputRatio * perToken * float64(time.Second))
}
