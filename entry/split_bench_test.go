package entry_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/tarragonwheel/tarragonwheel/simeng"
)

// BenchmarkLongPrompts offers prompts of 1,000,000 tokens, one after another, to four engines of 480,000 tokens beside
// prompts of 1,000 tokens (20 a second) and of 100,000 tokens (one every 2 s), for one minute. It compares engines that
// refuse the long prompts with prompts split over three and over four engines.
func BenchmarkLongPrompts(b *testing.B) {
	b.Run("refused", func(b *testing.B) { benchmarkLongPrompts(b, "hold-share = 0\n") })
	b.Run("served-by-three", func(b *testing.B) { benchmarkLongPrompts(b, "hold-share = 0.8\n") })
	b.Run("served-by-four", func(b *testing.B) { benchmarkLongPrompts(b, "hold-share = 0.6\n") })
}

// firstTokenTimes collects the times to first token of the prompts of one length.
type firstTokenTimes struct {
	mu     sync.Mutex
	times  []time.Duration
	failed int
}

func (smp *firstTokenTimes) measure(base string, tokens int) {
	req := longRequest(tokens, 20)
	// Each prompt has a unique prefix. Otherwise all prompts after the first one would be found in the prefix cache.
	req.Prompt = fmt.Sprintf("%016x", rand.Uint64()) + req.Prompt.(string)[16:]
	start := time.Now()
	str, err := openAIClient(base).CreateCompletionStream(context.Background(), req)
	took := time.Duration(0)
	if err == nil {
		_, err = readStream(str, func(num int) {
			if num == 1 {
				took = time.Since(start)
			}
		})
	}
	smp.mu.Lock()
	defer smp.mu.Unlock()
	if err != nil {
		smp.failed++
		return
	}
	smp.times = append(smp.times, took)
}

func (smp *firstTokenTimes) report(b *testing.B, name string) {
	slices.Sort(smp.times)
	for _, share := range []float64{0.5, 0.95} {
		if len(smp.times) > 0 {
			val := smp.times[int(share*float64(len(smp.times)-1))]
			b.ReportMetric(float64(val.Milliseconds()), fmt.Sprintf("%s-p%.0f-ms", name, share*100))
		}
	}
	b.ReportMetric(float64(len(smp.times)), name+"-served")
	b.ReportMetric(float64(smp.failed), name+"-refused")
}

func benchmarkLongPrompts(b *testing.B, settings string) {
	const duration = time.Minute
	for range b.N {
		var agents []string
		for idx := range 4 {
			mem := startMember(b, fmt.Sprintf("a%d", idx+1), simeng.DefaultModel("m"), settings)
			agents = append(agents, mem.agentAddress)
		}
		_, base := startServing(b, "", agents...)
		var short, medium, long firstTokenTimes
		var wait sync.WaitGroup
		every := func(pause time.Duration, offer func()) {
			wait.Go(func() {
				for end := time.Now().Add(duration); time.Now().Before(end); time.Sleep(pause) {
					offer()
				}
			})
		}
		every(50*time.Millisecond, func() { wait.Go(func() { short.measure(base, 1_000) }) })
		every(2*time.Second, func() { wait.Go(func() { medium.measure(base, 100_000) }) })
		every(time.Second, func() { long.measure(base, 1_000_000) })
		wait.Wait()
		short.report(b, "short")
		medium.report(b, "medium")
		long.report(b, "long")
	}
}
