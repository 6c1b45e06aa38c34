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
func TestOwnDispatchesCount(t *testing.T) {
	is := is.New(t)
	tab, _ := table("one", "two")
	first := pick(tab, 5000)
	second := pick(tab, 100)
	is.True(first.Agent() != second.Agent())
	is.Equal(pick(tab, 100).Agent(), second.Agent()) // 5 s of work wait at the first agent.
}

// Guards against work for agents that drain, are unhealthy, silent or have left.
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
	is.True(tab.Known(target))
}

// Guards against all calls meeting an agent at once after it has failed.
func TestOneProbeAtATime(t *testing.T) {
	is := is.New(t)
	tab, man := table("one")
	pick(tab, 1).End(route.Failed)
	is.Equal(pick(tab, 1), nil)
	man.Advance(300 * time.Millisecond)
	probe := pick(tab, 1)
	is.True(probe != nil)
	is.Equal(pick(tab, 1), nil)
	probe.Started()
	is.True(pick(tab, 1) != nil)
}

// Guards against a refusal that keeps an agent out of use for longer than about a second.
func TestPenaltyDecays(t *testing.T) {
	is := is.New(t)
	tab, man := table("one", "two")
	refused := pick(tab, 0)
	refused.End(route.Refused)
	for range 20 {
		plc := pick(tab, 0)
		is.True(plc.Agent() != refused.Agent())
		plc.End(route.Worked)
	}
	man.Advance(1500 * time.Millisecond)
	busy := pick(tab, 100) // 100 ms of work outweigh what is left of the penalty.
	is.True(pick(tab, 0).Agent() != busy.Agent())
}

// Guards against prompts with a common prefix being spread over all agents.
func TestCachedPrefixAttracts(t *testing.T) {
	is := is.New(t)
	tab, _ := table("a", "b", "c", "d", "e", "f", "g", "h")
	first := pick(tab, 4096, 1, 2, 3, 4)
	first.End(route.Worked)
	for idx := range 20 {
		plc := pick(tab, 4096, 1, 2, 3, uint64(100+idx))
		is.Equal(plc.Agent(), first.Agent())
		is.Equal(plc.Cost.CachedTokens, 3*1024)
		plc.End(route.Worked)
	}
}

// Guards against a repeated call meeting an agent that does not know the first one.
func TestStickyCalls(t *testing.T) {
	is := is.New(t)
	tab, _ := table("a", "b", "c", "d")
	qry := route.Query{Target: target, Sticky: "12"}
	first := tab.Pick(qry)
	is.Equal(tab.Pick(qry).Agent(), first.Agent())
	tab.Disconnect(peer(first.Agent()))
	is.True(tab.Pick(qry).Agent() != first.Agent())
}

// Guards against entries that send copies of a suspect to different agents, or back to the agent whose engine it may
// have crashed while there is another one.
func TestHomeIsSharedAndAvoids(t *testing.T) {
	is := is.New(t)
	one, _ := table("a", "b", "c", "d")
	two, _ := table("d", "c", "b", "a")
	qry := route.Query{Target: target, Home: "fingerprint"}
	first := one.Pick(qry).Agent()
	is.Equal(two.Pick(qry).Agent(), first)
	qry.Avoid = []string{first}
	other := one.Pick(qry).Agent()
	is.True(other != first)
	is.Equal(two.Pick(qry).Agent(), other)
	qry.Avoid = []string{"a", "b", "c", "d"}
	is.Equal(one.Pick(qry).Agent(), first)
}

// Guards against copies of a new request on several agents, and against a preference for an agent that was tried or
// cannot take work.
func TestPreferredAgent(t *testing.T) {
	is := is.New(t)
	tab, _ := table("a", "b")
	tab.Report(peer("b"), proto.Report{Healthy: true, PrefillRate: 1000, QueuedPrefill: time.Minute})
	qry := route.Query{Target: target, Prefer: "b"}
	is.Equal(tab.Pick(qry).Agent(), "b")
	qry.Avoid = []string{"b"}
	is.Equal(tab.Pick(qry).Agent(), "a")
	qry.Avoid = nil
	tab.Report(peer("b"), proto.Report{})
	is.Equal(tab.Pick(qry).Agent(), "a")
}
