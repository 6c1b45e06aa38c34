package cause

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tarragonwheel/tarragonwheel/timer"
)

// TestSuspectedFeaturesAreForgotten guards against memory that grows for ever in a fleet that loses a replica now and
// then, so that there is always a recent crash.
func TestSuspectedFeaturesAreForgotten(t *testing.T) {
	iis := is.New(t)
	clk, man := timer.NewManual(time.Unix(1700000000, 0))
	trk := New(Options{Clock: clk})
	for num := range uint64(500) {
		man.Advance(suspectTime / 4)
		trk.AddReport(Report{Replica: num, At: clk.Now(), Call: Call{Fingerprint: num, Parts: []uint64{1000 + num}}})
	}
	iis.True(len(trk.crashes) <= 8)
	iis.True(len(trk.suspected) <= 16)
}

// TestPartsOfCrashesAreBounded guards against memory that grows with the number of parts of prompts, and against a
// deadly part that is not found because the prompts beside it have very many.
func TestPartsOfCrashesAreBounded(t *testing.T) {
	iis := is.New(t)
	clk, man := timer.NewManual(time.Unix(1700000000, 0))
	trk := New(Options{Clock: clk})
	parts := func(first, num uint64) (list []uint64) {
		for part := range num {
			list = append(list, first+part)
		}
		return list
	}
	for num := range uint64(12) { // More parts than are kept.
		man.Advance(100 * time.Millisecond)
		for other := range uint64(maxCalls - 1) {
			cal := Call{Fingerprint: num<<8 + other, Parts: parts(num<<32+other<<20, 2*maxParts)}
			trk.AddReport(Report{Replica: num, At: clk.Now(), Call: cal, Advanced: true})
		}
		deadly := Call{Fingerprint: num<<8 + maxCalls, Parts: append(parts(num<<32+1<<30, maxParts-1), 1)}
		trk.AddReport(Report{Replica: num, At: clk.Now(), Call: deadly})
		for _, crs := range trk.crashes {
			iis.True(crs.numParts() <= maxCrashParts)
		}
		iis.True(trk.numParts() <= maxTotalParts)
		iis.True(len(trk.suspected) <= 2*maxTotalParts+maxParts)
		iis.Equal(trk.Blocked(Call{Parts: []uint64{1, 2}}), num >= 2)
	}
}

// TestPartsOfOneCallArriveInSeveralReports guards against parts that are lost because they did not fit into the first
// report of a call.
func TestPartsOfOneCallArriveInSeveralReports(t *testing.T) {
	iis := is.New(t)
	clk, man := timer.NewManual(time.Unix(1700000000, 0))
	trk := New(Options{Clock: clk})
	for num := range uint64(3) {
		man.Advance(100 * time.Millisecond)
		for range 3 { // Each report is repeated.
			for _, part := range []uint64{3, 1, 2} {
				cal := Call{Fingerprint: 100 + num, Parts: []uint64{part, 10*num + 10 + part}}
				trk.AddReport(Report{Replica: num, At: clk.Now(), Call: cal})
			}
		}
		iis.Equal(len(trk.crashes[num].calls), 1)
		iis.Equal(len(trk.crashes[num].calls[0].Parts), 6)
	}
	iis.True(trk.Blocked(Call{Parts: []uint64{9, 3, 2, 1}}))
	iis.True(!trk.Blocked(Call{Parts: []uint64{9, 2, 1}}))
}
