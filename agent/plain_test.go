package agent_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tarragonwheel/tarragonwheel/link"
	"github.com/tarragonwheel/tarragonwheel/proto"
)

// nextOfKind returns the next frame of the given kind.
func nextOfKind(t *testing.T, str *link.Stream, knd proto.Kind) proto.Frame {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), rigTimeout)
	defer cancel()
	for {
		frm, err := str.Next(ctx)
		must(t, err)
		if frm.Kind == knd {
			return frm
		}
	}
}

// Guards against a call without a body that runs although the entry has not received Accept and has reported the
// outcome not-run.
func TestCallWithoutBodyWaitsForItsEnd(t *testing.T) {
	for _, idempotent := range []bool{true, false} {
		t.Run(fmt.Sprint("idempotent=", idempotent), func(t *testing.T) {
			is := is.New(t)
			rig := newRig(t, false)
			nod := rig.startNode("one")
			str, err := nod.conn().Open(context.Background(), proto.Open{
				Attempt: proto.NewAttemptID(), Kind: proto.UpstreamPlain, Account: "acc", Serves: "holds",
				Remaining: time.Minute, Idempotent: idempotent, Method: "GET", Path: "/unseen",
			})
			is.NoErr(err)
			defer str.Close()
			nextOfKind(t, str, proto.KindAccept)
			for num := range 20 { // They give the call above time to reach the service.
				rig.sendUntil(t, nod, fmt.Sprint("other", num), proto.OutcomeDone)
			}
			is.NoErr(str.Send(proto.KindCancel, proto.Cancel{}))
			res, err := proto.Parse[proto.Result](nextOfKind(t, str, proto.KindResult))
			is.NoErr(err)
			is.Equal(res.Outcome, proto.OutcomeNotRun)
			for _, exe := range rig.svc.Executions() {
				is.True(exe.Path != "/unseen")
			}
		})
	}
}

// Guards against a planned stop that aborts a recorded call whose caller has disconnected, or that returns before the
// end of the call is in the log: the outcome of its key would stay unknown.
func TestDrainRecordsEnds(t *testing.T) {
	is := is.New(t)
	rig := newRig(t, false)
	nod := rig.startNode("one")
	rig.sendUntil(t, nod, "ready", proto.OutcomeDone)
	eventually(t, "end of the first call", func() bool { return rig.log.Appends() >= 2 })
	rig.svc.SetDelay(500 * time.Millisecond)
	go rig.send(nod.conn(), "k", "k", sendTimeout)
	eventually(t, "start", func() bool { return rig.log.Appends() >= 3 })
	nod.conn().Close()
	nod.agent.Drain(context.Background())
	nod.stop() // Nothing reaches the log after this.
	two := rig.startNode("two")
	is.Equal(rig.send(two.conn(), "k", "k", sendTimeout).outcome, proto.OutcomeDone)
	is.Equal(rig.executions("k"), 1)
}
