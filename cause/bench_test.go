package cause_test

import (
	"testing"

	"github.com/tarragonwheel/tarragonwheel/cause"
	"github.com/tarragonwheel/tarragonwheel/timer"
)

// addCrash reports a crash with a batch of 16 calls. One of them has a part in common with calls of the other crashes.
func addCrash(trk *cause.Tracker, clk *timer.Service, replica uint64) {
	for num := range uint64(16) {
		fpr := replica<<8 + num
		cal := cause.Call{Fingerprint: fpr, Parts: []uint64{1 << 61, 1<<62 + fpr}}
		if num == 0 {
			cal.Parts[1] = 1 << 60
		}
		trk.AddReport(cause.Report{Replica: replica, At: clk.Now(), Call: cal})
	}
}

// fullTracker returns a tracker with as many crashes as it keeps.
func fullTracker(clk *timer.Service) *cause.Tracker {
	trk := cause.New(cause.Options{Clock: clk})
	for replica := range uint64(128) {
		addCrash(trk, clk, replica)
	}
	return trk
}

func BenchmarkCrashOfFullTracker(b *testing.B) {
	clk := timer.New()
	trk := fullTracker(clk)
	for replica := uint64(1000); b.Loop(); replica++ {
		addCrash(trk, clk, replica)
		_ = trk.Blocked(cause.Call{Fingerprint: 1})
	}
}

func BenchmarkBlockedByFullTracker(b *testing.B) {
	trk := fullTracker(timer.New())
	cal := cause.Call{Fingerprint: 1 << 41, Parts: []uint64{1 << 42, 1 << 43}}
	for b.Loop() {
		_ = trk.Blocked(cal)
	}
}

func BenchmarkAnswerWithoutCrashes(b *testing.B) {
	trk := cause.New(cause.Options{Clock: timer.New()})
	for num := uint64(0); b.Loop(); num++ {
		trk.RecordAnswer(cause.Call{Parts: []uint64{1, 2, num}})
	}
}

// BenchmarkCrashOfLongPrompts measures the explanation of crashes under calls of one long conversation, all of whose
// parts are suspects.
func BenchmarkCrashOfLongPrompts(b *testing.B) {
	clk := timer.New()
	trk := cause.New(cause.Options{Clock: clk})
	parts := make([]uint64, 2000)
	for idx := range parts {
		parts[idx] = uint64(idx)
	}
	for replica := range uint64(8) {
		cal := cause.Call{Fingerprint: 1<<40 + replica, Parts: parts}
		trk.AddReport(cause.Report{Replica: replica, At: clk.Now(), Call: cal})
	}
	for num := uint64(0); b.Loop(); num++ {
		trk.AddReport(cause.Report{Replica: 100 + num, At: clk.Now(), Call: cause.Call{Fingerprint: num}})
		_ = trk.Blocked(cause.Call{Fingerprint: 1})
	}
}
