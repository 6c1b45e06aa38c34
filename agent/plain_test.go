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

// next returns the next frame of the given kind.
func next(t *testing.T, str *link.Stream, knd proto.Kind) proto.Frame {
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

// Guards against a service that runs a call without a body although the entry has not seen Accept, and has told its
// caller not-run.
func TestCallWithoutBodyWaitsForItsEnd(t *testing.T) {
	for _, idempotent := range []bool{true, false} {
		t.Run(fmt.Sprint("idempotent=", idempotent), func(t *testing.T) {
			is := is.New(t)
			rig := newRig(t, false)
			nod := rig.node("one")
			str, err := nod.conn().Open(context.Background(), proto.Open{
				Attempt: proto.NewAttemptID(), Kind: proto.UpstreamPlain, Account: "acc", Serves: "holds",
				Remaining: time.Minute, Idempotent: idempotent, Method: "GET", Path: "/unseen",
			})
			is.NoErr(err)
			defer str.Close()
			next(t, str, proto.KindAccept)
			for num := range 20 { // Each would give the call above time to reach the service.
				rig.sendUntil(t, nod, fmt.Sprint("other", num), proto.OutcomeDone)
			}
			is.NoErr(str.Send(proto.KindCancel, proto.Cancel{}))
			res, err := proto.Parse[proto.Result](next(t, str, proto.KindResult))
			is.NoErr(err)
			is.Equal(res.Outcome, proto.OutcomeNotRun)
			for _, exe := range rig.svc.Executions() {
				is.True(exe.Path != "/unseen")
			}
		})
	}
}

// Guards against a planned stop that breaks off a recorded call whose caller has gone, or that ends before the end of
// the call is in the log: its key would read unknown for ever.
func TestDrainRecordsEnds(t *testing.T) {
	is := is.New(t)
	rig := newRig(t, false)
	nod := rig.node("one")
	rig.sendUntil(t, nod, "ready", proto.OutcomeDone)
	eventually(t, "end of the first call", func() bool { return rig.log.Appends() >= 2 })
	rig.svc.SetDelay(500 * time.Millisecond)
	go rig.send(nod.conn(), "k", "k", stepLimit)
	eventually(t, "start", func() bool { return rig.log.Appends() >= 3 })
	nod.conn().Close()
	nod.agent.Drain(context.Background())
	nod.stop() // Nothing reaches the log after this.
	two := rig.node("two")
	is.Equal(rig.send(two.conn(), "k", "k", stepLimit).outcome, proto.OutcomeDone)
	byKey, _ := rig.svc.Counts()
	is.Equal(byKey["k"], 1)
}
