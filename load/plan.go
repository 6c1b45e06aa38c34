// Package load is a load generator. It sends a reproducible mix of requests to a running system and reports latencies
// and outcomes.
package load

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"time"

	"github.com/gravitational/trace"

	"github.com/tarragonwheel/tarragonwheel/cost"
)

// Share is a part of the mix: prompts of a range of lengths, with a weight relative to the other shares.
type Share struct {
	Low    int // shortest prompt in tokens
	High   int // longest prompt in tokens
	Weight float64
}

// DefaultMix returns a mix modelled on the deployments: mostly short prompts, one in fifty over 100,000 tokens.
func DefaultMix() []Share {
	return []Share{
		{Low: 1_000, High: 2_000, Weight: 0.70},
		{Low: 2_000, High: 10_000, Weight: 0.20},
		{Low: 10_000, High: 100_000, Weight: 0.08},
		{Low: 100_000, High: 400_000, Weight: 0.015},
		{Low: 400_000, High: 1_000_000, Weight: 0.005},
	}
}

// ParseMix parses comma-separated shares of the form LOW-HIGH:WEIGHT, such as 1000-2000:0.9,100000-200000:0.1. An empty
// text gives DefaultMix. Malformed text gives a trace.BadParameter error.
func ParseMix(text string) ([]Share, error) {
	if text == "" {
		return DefaultMix(), nil
	}
	var mix []Share
	for _, part := range strings.Split(text, ",") {
		shr, err := parseShare(part)
		if err != nil {
			return nil, fmt.Errorf("load: mix: %w", err)
		}
		mix = append(mix, shr)
	}
	return mix, nil
}

func parseShare(text string) (Share, error) {
	span, weight, found := strings.Cut(strings.TrimSpace(text), ":")
	low, high, ranged := strings.Cut(span, "-")
	if !found || !ranged {
		return Share{}, trace.BadParameter("%q is not LOW-HIGH:WEIGHT", text)
	}
	var shr Share
	var errs [3]error
	shr.Low, errs[0] = strconv.Atoi(low)
	shr.High, errs[1] = strconv.Atoi(high)
	shr.Weight, errs[2] = strconv.ParseFloat(weight, 64)
	for _, err := range errs {
		if err != nil {
			return Share{}, trace.BadParameter("%q is not LOW-HIGH:WEIGHT: %v", text, err)
		}
	}
	if shr.Low < 1 || shr.High < shr.Low || !(shr.Weight > 0) {
		return Share{}, trace.BadParameter("%q: lengths must be positive and ascending, the weight positive", text)
	}
	return shr, nil
}

// Plan describes the requests of a run.
type Plan struct {
	Seed      uint64
	Rate      float64 // mean arrival rate in requests per second; arrivals are a Poisson process
	Duration  time.Duration
	Mix       []Share
	Accounts  []Account
	Model     string
	MaxTokens int           // max_tokens of each request
	TimeLimit time.Duration // sent with each request
	MaxPrompt int           // requests with longer prompts, in tokens, are left out; 0 for no limit
}

// Account is a client account and its bearer token.
type Account struct {
	Name string
	Key  string
}

// arrival is one planned request.
type arrival struct {
	at      time.Duration // since the start of the run
	tokens  int
	account Account
	seed    uint64 // for the text of the prompt
}

// arrivals returns the plan's requests. MaxPrompt leaves out requests and does not change the others, so that a run of
// only short requests sends exactly the short requests of the whole mix.
func (pln Plan) arrivals() []arrival {
	rng := rand.New(rand.NewPCG(pln.Seed, 0))
	var list []arrival
	at := time.Duration(0)
	for {
		at += time.Duration(rng.ExpFloat64() / pln.Rate * float64(time.Second))
		shr := pickShare(pln.Mix, rng.Float64())
		arr := arrival{
			at:      at,
			tokens:  shr.Low + rng.IntN(shr.High-shr.Low+1),
			account: pln.Accounts[rng.IntN(len(pln.Accounts))],
			seed:    rng.Uint64(),
		}
		if at > pln.Duration {
			return list
		}
		if pln.MaxPrompt == 0 || arr.tokens <= pln.MaxPrompt {
			list = append(list, arr)
		}
	}
}

// pickShare returns the share at a point from 0 to 1 of the cumulative weights.
func pickShare(mix []Share, point float64) Share {
	total := 0.0
	for _, shr := range mix {
		total += shr.Weight
	}
	for _, shr := range mix {
		point -= shr.Weight / total
		if point < 0 {
			return shr
		}
	}
	return mix[len(mix)-1]
}

// class returns the length class of the prompt.
func (arr arrival) class() string { return cost.Class(arr.tokens) }
