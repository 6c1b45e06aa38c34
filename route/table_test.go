package route_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tarragonwheel/tarragonwheel/proto"
	"github.com/tarragonwheel/tarragonwheel/route"
	"github.com/tarragonwheel/tarragonwheel/timer"
)

var target = route.Target{Kind: proto.UpstreamEngine, Serves: "m"}

func peer(name string) proto.Peer {
	return proto.Peer{Name: name, DataCentre: "a", Kind: target.Kind, Serves: target.Serves}
}

func table(names ...string) (*route.Table, *timer.Manual) {
	clk, man := timer.NewManual(time.Unix(0, 0))
	tab := route.NewTable(route.Options{Clock: clk, DataCentre: "a", RemoteDelay: 5 * time.Millisecond})
	for _, name := range names {
		tab.Connect(peer(name))
		tab.Report(peer(name), proto.Report{Healthy: true, PrefillRate: 1000})
	}
	return tab, man
}

func pick(tab *route.Table, tokens int, hashes ...uint64) *route.Placement {
	return tab.Pick(route.Query{Target: target, Cost: proto.Cost{PromptTokens: tokens}, PrefixHash: hashes})
}

// Guards against all calls between two reports going to the agent that the last report favoured.
func TestCallsSentSinceReportCount(t *testing.T) {
	is := is.New(t)
	tab, _ := table("one", "two")
	first := pick(tab, 5000)
	second := pick(tab, 100)
	is.True(first.Agent() != second.Agent())
	is.Equal(pick(tab, 100).Agent(), second.Agent()) // The first agent has 5 s of prefill backlog.
}

// Guards against calls to agents that drain, are unhealthy, send no reports or have disconnected.
func TestUnusableAgents(t *testing.T) {
	is := is.New(t)
	tab, man := table("one")
	is.True(tab.Ready())
	tab.Report(peer("one"), proto.Report{Healthy: true, Draining: true})
	is.Equal(pick(tab, 1), nil)
	tab.Report(peer("one"), proto.Report{})
	is.Equal(pick(tab, 1), nil)
	tab.Report(peer("one"), proto.Report{Healthy: true})
	is.True(pick(tab, 1) != nil)
	man.Advance(7 * time.Second)
	is.Equal(pick(tab, 1), nil)
	tab.Report(peer("one"), proto.Report{Healthy: true})
	tab.Disconnect(peer("one"))
	is.True(!tab.Ready())
	is.True(tab.EverConnected(target))
}

// Guards against sending all calls to an agent at once after it has failed.
func TestOneProbeAtATime(t *testing.T) {
	is := is.New(t)
	tab, man := table("one")
	pick(tab, 1).End(route.Failed)
	is.Equal(pick(tab, 1), nil)
	man.Advance(300 * time.Millisecond)
	probe := pick(tab, 1)
	is.True(probe != nil)
	is.Equal(pick(tab, 1), nil)
	probe.RecordStarted()
	is.True(pick(tab, 1) != nil)
}

// Guards against a penalty that keeps an agent out of use for longer than about a second after a refusal.
func TestPenaltyDecays(t *testing.T) {
	is := is.New(t)
	tab, man := table("one", "two")
	refused := pick(tab, 0)
	refused.End(route.Refused)
	for range 20 {
		plc := pick(tab, 0)
		is.True(plc.Agent() != refused.Agent())
		plc.End(route.Succeeded)
	}
	man.Advance(1500 * time.Millisecond)
	busy := pick(tab, 100) // 100 ms of prefill outweigh the rest of the penalty.
	is.True(pick(tab, 0).Agent() != busy.Agent())
}

// Guards against spreading prompts with a common prefix over all agents.
func TestCachedPrefixAttracts(t *testing.T) {
	is := is.New(t)
	tab, _ := table("a", "b", "c", "d", "e", "f", "g", "h")
	first := pick(tab, 4096, 1, 2, 3, 4)
	first.End(route.Succeeded)
	for idx := range 20 {
		plc := pick(tab, 4096, 1, 2, 3, uint64(100+idx))
		is.Equal(plc.Agent(), first.Agent())
		is.Equal(plc.Cost.CachedTokens, 3*1024)
		plc.End(route.Succeeded)
	}
}

// Guards against a retry that reaches another agent than the first attempt.
func TestStickyCalls(t *testing.T) {
	is := is.New(t)
	tab, _ := table("a", "b", "c", "d")
	qry := route.Query{Target: target, Sticky: "12"}
	first := tab.Pick(qry)
	is.Equal(tab.Pick(qry).Agent(), first.Agent())
	tab.Disconnect(peer(first.Agent()))
	is.True(tab.Pick(qry).Agent() != first.Agent())
}

// Guards against entries that send copies of a request suspected of crashing engines to different agents, or back to
// the agent whose engine it may have crashed while another agent is usable.
func TestHomeIsSameForAllEntriesAndAvoids(t *testing.T) {
	is := is.New(t)
	one, _ := table("a", "b", "c", "d")
	two, _ := table("d", "c", "b", "a")
	qry := route.Query{Target: target, StickyUnlessAvoided: "fingerprint"}
	first := one.Pick(qry).Agent()
	is.Equal(two.Pick(qry).Agent(), first)
	qry.AvoidAgents = []string{first}
	other := one.Pick(qry).Agent()
	is.True(other != first)
	is.Equal(two.Pick(qry).Agent(), other)
	qry.AvoidAgents = []string{"a", "b", "c", "d"}
	is.Equal(one.Pick(qry).Agent(), first)
}

// Guards against copies of a new request on several agents, and against a preference for an agent that was tried or is
// not usable.
func TestPreferredAgent(t *testing.T) {
	is := is.New(t)
	tab, _ := table("a", "b")
	tab.Report(peer("b"), proto.Report{Healthy: true, PrefillRate: 1000, QueuedPrefill: time.Minute})
	qry := route.Query{Target: target, Prefer: "b"}
	is.Equal(tab.Pick(qry).Agent(), "b")
	qry.AvoidAgents = []string{"b"}
	is.Equal(tab.Pick(qry).Agent(), "a")
	qry.AvoidAgents = nil
	tab.Report(peer("b"), proto.Report{})
	is.Equal(tab.Pick(qry).Agent(), "a")
}

// Guards against counting the long backlog, which short requests overtake, in their predicted wait, and against a
// reported backlog that does not decrease with time.
func TestShortCountsShortBacklog(t *testing.T) {
	is := is.New(t)
	tab, man := table("one", "two")
	rep := proto.Report{Healthy: true, PrefillRate: 40_000, ShortLimit: 10_000, QueuedPrefill: 3 * time.Second}
	tab.Report(peer("one"), rep)
	rep.LongPrefill = 5 * time.Second
	rep.QueuedPrefill = 5 * time.Second
	tab.Report(peer("two"), rep)
	is.Equal(pick(tab, 1000).Agent(), "two")
	is.Equal(pick(tab, 20_000).Agent(), "one")
	man.Advance(2 * time.Second) // 1.5 s are left at the first, 3.025 s at the second.
	is.Equal(pick(tab, 40_000).Agent(), "one")
	is.Equal(pick(tab, 40_000).Agent(), "one")
	is.Equal(pick(tab, 40_000).Agent(), "two")
}

// Guards against short requests delayed by the prefill chunks of a long prompt although an agent without one is free.
func TestShortAvoidsLong(t *testing.T) {
	is := is.New(t)
	names := []string{"a", "b", "c", "d", "e", "f", "g", "h"}
	tab, man := table(names...)
	rep := proto.Report{Healthy: true, PrefillRate: 40_000, ShortLimit: 10_000}
	tab.Report(peer("e"), rep)
	rep.QueuedPrefill = 500 * time.Millisecond
	rep.LongPrefill = rep.QueuedPrefill
	for _, name := range names {
		if name != "e" {
			tab.Report(peer(name), rep)
		}
	}
	man.Advance(time.Second) // The prefill should have ended, but no report has said so.
	for range 20 {
		plc := pick(tab, 1000)
		is.Equal(plc.Agent(), "e")
		plc.End(route.Succeeded)
	}
	count := 0
	for range 12 {
		if pick(tab, 1000).Agent() == "e" {
			count++
		}
	}
	is.Equal(count, 5) // 25 ms each: the fifth waits about as long as for a chunk of a long prompt.
}

// Guards against spreading long prompts over all agents while a few agents can take the load, and against a fixed
// partition that makes long prompts wait while agents are idle.
func TestLongPromptsLeaveAgentsFree(t *testing.T) {
	is := is.New(t)
	names := []string{"a", "b", "c", "d", "e", "f", "g", "h"}
	tab, _ := table(names...)
	for _, name := range names {
		tab.Report(peer(name), proto.Report{Healthy: true, PrefillRate: 40_000, ShortLimit: 10_000})
	}
	used := make(map[string]bool)
	spread := func(calls int) int {
		for range calls {
			used[pick(tab, 40_000).Agent()] = true
		}
		return len(used)
	}
	is.Equal(spread(6), 6)
	is.True(used[pick(tab, 80_000).Agent()]) // It waits half its own prefill time, so that two agents stay free.
	is.Equal(spread(30), 8)
}

// Guards against predictions for refusals that ignore the output, or are based on an agent that has reported no rate.
func TestPredictsTotal(t *testing.T) {
	is := is.New(t)
	tab, _ := table("one")
	qry := route.Query{Target: target, Cost: proto.Cost{PromptTokens: 2000, OutputTokens: 100}}
	rep := proto.Report{
		Healthy: true, PrefillRate: 1000, QueuedPrefill: 5 * time.Second, OutputTime: 10 * time.Millisecond,
	}
	tab.Report(peer("one"), rep)
	is.Equal(tab.Pick(qry).PredictedTotal(), 8*time.Second)
	rep.PrefillRate = 0
	tab.Report(peer("one"), rep)
	is.Equal(tab.Pick(qry).PredictedTotal(), time.Duration(0))
}

// Guards against an interference penalty that keeps a long prompt from the only agent at which it ends in time.
func TestDeadlineOutweighsInterference(t *testing.T) {
	is := is.New(t)
	tab, _ := table("busy", "free")
	rep := proto.Report{Healthy: true, PrefillRate: 1000, ShortLimit: 1000}
	tab.Report(peer("free"), rep)
	rep.QueuedPrefill, rep.LongPrefill = 3*time.Second, 3*time.Second
	tab.Report(peer("busy"), rep)
	qry := route.Query{Target: target, Cost: proto.Cost{PromptTokens: 2000}, Remaining: 6 * time.Second}
	plc := tab.Pick(qry)
	is.Equal(plc.Agent(), "busy") // 3 s of wait are less than the penalty of 4 s.
	plc.End(route.Neutral)
	qry.Remaining = 4 * time.Second
	is.Equal(tab.Pick(qry).Agent(), "free")
}
