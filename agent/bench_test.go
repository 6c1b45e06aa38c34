package agent

import (
	"sort"
	"sync"
	"testing"
	"time"

	"github.com/tarragonwheel/tarragonwheel/simeng"
)

// BenchmarkShortBesideLong measures the time to first token of short requests while long ones run, and that of the long
// ones. It compares first-come-first-served order, order by due time, and order by due time with memory headroom for
// short requests.
func BenchmarkShortBesideLong(b *testing.B) {
	b.Run("first-come-first-served", func(b *testing.B) {
		benchmarkMix(b, "short-bias = 0\nshort-headroom = 0\n")
	})
	b.Run("due-order-alone", func(b *testing.B) {
		benchmarkMix(b, "short-bias = 8\nshort-headroom = 0\n")
	})
	b.Run("due-order-and-headroom", func(b *testing.B) {
		benchmarkMix(b, "short-bias = 8\nshort-headroom = 0.1\n")
	})
}

// benchmarkMix keeps 4 long requests (100,000 tokens) waiting or running while 100 short ones (1,000 tokens) arrive one
// every 50 ms. The engine's memory holds 4 long ones; it prefills 100,000 tokens a second.
func benchmarkMix(b *testing.B, settings string) {
	mdl := simeng.DefaultModel("m")
	mdl.TotalTokens = 410_000
	mdl.PrefillRate = 100_000
	for range b.N {
		rig := newRig(b, mdl, settings)
		rig.startAgent()
		con := rig.dial()
		var mu sync.Mutex
		var short, long []time.Duration
		failed := 0
		measure := func(into *[]time.Duration, req request) {
			start := time.Now()
			req.onToken = func() {
				mu.Lock()
				defer mu.Unlock()
				*into = append(*into, time.Since(start))
			}
			if res, err := send(con, req); err != nil || res.Reason != "" {
				mu.Lock()
				failed++
				mu.Unlock()
			}
		}
		stop := make(chan struct{})
		var wait sync.WaitGroup
		for range 4 {
			wait.Go(func() {
				for {
					select {
					case <-stop:
						return
					default:
						measure(&long, request{prompt: 100_000, output: 50, remaining: time.Minute})
					}
				}
			})
		}
		for range 100 {
			time.Sleep(50 * time.Millisecond)
			wait.Go(func() { measure(&short, request{prompt: 1000, output: 20, remaining: time.Minute}) })
		}
		close(stop)
		wait.Wait()
		con.Close()
		b.ReportMetric(quantile(short, 0.5), "short-p50-ms")
		b.ReportMetric(quantile(short, 0.95), "short-p95-ms")
		b.ReportMetric(quantile(long, 0.5), "long-p50-ms")
		b.ReportMetric(quantile(long, 0.95), "long-p95-ms")
		b.ReportMetric(float64(len(long)), "long-count")
		b.ReportMetric(float64(failed), "lost")
	}
}

func quantile(list []time.Duration, share float64) float64 {
	if len(list) == 0 {
		return -1
	}
	sort.Slice(list, func(i, j int) bool { return list[i] < list[j] })
	return float64(list[int(share*float64(len(list)-1))].Microseconds()) / 1000
}
