package entry_test

import (
	"slices"
	"sync"
	"testing"
	"time"
)

// BenchmarkCrashingRequest sends a request that crashes engines up to 20 times through each of two entries, beside 40
// other streams of 400 tokens on 8 engines. It reports the number of crashed engines, and the failures and durations of
// the other streams: without the request, and with it while crash attribution is disabled or enabled.
func BenchmarkCrashingRequest(b *testing.B) {
	for _, tst := range []struct {
		name, settings string
		crashing       bool
	}{
		{"no-crashing-request", "", false},
		{"disabled", "[blame]\nenabled = false\n", true},
		{"enabled", "", true},
	} {
		b.Run(tst.name, func(b *testing.B) {
			var crashes, failed, resends int
			var times []time.Duration
			for b.Loop() {
				flt := newCrashFleet(b, 8, 2, true, tst.settings)
				flt.onFinished = func(dur time.Duration) { times = append(times, dur) }
				wait := flt.startOthers(b, 40, 400)
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
