package entry_test

import (
	"bytes"
	"fmt"
	"syscall"
	"testing"
	"time"

	"github.com/tarragonwheel/tarragonwheel/load"
)

// overloadLimit is the time limit of requests in BenchmarkOverload. It is short, so that overload shows in the run.
const overloadLimit = 5 * time.Second

// BenchmarkOverload offers several times what a fleet carries, one level after another, and then half of it again. It
// reports goodput, requests past their time, and CPU time. Run it with -benchtime 1x -v.
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
		b.Logf("%d%%: %v of CPU in %v for %d requests, load generator and engine stand-ins included",
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
		case load.OutcomeLate:
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
