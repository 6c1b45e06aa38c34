package entry_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/tarragonwheel/tarragonwheel/state"
)

// BenchmarkConfirmApplied measures the time from the append of a confirmed plan to the log until 3 entries and 30
// agents have applied it, over loopback in one process.
func BenchmarkConfirmApplied(b *testing.B) {
	_, addr := startLog(b)
	var stores []*state.Store
	var addrs []string
	for num := range 30 {
		agt := startAgent(b, fmt.Sprint("a", num))
		stores, addrs = append(stores, agt.Configuration()), append(addrs, agt.Address())
	}
	for num := range 3 {
		stores = append(stores, startEntry(b, fmt.Sprint("e", num), addr, addrs...).Configuration())
	}
	confirm := func(num int) {
		off := appendDrain(b, addr, fmt.Sprint("plan-", num), fmt.Sprint("upstream-", num))
		for _, sto := range stores {
			awaitVersion(b, sto, off)
		}
	}
	confirm(0)
	var worst time.Duration
	num := 0
	for b.Loop() {
		num++
		start := time.Now()
		confirm(num)
		worst = max(worst, time.Since(start))
	}
	b.ReportMetric(float64(worst.Microseconds())/1000, "worst-ms")
}
