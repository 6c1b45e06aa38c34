package entry_test

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/tarragonwheel/tarragonwheel/simeng"
)

// BenchmarkPath compares requests through entry and agent with requests sent directly to the simulated engine. The
// engine's own time is negligible here, so that the difference is the overhead of entry and agent. Allocated bytes per
// request include client, entry, agent and engine, which all run in the process of the benchmark.
func BenchmarkPath(b *testing.B) {
	mdl := simeng.DefaultModel("m")
	mdl.TotalTokens, mdl.PrefillRate, mdl.ChunkTokens = 4_000_000, 1e9, 4_000_000
	mdl.StepBase = time.Microsecond
	eng, agt := startEngine(b, "a1", mdl)
	_, base := startServing(b, "", agt)
	for _, size := range []int{4 << 10, 4 << 20} {
		body := `{"model":"m","max_tokens":1,"prompt":"` + strings.Repeat("word ", size/5) + `"}`
		for _, way := range []struct{ name, url string }{{"direct", "http://" + eng}, {"entry", base}} {
			b.Run(fmt.Sprintf("%s/bytes=%d", way.name, size), func(b *testing.B) {
				measureRequests(b, way.url+"/v1/completions", body)
			})
		}
	}
}

func measureRequests(b *testing.B, url, body string) {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	took := make([]time.Duration, 0, b.N)
	b.ResetTimer()
	for range b.N {
		start := time.Now()
		post(b, url, body)
		took = append(took, time.Since(start))
	}
	b.StopTimer()
	runtime.ReadMemStats(&after)
	slices.Sort(took)
	b.ReportMetric(float64(after.TotalAlloc-before.TotalAlloc)/float64(b.N), "alloc-B/op")
	b.ReportMetric(float64(took[len(took)/2].Microseconds()), "p50-us")
	b.ReportMetric(float64(took[len(took)*99/100].Microseconds()), "p99-us")
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "req/s")
}

func post(b *testing.B, url, body string) {
	req, err := http.NewRequest(http.MethodPost, url, strings.NewReader(body))
	if err != nil {
		b.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer "+accountKey)
	req.Header.Set("X-Request-Id", strconv.FormatUint(rand.Uint64(), 16))
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		b.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	if err != nil || resp.StatusCode != http.StatusOK {
		b.Fatalf("status %d, %v: %s", resp.StatusCode, err, text)
	}
}

// BenchmarkSteadyRate offers 500 requests a second in an open loop, through entry and agent and directly to the engine.
func BenchmarkSteadyRate(b *testing.B) {
	const (
		rate   = 500
		offers = 2000
	)
	mdl := simeng.DefaultModel("m")
	mdl.TotalTokens, mdl.PrefillRate, mdl.ChunkTokens = 4_000_000, 1e9, 4_000_000
	mdl.StepBase, mdl.StepPerSeq, mdl.MaxRunning = 100*time.Microsecond, time.Microsecond, 512
	eng, agt := startEngine(b, "a1", mdl)
	_, base := startServing(b, "", agt)
	http.DefaultTransport.(*http.Transport).MaxIdleConnsPerHost = offers
	body := `{"model":"m","max_tokens":1,"prompt":"` + strings.Repeat("word ", 800) + `"}`
	for _, way := range []struct{ name, url string }{{"direct", "http://" + eng}, {"entry", base}} {
		b.Run(way.name, func(b *testing.B) {
			for b.Loop() {
				took := make([]time.Duration, offers)
				var wait sync.WaitGroup
				for idx := range offers {
					time.Sleep(time.Duration(rand.ExpFloat64() * float64(time.Second) / rate))
					wait.Add(1)
					go func() {
						defer wait.Done()
						start := time.Now()
						post(b, way.url+"/v1/completions", body)
						took[idx] = time.Since(start)
					}()
				}
				wait.Wait()
				slices.Sort(took)
				b.ReportMetric(float64(took[offers/2].Microseconds()), "p50-us")
				b.ReportMetric(float64(took[offers*99/100].Microseconds()), "p99-us")
			}
		})
	}
}
