package share_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

const flooder = "flooder"

// longFlow is a flow of prompts of 100,000 tokens, which a replica prefills in 1.5 s.
func longFlow(account string, perS float64) flow {
	return flow{account: account, perS: perS, tokens: 100000, target: 3 * time.Second, limit: 15 * time.Second}
}

// equalFlows returns the flows of eight accounts.
func equalFlows(perS float64) (list []flow) {
	for num := range 8 {
		list = append(list, longFlow(fmt.Sprint("account-", num), perS))
	}
	return list
}

// runFlood runs eight accounts on eight replicas, and a ninth that sends ten times what each of them does if withFlood
// is set. It returns the tallies of the eight together and of the ninth, summed over two seeds.
func runFlood(t *testing.T, perS float64, withFlood, withLedger bool) (others, flood tally) {
	t.Helper()
	for seed := range uint64(2) {
		flows := equalFlows(perS)
		if withFlood {
			flows = append(flows, longFlow(flooder, 10*perS))
		}
		for account, tal := range newSite(t, seed, 8, withLedger).run(24*time.Second, flows...) {
			sum := &others
			if account == flooder {
				sum = &flood
			}
			sum.calls += tal.calls
			sum.refused += tal.refused
		}
	}
	t.Logf("%.1f calls/s each, flood %v, ledger %v: others refused %.3f of %d, flooder %.3f of %d", perS, withFlood,
		withLedger, others.refusedShare(), others.calls, flood.refusedShare(), flood.calls)
	return others, flood
}

// TestFloodDoesNotStarveOthers guards against one account that takes the capacity of the others. Load: eight accounts
// that together ask for 1.5 times what eight replicas can prefill, and a ninth that sends ten times what each does. The
// others must lose no more than an equal part for the ninth, which must not be starved either.
func TestFloodDoesNotStarveOthers(t *testing.T) {
	iis := is.New(t)
	before, _ := runFlood(t, 1, false, true)
	others, flood := runFlood(t, 1, true, true)
	without, _ := runFlood(t, 1, true, false)
	iis.True(1-others.refusedShare() >= (1-before.refusedShare())*8/9)
	iis.True(others.refusedShare() < without.refusedShare())
	iis.True(flood.calls-flood.refused >= (others.calls-others.refused)/8)
}

// TestFloodSparesAccountsWithinTheirShare guards against the refusal of accounts that need less than their equal part.
// Load: eight accounts that ask for three quarters of what the replicas can prefill, and a ninth that sends ten times
// what each does. At most a tenth of their calls may be refused.
func TestFloodSparesAccountsWithinTheirShare(t *testing.T) {
	iis := is.New(t)
	others, flood := runFlood(t, 0.5, true, true)
	without, _ := runFlood(t, 0.5, true, false)
	iis.True(others.refusedShare() < 0.1)
	iis.True(others.refusedShare() < without.refusedShare()/3)
	iis.True(flood.calls-flood.refused >= (others.calls-others.refused)/8)
}

// TestFloodLeavesOthersAsBefore guards against accounts within their share that are refused more often because another
// one floods the replicas. Load: as in TestFloodSparesAccountsWithinTheirShare.
func TestFloodLeavesOthersAsBefore(t *testing.T) {
	iis := is.New(t)
	before, _ := runFlood(t, 0.5, false, true)
	others, _ := runFlood(t, 0.5, true, true)
	iis.True(others.refusedShare() <= before.refusedShare())
}

// TestEqualAccountsAreServedAlike guards against a price that prefers some of several equal accounts. Load: eight equal
// accounts that together ask for 1.5 times what eight replicas can prefill.
func TestEqualAccountsAreServedAlike(t *testing.T) {
	iis := is.New(t)
	served := make(map[string]float64)
	all := 0.0
	for seed := range uint64(4) {
		for account, tal := range newSite(t, seed, 8, true).run(24*time.Second, equalFlows(1)...) {
			served[account] += float64(tal.calls - tal.refused)
			all += float64(tal.calls - tal.refused)
		}
	}
	t.Log(served)
	for _, num := range served {
		iis.True(num > 0.75*all/8)
		iis.True(num < 1.25*all/8)
	}
}

// TestSingleAccountIsServedAsBefore guards against an account that pays more although no other one wants the capacity.
// Load: one account that asks for 1.5 times what eight replicas can prefill.
func TestSingleAccountIsServedAsBefore(t *testing.T) {
	iis := is.New(t)
	with, without := newSite(t, 1, 8, true), newSite(t, 1, 8, false)
	with.run(20*time.Second, longFlow("account", 8))
	without.run(20*time.Second, longFlow("account", 8))
	iis.True(with.maxPrice > 0)
	iis.Equal(with.decisions, without.decisions)
}

// TestIdleReplicasIgnoreTheLedger guards against a ledger that changes decisions while there is no shortage. Load: nine
// accounts, of which one sends ten times what each of the others does, on replicas that are a third used.
func TestIdleReplicasIgnoreTheLedger(t *testing.T) {
	iis := is.New(t)
	var flows []flow
	for num := range 9 {
		flo := flow{
			account: fmt.Sprint("account-", num), perS: 1, tokens: 8000, target: time.Second, limit: 10 * time.Second,
		}
		if num == 0 {
			flo.perS = 10
		}
		flows = append(flows, flo)
	}
	with, without := newSite(t, 1, 8, true), newSite(t, 1, 8, false)
	with.run(20*time.Second, flows...)
	without.run(20*time.Second, flows...)
	iis.Equal(with.maxPrice, 0.0)
	iis.True(len(with.decisions) > 300)
	iis.Equal(with.decisions, without.decisions)
}

// TestShortPromptsPassBesideHugeOnes guards against short prompts that are refused because another account sends very
// long ones. Load: 40 short prompts a second on eight replicas, and for five seconds two prompts of 250,000 tokens a
// second, whose prefill takes 7.2 s each. No short call may be refused: its caller waits for an answer within half a
// second.
func TestShortPromptsPassBesideHugeOnes(t *testing.T) {
	iis := is.New(t)
	short := flow{account: "short", perS: 40, tokens: 3000, target: 500 * time.Millisecond, limit: 10 * time.Second}
	huge := flow{
		account: "huge", perS: 2, tokens: 250000, target: 5 * time.Second, limit: 15 * time.Second,
		from: 5 * time.Second, until: 10 * time.Second,
	}
	tallies := newSite(t, 1, 8, true).run(20*time.Second, short, huge)
	t.Logf("short %+v, huge %+v", *tallies["short"], *tallies["huge"])
	iis.Equal(tallies["short"].refused, 0)
	iis.True(tallies["huge"].refused < tallies["huge"].calls)
	iis.True(tallies["huge"].longestHeld < huge.limit/3)
}

// TestNoCallIsHeldToItsDeadline guards against long prompts that are deferred although waiting cannot help: their
// clients give up or have no time for a retry. Load: eight accounts that ask for three times what the replicas can
// prefill, with a time limit little above the latency target.
func TestNoCallIsHeldToItsDeadline(t *testing.T) {
	iis := is.New(t)
	flows := equalFlows(2)
	for idx := range flows {
		flows[idx].limit = 4 * time.Second
	}
	for _, tal := range newSite(t, 1, 8, true).run(20*time.Second, flows...) {
		t.Logf("%+v", *tal)
		iis.True(tal.refused > 0)
		iis.True(tal.longestHeld <= flows[0].limit*2/3)
	}
}

// TestHurriedClientIsAnsweredAtOnce guards against a client with little time left that is held although no replica can
// begin its call in time. Load: eight accounts that keep the replicas busy, and one whose clients wait for 300 ms.
func TestHurriedClientIsAnsweredAtOnce(t *testing.T) {
	iis := is.New(t)
	flows := append(equalFlows(1), flow{
		account: "hurried", perS: 5, tokens: 20000, target: 300 * time.Millisecond, limit: 300 * time.Millisecond,
	})
	tallies := newSite(t, 1, 8, true).run(20*time.Second, flows...)
	tal := tallies["hurried"]
	t.Logf("%+v", *tal)
	iis.True(tal.refused > 0)
	iis.True(tal.late <= tal.calls/20) // What is sent to a replica begins in time.
	iis.Equal(tal.longestHeld, time.Duration(0))
}
