package entry_test

import (
	"bytes"
	"fmt"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/tarragonwheel/tarragonwheel/link"
	"github.com/tarragonwheel/tarragonwheel/load"
	"github.com/tarragonwheel/tarragonwheel/proto"
)

// overloadLimit is the time limit of requests in BenchmarkOverload. It is short, so that overload takes effect within
// the run.
const overloadLimit = 5 * time.Second

// BenchmarkOverload offers 1, 2 and 10 times the capacity of a fleet, one after another, and then half of it. It
// reports goodput, requests that finish after their deadline, and CPU time. Run it with -benchtime 1x -v.
func BenchmarkOverload(b *testing.B) {
	bases := startFleet(b, "predicted")
	for _, percent := range []int{100, 200, 1000, 50} {
		pln := fleetPlan(float64(percent) / 100 * fleetCapacity)
		pln.Duration = *fleetDuration / 2
		pln.TimeLimit = overloadLimit
		before := cpuTime(b)
		start := time.Now()
		samples := offerFleet(bases, pln)
		took := time.Since(start)
		reportOverload(b, percent, samples, pln.Duration)
		b.Logf("%d%%: %v of CPU in %v for %d requests, including load generator and simulated engines",
			percent, cpuTime(b)-before, took, len(samples))
	}
}

func reportOverload(b *testing.B, percent int, samples []load.Sample, dur time.Duration) {
	b.Helper()
	done, late := 0, 0
	for _, smp := range samples {
		switch smp.Outcome {
		case load.OutcomeDone:
			done++
		case load.OutcomeTimeout:
			late++
		}
	}
	var out bytes.Buffer
	if err := load.WriteTable(&out, load.Summarize(fmt.Sprint(percent), samples, nil, dur)); err != nil {
		b.Fatal(err)
	}
	b.Logf("\n%s", out.String())
	b.ReportMetric(float64(done)/dur.Seconds(), fmt.Sprint(percent, "%-done/s"))
	b.ReportMetric(float64(late), fmt.Sprint(percent, "%-late"))
}

// cpuTime returns the CPU time that this process has used.
func cpuTime(b *testing.B) time.Duration {
	b.Helper()
	var use syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &use); err != nil {
		b.Fatal(err)
	}
	return time.Duration(use.Utime.Nano() + use.Stime.Nano())
}

// BenchmarkRefusal measures the CPU time, including the client, to refuse a prompt of 1,000 tokens: by an agent, and by
// the entry without asking an agent.
func BenchmarkRefusal(b *testing.B) {
	for name, queued := range map[string]time.Duration{"agent": 0, "entry": time.Hour} {
		b.Run(name, func(b *testing.B) {
			rep := proto.Report{Healthy: true, PrefillRate: 40_000, QueuedPrefill: queued}
			onOpen := func(str *link.Stream, _ proto.Open) {
				// This reason is not retried.
				_ = str.Send(proto.KindResult, proto.Result{Outcome: proto.OutcomeNotRun, Reason: "prompt-too-long"})
			}
			agt := fakeReportingAgent(b, proto.UpstreamEngine, func() proto.Report { return rep }, onOpen)
			_, base := startServing(b, "", agt)
			body := `{"model":"m","prompt":"` + strings.Repeat("abc ", 1000) + `"}`
			before := cpuTime(b)
			for b.Loop() {
				status, _ := call(b, http.MethodPost, base+"/v1/completions", body, nil)
				if status < http.StatusBadRequest {
					b.Fatal(status)
				}
			}
			b.ReportMetric(float64((cpuTime(b)-before).Microseconds())/float64(b.N), "cpu-us/op")
		})
	}
}
