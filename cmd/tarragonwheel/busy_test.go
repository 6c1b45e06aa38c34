package main

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/tarragonwheel/tarragonwheel/load"
	"github.com/tarragonwheel/tarragonwheel/timer"
)

const busyTime = 8 * time.Second

// BenchmarkBusy measures the CPU and memory use of an entry and four agents, as real processes, while they serve
// requests with short prompts. The cost of a request and of a token follows from the results at several loads. Run it
// with:
// go test ./cmd/tarragonwheel -run '^$' -bench Busy -benchtime 1x
func BenchmarkBusy(b *testing.B) {
	for _, offer := range []struct {
		rate   float64
		tokens int
	}{{20, 16}, {80, 16}, {80, 64}} {
		b.Run(fmt.Sprintf("rate=%g/tokens=%d", offer.rate, offer.tokens), func(b *testing.B) {
			for range b.N {
				measureBusy(b, offer.rate, offer.tokens)
			}
		})
	}
}

func measureBusy(b *testing.B, rate float64, tokens int) {
	const engines = 4
	bsc := newBenchScenario(b)
	bsc.startListed("entry", "entry-0", "entry entry-0 dc1 vms=V")
	for num := range engines {
		bsc.run("engine E%d listing-text", num)
		name := fmt.Sprintf("agent-%d", num)
		bsc.startListed("agent", name, "agent %s listing-text dc1 engine=E%d", name, num)
	}
	bsc.waitConnected(engines)
	pln := load.Plan{
		Seed: 1, Rate: rate, Duration: busyTime, Mix: []load.Share{{Low: 500, High: 1000, Weight: 1}},
		Accounts: []load.Account{{Name: "desk", Key: "scenario-key-of-desk"}}, Model: "listing-text",
		MaxTokens: tokens, TimeLimit: time.Minute,
	}
	run := load.NewRunner(bsc.addresses["entry-0"], timer.New())
	var samples []load.Sample
	bsc.measureUsage(func() { samples = run.Run(context.Background(), pln) })
	done := 0
	for _, smp := range samples {
		if smp.Outcome == load.OutcomeDone {
			done++
		}
	}
	b.ReportMetric(float64(done)/float64(len(samples)), "done")
}
