package cause_test

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tarragonwheel/tarragonwheel/cause"
	"github.com/tarragonwheel/tarragonwheel/timer"
)

// waits tells whether a call waits until it is known whether replicas have crashed under it.
func waits(trk *cause.Tracker, cal cause.Call) bool {
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
	defer cancel()
	trk.AwaitDecision(ctx, cal)
	return ctx.Err() != nil
}

// TestLostAnswersDoNotBlock guards against a call that is blocked although no replica has crashed under it, and against
// a first retry that waits for a check.
func TestLostAnswersDoNotBlock(t *testing.T) {
	iis := is.New(t)
	clk, _ := timer.NewManual(time.Unix(1700000000, 0))
	trk := cause.New(cause.Options{Clock: clk})
	cal := cause.Call{Fingerprint: 1, Parts: []uint64{2, 3}}
	for _, replica := range []string{"a", "b", "c", "d"} {
		decide := trk.RecordBreak(replica, cal, false)
		iis.True(trk.Active())
		iis.True(!waits(trk, cal))
		decide(false)
		iis.True(!trk.Blocked(cal))
	}
	iis.True(!trk.Active())
}

// TestCrashesBlockOnceDecided guards against a call that runs at a third replica because it is not known yet that the
// first two have crashed under it.
func TestCrashesBlockOnceDecided(t *testing.T) {
	iis := is.New(t)
	clk, _ := timer.NewManual(time.Unix(1700000000, 0))
	trk := cause.New(cause.Options{Clock: clk})
	cal := cause.Call{Fingerprint: 1}
	one := trk.RecordBreak("a", cal, false)
	two := trk.RecordBreak("b", cal, false)
	iis.True(waits(trk, cal))
	iis.True(trk.Undecided(cal)) // A call in progress begins no other attempt instead of waiting.
	iis.True(!waits(trk, cause.Call{Fingerprint: 9}))
	iis.True(!trk.Undecided(cause.Call{Fingerprint: 9}))
	go func() {
		one(true)
		two(true)
	}()
	trk.AwaitDecision(t.Context(), cal)
	iis.True(trk.Blocked(cal))
}

// TestSuspectedPartWaits guards against one more crash under calls that share a part, of which a crash is known,
// because the next one is not known yet; and against calls that wait because lost answers have a part in common.
func TestSuspectedPartWaits(t *testing.T) {
	iis := is.New(t)
	clk, _ := timer.NewManual(time.Unix(1700000000, 0))
	trk := cause.New(cause.Options{Clock: clk})
	call := func(fingerprint uint64) cause.Call { return cause.Call{Fingerprint: fingerprint, Parts: []uint64{7}} }
	for num := range uint64(3) {
		trk.RecordBreak("a", call(num), false)
	}
	iis.True(!waits(trk, call(10)))
	trk.RecordBreak("b", call(11), false)(true)
	iis.True(waits(trk, call(12)))
}

// TestDecisionIsBounded guards against a call that waits without end for a check that does not end.
func TestDecisionIsBounded(t *testing.T) {
	iis := is.New(t)
	trk := cause.New(cause.Options{Clock: timer.New()})
	cal := cause.Call{Fingerprint: 1}
	trk.RecordBreak("a", cal, false)
	trk.RecordBreak("b", cal, false)
	trk.AwaitDecision(t.Context(), cal)
	iis.NoErr(t.Context().Err())
}

// TestAnswerDuringCheckClears guards against a call that is suspected of a crash although another replica answered it
// while that crash was not known yet.
func TestAnswerDuringCheckClears(t *testing.T) {
	iis := is.New(t)
	clk, man := timer.NewManual(time.Unix(1700000000, 0))
	trk := cause.New(cause.Options{Clock: clk})
	cal := cause.Call{Fingerprint: 1}
	for _, replica := range []string{"a", "b", "c", "d"} {
		decide := trk.RecordBreak(replica, cal, false)
		man.Advance(time.Millisecond)
		trk.RecordAnswer(cal)
		decide(true)
		man.Advance(2 * time.Second)
	}
	iis.True(!trk.Blocked(cal))
}
