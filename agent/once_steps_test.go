package agent_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tarragonwheel/tarragonwheel/once"
	"github.com/tarragonwheel/tarragonwheel/proto"
	"github.com/tarragonwheel/tarragonwheel/simsvc"
)

const stepLimit = 10 * time.Second

func eventually(t *testing.T, what string, cond func() bool) {
	t.Helper()
	for end := time.Now().Add(rigTimeout); !cond(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("not reached:", what)
		}
	}
}

// sendUntil sends a key through a node until it gets the wanted outcome.
func (rig *rig) sendUntil(t *testing.T, nod *node, key string, want proto.Outcome) sent {
	t.Helper()
	var out sent
	eventually(t, string(want), func() bool {
		out = rig.send(nod.conn(), key, key, stepLimit)
		return out.outcome == want
	})
	return out
}

// Guards against a call that cannot be sent again after its agent was lost before the start was recorded.
func TestAgentLostBeforeStartIsRecorded(t *testing.T) {
	is := is.New(t)
	rig := newRig(t, false)
	one, two := rig.node("one"), rig.node("two")
	rig.sendUntil(t, two, "ready", proto.OutcomeDone)
	one.cut.Store(true)
	first := make(chan sent, 1)
	go func() { first <- rig.send(one.conn(), "k", "k", stepLimit) }()
	one.stop()
	is.True((<-first).outcome != proto.OutcomeDone)
	rig.sendUntil(t, two, "k", proto.OutcomeDone)
	byKey, _ := rig.svc.Counts()
	is.Equal(byKey["k"], 1)
}

// Guards against a second run after an agent was lost while the service ran its call.
func TestAgentLostWhileRunning(t *testing.T) {
	is := is.New(t)
	rig := newRig(t, false)
	one, two := rig.node("one"), rig.node("two")
	rig.sendUntil(t, one, "ready", proto.OutcomeDone)
	rig.sendUntil(t, two, "ready", proto.OutcomeDone)
	rig.svc.Inject(simsvc.FaultHang)
	go rig.send(one.conn(), "k", "k", stepLimit)
	eventually(t, "execution", func() bool { byKey, _ := rig.svc.Counts(); return byKey["k"] == 1 })
	one.stop()
	is.Equal(rig.send(two.conn(), "k", "k", stepLimit).reason, once.ReasonNoEndRecorded)
	one.start() // A new incarnation has no right to the key either.
	out := rig.sendUntil(t, one, "k", proto.OutcomeUnknown)
	is.Equal(out.reason, once.ReasonNoEndRecorded)
	byKey, _ := rig.svc.Counts()
	is.Equal(byKey["k"], 1)
}

// Guards against a repeat that runs, or learns less than the answer, after the agent was lost once the end of its call
// was recorded.
func TestAgentLostAfterFinishIsRecorded(t *testing.T) {
	is := is.New(t)
	rig := newRig(t, false)
	one, two := rig.node("one"), rig.node("two")
	first := rig.sendUntil(t, one, "k", proto.OutcomeDone)
	rig.sendUntil(t, two, "k", proto.OutcomeDone) // Waits until the end of the call can be read.
	one.stop()
	again := rig.send(two.conn(), "k", "k", stepLimit)
	is.Equal(again.body, first.body)
	is.Equal(again.status, first.status)
	is.Equal(rig.send(two.conn(), "k", "other", stepLimit).reason, once.ReasonKeyReused)
	byKey, _ := rig.svc.Counts()
	is.Equal(byKey["k"], 1)
}

// Guards against an answer that is lost because the entry was lost while the service ran the call.
func TestEntryLostWhileRunning(t *testing.T) {
	is := is.New(t)
	rig := newRig(t, false)
	one, two := rig.node("one"), rig.node("two")
	rig.sendUntil(t, one, "ready", proto.OutcomeDone)
	rig.svc.SetDelay(100 * time.Millisecond)
	other, err := rig.dial(one.agent)
	is.NoErr(err)
	go rig.send(one.conn(), "k", "k", stepLimit)
	eventually(t, "start", func() bool { return rig.log.Appends() >= 3 })
	one.conn().Close()
	again := rig.send(other, "k", "k", stepLimit)
	is.Equal(again.outcome, proto.OutcomeDone)
	is.Equal(rig.sendUntil(t, two, "k", proto.OutcomeDone).body, again.body)
	byKey, _ := rig.svc.Counts()
	is.Equal(byKey["k"], 1)
}
