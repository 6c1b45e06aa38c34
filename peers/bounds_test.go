package peers

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestOddNumbersInMessagesAreBounded guards against a datagram of another program whose numbers overflow: a digest with
// a negative age, after which its receiver would not read the store for years, or load that counts as less than none.
func TestOddNumbersInMessagesAreBounded(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	for _, num := range []int64{math.MinInt64, math.MaxInt64, -1e15, 1e15, -1, 9223372036855} {
		iis := is.New(t)
		small := int(max(min(num, math.MaxInt), math.MinInt))
		dig := storeDigest{AgeMs: num}
		iis.True(dig.toDigest(0).Age >= 0 && dig.toDigest(0).Age <= maxMessageTime)
		upd := taskUpdate{
			KVTokens: small, PrefillMs: num, GapTargetMs: num, DueMs: num, ExpectedMs: num, AgeMs: num,
			ValueTenths: small,
		}
		tsk := upd.toRemoteTask(now).Task
		iis.True(!tsk.StartedAt.After(now) && now.Sub(tsk.StartedAt) <= maxMessageTime)
		iis.True(tsk.DueAt.Sub(now).Abs() <= 2*maxMessageTime && tsk.ExpectedAt.Sub(now).Abs() <= 2*maxMessageTime)
		iis.True(tsk.KVTokens >= 0 && tsk.KVTokens <= maxCount && tsk.Value >= 0)
		iis.True(tsk.PrefillTime >= 0 && tsk.PrefillTime <= maxMessageTime && tsk.GapTarget >= 0)
		rsm := replicaSummary{
			Calls: small, ShortCalls: small, DecodeStreams: small, DecodeTokens: small, KVTokens: small,
			PrefillBacklogMs: num, SplitBacklogMs: num, DecodeValueTenths: small, GapTargetMs: num,
			PrefillValueTenths: small, FirstEventDueInMs: num,
		}
		sum := rsm.toSummary()
		iis.True(min(sum.Calls, sum.ShortCalls, sum.DecodeStreams, sum.DecodeTokens, sum.KVTokens) >= 0)
		iis.True(max(sum.Calls, sum.ShortCalls, sum.DecodeStreams, sum.DecodeTokens, sum.KVTokens) <= maxCount)
		iis.True(min(sum.PrefillBacklog, sum.SplitBacklog, sum.GapTarget, sum.DueIn) >= 0)
		iis.True(max(sum.PrefillBacklog, sum.SplitBacklog, sum.GapTarget, sum.DueIn) <= maxMessageTime)
	}
}
