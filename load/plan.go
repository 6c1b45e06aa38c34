// Package load offers a reproducible mix of requests to a running system and reports how it answered.
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

// Share is a part of the mix: prompts between two lengths, chosen with a weight.
type Share struct {
	Low    int // tokens
	High   int // tokens
	Weight float64
}

// DefaultMix follows the deployments: mostly short prompts, one in fifty over 100,000 tokens.
func DefaultMix() []Share {
	return []Share{
		{Low: 1_000, High: 2_000, Weight: 0.70},
		{Low: 2_000, High: 10_000, Weight: 0.20},
		{Low: 10_000, High: 100_000, Weight: 0.08},
		{Low: 100_000, High: 400_000, Weight: 0.015},
		{Low: 400_000, High: 1_000_000, Weight: 0.005},
	}
}

// ParseMix reads shares written as LOW-HIGH:WEIGHT and separated by commas, such as 1000-2000:0.9,100000-200000:0.1.
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
		return Share{}, trace.BadParameter("%q: lengths must be positive and rising, the weight positive", text)
	}
	return shr, nil
}

// Plan says what to offer.
type Plan struct {
	Seed      uint64
	Rate      float64 // requests a second
	Duration  time.Duration
	Mix       []Share
	Accounts  []Account
	Model     string
	MaxTokens int           // output tokens of a request
	TimeLimit time.Duration // stated by each request
	MaxPrompt int           // longer prompts are left out of the arrivals; 0 for all
}

// Account is a client account and its bearer key.
type Account struct {
	Name string
	Key  string
}

// arrival is one planned request.
type arrival struct {
	at      time.Duration // since the start
	tokens  int
	account Account
	seed    uint64 // of the prompt's text
}

// arrivals returns the plan's requests. A limit on the length leaves the others as they are, so that a run of short
// requests alone offers exactly the short requests of the whole mix.
func (pln Plan) arrivals() []arrival {
	rng := rand.New(rand.NewPCG(pln.Seed, 0))
	var list []arrival
	at := time.Duration(0)
	for {
		at += time.Duration(rng.ExpFloat64() / pln.Rate * float64(time.Second))
		shr := pick(pln.Mix, rng.Float64())
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

func pick(mix []Share, point float64) Share {
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

// class returns the arrival's length class.
func (arr arrival) class() string { return cost.Class(arr.tokens) }
