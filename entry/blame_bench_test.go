package entry_test

import (
	"slices"
	"sync"
	"testing"
	"time"
)

// BenchmarkKiller counts the engines that a request costs whose caller sends it 20 times through two entries, beside 40
// innocent streams of 400 tokens on 8 engines, and the time that the innocents need: without the killer, with it while
// nobody looks for it, and with it.
func BenchmarkKiller(b *testing.B) {
	for _, tst := range []struct {
		name, more string
		killer     bool
	}{
		{"no-killer", "", false},
		{"disabled", "[blame]\nenabled = false\n", true},
		{"enabled", "", true},
	} {
		b.Run(tst.name, func(b *testing.B) {
			var crashes, failed, resends int
			var times []time.Duration
			for b.Loop() {
				flt := newCrashFleet(b, 8, 2, true, tst.more)
				flt.each = func(dur time.Duration) { times = append(times, dur) }
				wait := flt.innocents(b, 40, 400)
				var killers sync.WaitGroup
				for _, base := range flt.bases {
					if tst.killer {
						killers.Go(func() { flt.resend(b, base) })
					}
				}
				killers.Wait()
				failed += len(wait())
				crashes += int(flt.crashes.Load())
				resends++
			}
			slices.Sort(times)
			num := float64(resends)
			b.ReportMetric(0, "ns/op")
			b.ReportMetric(float64(crashes)/num, "engines-lost")
			b.ReportMetric(float64(failed)/num, "innocents-failed")
			if len(times) > 0 {
				b.ReportMetric(float64(times[len(times)/2].Milliseconds()), "innocent-p50-ms")
				b.ReportMetric(float64(times[len(times)-1].Milliseconds()), "innocent-max-ms")
			}
		})
	}
}
