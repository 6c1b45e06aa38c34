package entry_test

import (
	"bytes"
	"context"
	"flag"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/tarragonwheel/tarragonwheel/load"
	"github.com/tarragonwheel/tarragonwheel/simeng"
	"github.com/tarragonwheel/tarragonwheel/timer"
)

const (
	fleetEngines = 8
	fleetEntries = 2
	// fleetCapacity is the highest rate of fleetMix, in requests a second, that the engines can prefill: 8 engines at
	// 37,100 tokens a second (steps of 4,096 tokens in 110 ms), 11,650 tokens a request.
	fleetCapacity = 25.5
	// shortTokens is the longest prompt, in tokens, of the run with short requests only.
	shortTokens = 10_000
)

var (
	fleetSeed     = flag.Uint64("fleet-seed", 1, "seed of the arrivals of BenchmarkFleet")
	fleetDuration = flag.Duration("fleet-duration", 30*time.Second, "time for which BenchmarkFleet offers requests")
	fleetPolicies = []string{"round-robin", "fewest", "best-of-two", "predicted"}
)

// fleetMix is the default mix without the prompts that exceed an engine's memory.
func fleetMix() []load.Share {
	return []load.Share{
		{Low: 1_000, High: 2_000, Weight: 0.70},
		{Low: 2_000, High: 10_000, Weight: 0.20},
		{Low: 10_000, High: 100_000, Weight: 0.08},
		{Low: 100_000, High: 400_000, Weight: 0.02},
	}
}

// BenchmarkFleet offers the same seeded arrivals through two entries to eight engines under each policy. All policies
// run at the same time, each on a fleet of its own, so that other load on the machine affects all of them equally. One
// more fleet gets only the short requests. Run it with -benchtime 1x; -v prints the tables.
func BenchmarkFleet(b *testing.B) {
	for _, percent := range []int{50, 80, 110} {
		b.Run(fmt.Sprint(percent), func(b *testing.B) {
			pln := fleetPlan(float64(percent) / 100 * fleetCapacity)
			short := pln
			short.MaxPrompt = shortTokens
			results := make([][]load.Sample, len(fleetPolicies)+1)
			var wait sync.WaitGroup
			for idx := range results {
				policy := "predicted"
				offered := short
				if idx < len(fleetPolicies) {
					policy, offered = fleetPolicies[idx], pln
				}
				bases := startFleet(b, policy)
				wait.Go(func() { results[idx] = offerFleet(bases, offered) })
			}
			wait.Wait()
			for idx, policy := range fleetPolicies {
				reportFleet(b, policy, results[idx], results[len(fleetPolicies)])
			}
		})
	}
}

func fleetPlan(rate float64) load.Plan {
	return load.Plan{
		Seed: *fleetSeed, Rate: rate / fleetEntries, Duration: *fleetDuration, Mix: fleetMix(), Model: "m",
		MaxTokens: 24, TimeLimit: 30 * time.Second, Accounts: []load.Account{{Name: "huellas", Key: accountKey}},
	}
}

func startFleet(b *testing.B, policy string) []string {
	b.Helper()
	var agents, entries []string
	for num := range fleetEngines {
		_, agt := startEngine(b, fmt.Sprint("a", num), simeng.DefaultModel("m"))
		agents = append(agents, agt)
	}
	for range fleetEntries {
		ent, _ := startServing(b, "policy = "+policy+"\n", agents...)
		entries = append(entries, ent.Address())
	}
	return entries
}

// offerFleet offers the plan's rate through each entry, with a different seed for each.
func offerFleet(entries []string, pln load.Plan) []load.Sample {
	parts := make([][]load.Sample, len(entries))
	var wait sync.WaitGroup
	for idx, addr := range entries {
		part := pln
		part.Seed = pln.Seed*fleetEntries + uint64(idx)
		wait.Go(func() { parts[idx] = load.NewRunner(addr, timer.New()).Run(context.Background(), part) })
	}
	wait.Wait()
	return slices.Concat(parts...)
}

func reportFleet(b *testing.B, policy string, samples, alone []load.Sample) {
	b.Helper()
	reps := load.Summarize(policy, samples, alone, *fleetDuration)
	var out bytes.Buffer
	if err := load.WriteTable(&out, reps); err != nil {
		b.Fatal(err)
	}
	b.Logf("\n%s", out.String())
	for idx, rep := range load.Summarize(policy, alone, nil, *fleetDuration) {
		b.Logf("alone: %s p50 %.0f ms, p95 %.0f ms", reps[idx].Class, rep.P50, rep.P95)
	}
	for _, rep := range reps {
		if rep.Class == "2k" {
			b.ReportMetric(rep.Slowdown, policy+"-slowdown")
		}
	}
	var long []load.Sample
	for _, smp := range samples {
		if smp.Class == "100k" || smp.Class == "400k" {
			smp.Class = "1m" // One class for all long prompts.
			long = append(long, smp)
		}
	}
	for _, rep := range load.Summarize(policy, long, nil, *fleetDuration) {
		b.ReportMetric(rep.P95, policy+"-long-p95-ms")
		b.Logf("%s: all prompts over %d tokens: p50 %.0f ms, p95 %.0f ms", policy, shortTokens, rep.P50, rep.P95)
	}
}
