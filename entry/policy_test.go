package entry_test

import (
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/tarragonwheel/tarragonwheel/simeng"
)

// BenchmarkPolicies offers the same mixed load to four engines through two entries under each policy: 300 calls in
// 6 s, of which one in 33 has a prompt of 50,000 tokens and the others one of 1,000. It reports the time to the
// response of one token. Run it with -benchtime 1x.
func BenchmarkPolicies(b *testing.B) {
	for _, pol := range []string{"round-robin", "fewest", "best-of-two", "predicted"} {
		b.Run(pol, func(b *testing.B) {
			var agents []string
			for _, name := range []string{"a1", "a2", "a3", "a4"} {
				_, agt := startEngine(b, name, simeng.DefaultModel("m"))
				agents = append(agents, agt)
			}
			_, one := startServing(b, "policy = "+pol+"\n", agents...)
			_, two := startServing(b, "policy = "+pol+"\n", agents...)
			b.ResetTimer()
			short, long := offerMixedLoad(b, []string{one, two})
			b.ReportMetric(float64(short[len(short)/2].Milliseconds()), "short-p50-ms")
			b.ReportMetric(float64(short[len(short)*99/100].Milliseconds()), "short-p99-ms")
			b.ReportMetric(float64(long[len(long)/2].Milliseconds()), "long-p50-ms")
		})
	}
}

func offerMixedLoad(b *testing.B, bases []string) (short, long []time.Duration) {
	var wait sync.WaitGroup
	var mu sync.Mutex
	for idx := range 300 {
		size, list := 4_000, &short
		if idx%33 == 5 {
			size, list = 200_000, &long
		}
		wait.Go(func() {
			body := `{"model":"m","max_tokens":1,"prompt":"` + strings.Repeat(string(rune('a'+idx%26)), size) + `"}`
			start := time.Now()
			post(b, bases[idx%len(bases)]+"/v1/completions", body)
			mu.Lock()
			defer mu.Unlock()
			*list = append(*list, time.Since(start))
		})
		time.Sleep(20 * time.Millisecond)
	}
	wait.Wait()
	slices.Sort(short)
	slices.Sort(long)
	return short, long
}
