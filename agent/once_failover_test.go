package agent_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tarragonwheel/tarragonwheel/once"
	"github.com/tarragonwheel/tarragonwheel/proto"
	"github.com/tarragonwheel/tarragonwheel/simsvc"
)

const sendTimeout = 10 * time.Second

func eventually(t *testing.T, what string, cond func() bool) {
	t.Helper()
	for end := time.Now().Add(rigTimeout); !cond(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("not reached:", what)
		}
	}
}

// sendUntil sends a call through a node repeatedly until it gets the wanted outcome.
func (rig *rig) sendUntil(t *testing.T, nod *node, key string, want proto.Outcome) sendResult {
	t.Helper()
	var out sendResult
	eventually(t, string(want), func() bool {
		out = rig.send(nod.conn(), key, key, sendTimeout)
		return out.outcome == want
	})
	return out
}

// Guards against a call that cannot be retried after its agent was lost before the start of the call was recorded.
func TestAgentLostBeforeStartIsRecorded(t *testing.T) {
	is := is.New(t)
	rig := newRig(t, false)
	one, two := rig.startNode("one"), rig.startNode("two")
	rig.sendUntil(t, two, "ready", proto.OutcomeDone)
	one.logUnreachable.Store(true)
	first := make(chan sendResult, 1)
	go func() { first <- rig.send(one.conn(), "k", "k", sendTimeout) }()
	one.stop()
	is.True((<-first).outcome != proto.OutcomeDone)
	rig.sendUntil(t, two, "k", proto.OutcomeDone)
	is.Equal(rig.executions("k"), 1)
}

// Guards against a second execution after an agent was lost while the service ran its call.
func TestAgentLostWhileRunning(t *testing.T) {
	is := is.New(t)
	rig := newRig(t, false)
	one, two := rig.startNode("one"), rig.startNode("two")
	rig.sendUntil(t, one, "ready", proto.OutcomeDone)
	rig.sendUntil(t, two, "ready", proto.OutcomeDone)
	rig.svc.Inject(simsvc.FaultHang)
	go rig.send(one.conn(), "k", "k", sendTimeout)
	eventually(t, "execution", func() bool { return rig.executions("k") == 1 })
	one.stop()
	is.Equal(rig.send(two.conn(), "k", "k", sendTimeout).reason, once.ReasonNoEndRecorded)
	one.start() // A new incarnation must not run the call either.
	out := rig.sendUntil(t, one, "k", proto.OutcomeUnknown)
	is.Equal(out.reason, once.ReasonNoEndRecorded)
	is.Equal(rig.executions("k"), 1)
}

// Guards against a retry that runs again, or does not get the recorded answer, after the agent was lost when the end of
// its call had been recorded.
func TestAgentLostAfterFinishIsRecorded(t *testing.T) {
	is := is.New(t)
	rig := newRig(t, false)
	one, two := rig.startNode("one"), rig.startNode("two")
	first := rig.sendUntil(t, one, "k", proto.OutcomeDone)
	rig.sendUntil(t, two, "k", proto.OutcomeDone) // Waits until the end of the call can be read from the log.
	one.stop()
	again := rig.send(two.conn(), "k", "k", sendTimeout)
	is.Equal(again.body, first.body)
	is.Equal(again.status, first.status)
	is.Equal(rig.send(two.conn(), "k", "other", sendTimeout).reason, once.ReasonKeyReused)
	is.Equal(rig.executions("k"), 1)
}

// Guards against an answer that is lost with the entry if the entry is lost while the service runs the call.
func TestEntryLostWhileRunning(t *testing.T) {
	is := is.New(t)
	rig := newRig(t, false)
	one, two := rig.startNode("one"), rig.startNode("two")
	rig.sendUntil(t, one, "ready", proto.OutcomeDone)
	rig.svc.SetDelay(100 * time.Millisecond)
	other, err := rig.dial(one.agent)
	is.NoErr(err)
	go rig.send(one.conn(), "k", "k", sendTimeout)
	eventually(t, "start", func() bool { return rig.log.Appends() >= 3 })
	one.conn().Close()
	again := rig.send(other, "k", "k", sendTimeout)
	is.Equal(again.outcome, proto.OutcomeDone)
	is.Equal(rig.sendUntil(t, two, "k", proto.OutcomeDone).body, again.body)
	is.Equal(rig.executions("k"), 1)
}
