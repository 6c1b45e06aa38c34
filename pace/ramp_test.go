package pace_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tarragonwheel/tarragonwheel/pace"
)

// ramp plays a replica whose cold time has just ended, and that answers calls after the given time. Calls come as fast
// as the slow start lets them. It returns the calls in flight when the time is over, and whether the ramp has ended.
func ramp(took, dur time.Duration, onTime bool) (calls int, over bool) {
	start := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	slo := pace.NewSlowStart(warmUp, 1, start)
	type sent struct {
		at    time.Time
		calls int
	}
	var inFlight []sent
	for now := start; now.Before(start.Add(dur)); now = now.Add(tick) {
		for len(inFlight) > 0 && now.Sub(inFlight[0].at) >= took {
			one := inFlight[0]
			inFlight = inFlight[1:]
			if onTime {
				slo.OnTime(now, one.calls)
			} else {
				slo.Late(now, one.at, one.calls)
			}
			over = over || slo.Over(now, 64, 60)
		}
		for !over && slo.HasRoom(len(inFlight), 0) {
			inFlight = append(inFlight, sent{now, len(inFlight) + 1})
		}
	}
	return len(inFlight), over
}

// TestRampOfAReplicaThatAnswersOnTime guards against a replica that is left idle although it could serve more.
func TestRampOfAReplicaThatAnswersOnTime(t *testing.T) {
	chk := is.New(t)
	_, over := ramp(100*time.Millisecond, 500*time.Millisecond, true) // 8, 16, 32 and 64 calls in flight.
	chk.True(over)
}

// TestRampOfAReplicaThatAnswersLate guards against a replica that gets more calls although it cannot serve them.
func TestRampOfAReplicaThatAnswersLate(t *testing.T) {
	chk := is.New(t)
	calls, over := ramp(500*time.Millisecond, 5*time.Second, false)
	chk.True(!over)
	chk.Equal(calls, 1) // It still gets one, so that it can show that it has recovered.
}

// TestCallsSentTogetherLowerTheLimitOnce guards against a limit that falls to one because of one slow second.
func TestCallsSentTogetherLowerTheLimitOnce(t *testing.T) {
	chk := is.New(t)
	now := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	slo := pace.NewSlowStart(warmUp, 1, now)
	slo.OnTime(now, 20)
	chk.Equal(slo.Limit(), 40)
	later := now.Add(time.Second)
	chk.True(slo.Late(later, now, 30))
	chk.Equal(slo.Limit(), 15)
	chk.True(!slo.Late(later, now, 29))
	chk.Equal(slo.Limit(), 15)
}

// TestLoadOfOtherFrontsCounts guards against a front without calls at a replica that keeps it idle while the calls of
// others there are answered, and against one that ignores their calls.
func TestLoadOfOtherFrontsCounts(t *testing.T) {
	chk := is.New(t)
	slo := pace.NewSlowStart(warmUp, 1, time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC))
	chk.True(slo.HasRoom(7, 0))
	chk.True(!slo.HasRoom(8, 0))
	chk.True(slo.HasRoom(20, 12))
	chk.True(!slo.HasRoom(24, 12))
}

// TestReplicaRespondsAgain guards against a replica that restarts cold while it is unreachable, which no registration
// has told of yet.
func TestReplicaRespondsAgain(t *testing.T) {
	chk := is.New(t)
	now := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	slo := pace.NewSlowStart(warmUp, 1, now)
	chk.True(!slo.Cold(now))
	chk.True(slo.MarkFailing(now))
	chk.True(slo.Cold(now))
	now = now.Add(time.Minute)
	chk.True(!slo.Cold(now)) // A front without a quota must be able to find out whether it responds.
	chk.True(!slo.MarkFailing(now))
	now = now.Add(time.Second)
	chk.True(slo.Cold(now))
	chk.True(slo.Responds(now))
	chk.Equal(slo.ColdLeft(now), coldTime)
	chk.True(!slo.Responds(now))
}

// TestNextCall guards against a Retry-After that is later than the quota allows, or than the cold time.
func TestNextCall(t *testing.T) {
	chk := is.New(t)
	now := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	slo := pace.NewSlowStart(warmUp, 1, now)
	sole := pace.NewFronts("a", nil, 1)
	chk.Equal(slo.NextIn(now, sole), time.Duration(0))
	slo.MarkCold(now, coldTime)
	for range perSecond {
		chk.True(slo.MayTake(now, sole))
		slo.Take(now)
		now = now.Add(10 * time.Millisecond)
	}
	chk.True(!slo.MayTake(now, sole))
	next := slo.NextIn(now, sole)
	chk.True(next > 700*time.Millisecond && next < 720*time.Millisecond)
	chk.True(slo.AboveLimit(now, 1))
	chk.True(!slo.AboveLimit(now, 0))
}

// BenchmarkMayTake measures what a slow start costs for each replica and call.
func BenchmarkMayTake(b *testing.B) {
	now := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	slo := pace.NewSlowStart(warmUp, 1, now)
	slo.MarkCold(now, coldTime)
	frs := pace.NewFronts("a", []string{"b"}, 1)
	for range 16 {
		slo.Take(now)
	}
	b.ReportAllocs()
	for b.Loop() {
		slo.MayTake(now, frs)
	}
}

// BenchmarkQuota measures what a change of the fronts costs for each cold replica, among 500 fronts.
func BenchmarkQuota(b *testing.B) {
	frs := pace.NewFronts("a", nil, 500)
	b.ReportAllocs()
	for b.Loop() {
		frs.Quota(1, perSecond)
	}
}

// BenchmarkNewFronts measures what a change of the fronts costs once, among 500 fronts.
func BenchmarkNewFronts(b *testing.B) {
	b.ReportAllocs()
	for b.Loop() {
		pace.NewFronts("a", nil, 500)
	}
}
