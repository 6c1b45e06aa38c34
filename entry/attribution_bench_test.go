package entry_test

import (
	"slices"
	"sync"
	"testing"
	"time"
)

// BenchmarkCrashingRequest counts the engines that a request costs whose caller sends it 20 times through two entries,
// beside 40 other streams of 400 tokens on 8 engines, and the time that the others need: without the request, with it
// while the search for such requests is disabled, and with it.
func BenchmarkCrashingRequest(b *testing.B) {
	for _, tst := range []struct {
		name, more string
		crashing   bool
	}{
		{"no-crashing-request", "", false},
		{"disabled", "[blame]\nenabled = false\n", true},
		{"enabled", "", true},
	} {
		b.Run(tst.name, func(b *testing.B) {
			var crashes, failed, resends int
			var times []time.Duration
			for b.Loop() {
				flt := newCrashFleet(b, 8, 2, true, tst.more)
				flt.each = func(dur time.Duration) { times = append(times, dur) }
				wait := flt.others(b, 40, 400)
				var resending sync.WaitGroup
				for _, base := range flt.bases {
					if tst.crashing {
						resending.Go(func() { flt.resend(b, base) })
					}
				}
				resending.Wait()
				failed += len(wait())
				crashes += int(flt.crashes.Load())
				resends++
			}
			slices.Sort(times)
			num := float64(resends)
			b.ReportMetric(0, "ns/op")
			b.ReportMetric(float64(crashes)/num, "engines-lost")
			b.ReportMetric(float64(failed)/num, "others-failed")
			if len(times) > 0 {
				b.ReportMetric(float64(times[len(times)/2].Milliseconds()), "other-p50-ms")
				b.ReportMetric(float64(times[len(times)-1].Milliseconds()), "other-max-ms")
			}
		})
	}
}
