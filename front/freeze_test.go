package front

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestLongStopIsNoticed guards against calls that are sent with outdated knowledge of evacuated data centres after the
// process was stopped, and against calls that wait although it was not, or longer than needed.
func TestLongStopIsNoticed(t *testing.T) {
	iis := is.New(t)
	var fzw freezeWatch
	start := time.Unix(1_700_000_000, 0)
	for _, at := range []time.Duration{0, time.Second, time.Second + maxFreeze} {
		resumedAt, isNew := fzw.recordRun(start.Add(at))
		iis.True(resumedAt.IsZero() && !isNew)
	}
	resumed := start.Add(time.Minute)
	for num := range 3 {
		resumedAt, isNew := fzw.recordRun(resumed.Add(time.Duration(num) * time.Millisecond))
		iis.Equal(resumedAt, resumed)
		iis.Equal(isNew, num == 0)
	}
	fzw.finish()
	resumedAt, _ := fzw.recordRun(resumed.Add(time.Second))
	iis.True(resumedAt.IsZero())
}
