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
		for !over && slo.HasRoom(now, len(inFlight)) {
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
	chk.Equal(slo.Limit(now), 40)
	later := now.Add(time.Second)
	chk.True(slo.Late(later, now, 30))
	chk.Equal(slo.Limit(later), 15)
	chk.True(!slo.Late(later, now, 29))
	chk.Equal(slo.Limit(later), 15)
}

// TestLimitGrowsWithoutResponses guards against a front without calls at a replica that never learns that it takes
// more.
func TestLimitGrowsWithoutResponses(t *testing.T) {
	chk := is.New(t)
	now := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	slo := pace.NewSlowStart(warmUp, 1, now)
	chk.True(slo.HasRoom(now, 7))
	chk.True(!slo.HasRoom(now, 8))
	chk.True(slo.HasRoom(now.Add(time.Second), 15))
	chk.True(!slo.HasRoom(now.Add(time.Second), 16))
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

// TestRampOfManyFronts guards against a replica that 45 fronts overload together when its cold time ends, or leave idle
// because each of them sees few responses. It handles 300 calls a second, 60 at once, and the calls of all fronts are
// known to the others 40 ms late.
func TestRampOfManyFronts(t *testing.T) {
	const (
		fronts, took, lag = 45, 200 * time.Millisecond, 40 * time.Millisecond
		rate              = 300.0 // calls a second of all fronts
		slots             = 64
	)
	chk := is.New(t)
	sim := newSim(fronts, 1, 0)
	type sent struct {
		at    time.Time
		front *simFront
		calls int
	}
	var inFlight, first []sent // calls of all fronts, and first events that the others have not heard of
	over := make(map[*simFront]bool)
	perSecond, most := make([]int, 10), 0
	for end := sim.now.Add(10 * time.Second); sim.now.Before(end); sim.now = sim.now.Add(tick) {
		for len(inFlight) > 0 && sim.now.Sub(inFlight[0].at) >= took {
			one := inFlight[0]
			inFlight = inFlight[1:]
			one.front.slow[0].OnTime(sim.now, one.calls)
			first = append(first, sent{sim.now.Add(lag), one.front, len(inFlight) + 1})
		}
		for len(first) > 0 && !sim.now.Before(first[0].at) { // The others hear of it.
			for _, frt := range sim.fronts {
				if frt != first[0].front {
					frt.slow[0].OnTime(sim.now, first[0].calls)
				}
				over[frt] = over[frt] || frt.slow[0].Over(sim.now, slots, 0)
			}
			first = first[1:]
		}
		for _, frt := range sim.fronts {
			if sim.rnd.Float64() >= rate/fronts*tick.Seconds() {
				continue
			}
			known := 0
			for _, one := range inFlight {
				if one.front == frt || sim.now.Sub(one.at) >= lag {
					known++
				}
			}
			slo := frt.slow[0]
			if !over[frt] && (!slo.MayTake(sim.now, frt.fronts) ||
				(slo.LimitsCalls(sim.now) && !slo.HasRoom(sim.now, known))) {
				continue
			}
			slo.Take(sim.now)
			inFlight = append(inFlight, sent{sim.now, frt, known + 1})
			most = max(most, len(inFlight))
			perSecond[int(sim.now.Sub(sim.began)/time.Second)]++
		}
	}
	t.Logf("calls in each second: %v, most in flight: %d", perSecond, most)
	chk.True(perSecond[2] <= hardLimit)
	chk.True(most <= slots+slots/2)
	chk.True(float64(perSecond[4]) >= 0.9*rate)
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
