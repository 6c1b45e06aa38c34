package main

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/tarragonwheel/tarragonwheel/load"
	"github.com/tarragonwheel/tarragonwheel/timer"
)

const busyWindow = 8 * time.Second

// BenchmarkBusy measures an entry and four agents as real processes while requests with short prompts pass: CPU and
// memory per process, from which the costs of a request and of a token follow. Run it with:
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
	flt := newFleet(b)
	flt.launch("entry", "entry-0", "entry entry-0 dc1 vms=V")
	for num := range engines {
		flt.run("engine E%d listing-text", num)
		name := fmt.Sprintf("agent-%d", num)
		flt.launch("agent", name, "agent %s listing-text dc1 engine=E%d", name, num)
	}
	flt.waitConnected(engines)
	pln := load.Plan{
		Seed: 1, Rate: rate, Duration: busyWindow, Mix: []load.Share{{Low: 500, High: 1000, Weight: 1}},
		Accounts: []load.Account{{Name: "desk", Key: "scenario-key-of-desk"}}, Model: "listing-text",
		MaxTokens: tokens, TimeLimit: time.Minute,
	}
	run := load.NewRunner(flt.addresses["entry-0"], timer.New())
	var samples []load.Sample
	flt.measure(func() { samples = run.Run(context.Background(), pln) })
	done := 0
	for _, smp := range samples {
		if smp.Outcome == load.OutcomeDone {
			done++
		}
	}
	b.ReportMetric(float64(done)/float64(len(samples)), "done")
}
