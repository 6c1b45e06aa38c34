package hedge_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tarragonwheel/tarragonwheel/hedge"
)

var key = hedge.Key{Route: "r", Service: "s"}

// learned returns Times that know responses of the given times.
func learned(num int, took func(num int) time.Duration) *hedge.Times {
	tms := hedge.New()
	for idx := range num {
		tms.Record(key, took(idx))
	}
	return tms
}

func always(took time.Duration) func(int) time.Duration {
	return func(int) time.Duration { return took }
}

// TestNothingIsOverdueAtFirst guards against second attempts before it is known how long responses take.
func TestNothingIsOverdueAtFirst(t *testing.T) {
	iis := is.New(t)
	_, ok := learned(19, always(time.Millisecond)).OverdueAfter(key, 0, time.Minute)
	iis.True(!ok)
	_, ok = learned(20, always(time.Millisecond)).OverdueAfter(key, 0, time.Minute)
	iis.True(ok)
	_, ok = learned(20, always(time.Millisecond)).OverdueAfter(hedge.Key{Route: "other"}, 0, time.Minute)
	iis.True(!ok)
}

// TestOverdueFollowsResponses guards against second attempts for calls that take as long as usual, also when all
// responses have become slower, and against a prediction that stays high after a slow time.
func TestOverdueFollowsResponses(t *testing.T) {
	iis := is.New(t)
	tms := learned(100, func(num int) time.Duration { return time.Duration(100+num%20) * time.Millisecond })
	after, ok := tms.OverdueAfter(key, 0, time.Minute)
	iis.True(ok)
	iis.True(after > 150*time.Millisecond && after < 200*time.Millisecond)
	for range 70 {
		tms.Record(key, time.Second)
	}
	after, _ = tms.OverdueAfter(key, 0, time.Minute)
	iis.Equal(after, 1500*time.Millisecond)
	for range 72 {
		tms.Record(key, 10*time.Millisecond)
	}
	after, _ = tms.OverdueAfter(key, 0, time.Minute)
	iis.Equal(after, 50*time.Millisecond)
}

// TestFewLateResponsesAreNoRule guards against a route on which no call is ever overdue because one in thirty is late.
func TestFewLateResponsesAreNoRule(t *testing.T) {
	iis := is.New(t)
	tms := learned(100, func(num int) time.Duration {
		if num%30 == 0 {
			return 4 * time.Second
		}
		return 20 * time.Millisecond
	})
	after, ok := tms.OverdueAfter(key, 0, time.Minute)
	iis.True(ok)
	iis.Equal(after, 60*time.Millisecond)
}

// TestSecondAttemptNeedsTime guards against second attempts whose responses would come after the client has left.
func TestSecondAttemptNeedsTime(t *testing.T) {
	iis := is.New(t)
	tms := learned(30, always(100*time.Millisecond))
	_, ok := tms.OverdueAfter(key, 0, 240*time.Millisecond)
	iis.True(!ok)
	_, ok = tms.OverdueAfter(key, 0, 300*time.Millisecond)
	iis.True(ok)
}

// TestPredictionOfTheModelCounts guards against second attempts for a long prompt among short ones.
func TestPredictionOfTheModelCounts(t *testing.T) {
	iis := is.New(t)
	after, ok := learned(30, always(100*time.Millisecond)).OverdueAfter(key, 2*time.Second, time.Minute)
	iis.True(ok)
	iis.Equal(after, 3*time.Second)
}

// TestKeysAreBounded guards against memory that grows with each configuration.
func TestKeysAreBounded(t *testing.T) {
	iis := is.New(t)
	tms := hedge.New()
	for num := range 20000 {
		tms.Record(hedge.Key{Route: fmt.Sprint(num)}, time.Second)
	}
	iis.True(tms.Len() <= 4096)
}

func BenchmarkRecord(b *testing.B) {
	tms := hedge.New()
	for idx := range b.N {
		tms.Record(key, time.Duration(idx%1000))
		tms.OverdueAfter(key, 0, time.Second)
	}
}
