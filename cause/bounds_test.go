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
