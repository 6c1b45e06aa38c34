package agent

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tarragonwheel/tarragonwheel/link"
	"github.com/tarragonwheel/tarragonwheel/proto"
)

// openSegment asks for a reservation for the first tokens of a prompt and returns the agent's answer.
func openSegment(t *testing.T, con *link.Conn, tokens int, remaining time.Duration) (*link.Stream, proto.Frame) {
	t.Helper()
	is := is.New(t)
	body := []byte(`{"model":"m","prompt":""}`)
	str, err := con.Open(context.Background(), proto.Open{
		Attempt: proto.NewAttemptID(), Serves: "m", Remaining: remaining, Path: "/v1/completions",
		Cost: proto.Cost{PromptTokens: tokens + 1, OutputTokens: 1}, BodyBytes: int64(len(body)),
		Segment: &proto.Segment{To: tokens},
	})
	is.NoErr(err)
	frm, err := str.Next(context.Background())
	is.NoErr(err)
	return str, frm
}

// Guards against a memory reservation that remains after its stream was cancelled, its connection closed, or its
// deadline passed.
func TestReservationEndsWithItsOwner(t *testing.T) {
	is := is.New(t)
	rig := newRig(t, fastModel(), "")
	rig.startAgent()
	con := rig.dial()
	str, frm := openSegment(t, con, 50_000, time.Minute)
	is.Equal(frm.Kind, proto.KindAccept)
	is.Equal(rig.agent.ledger.Usage().UsedByParts, 50_000)
	_, frm = openSegment(t, con, 50_000, time.Minute)
	is.Equal(frm.Kind, proto.KindResult) // refused at once
	is.NoErr(str.Send(proto.KindCancel, proto.Cancel{}))
	rig.eventually("freed after a cancel", rig.idle)

	_, frm = openSegment(t, con, 50_000, time.Minute)
	is.Equal(frm.Kind, proto.KindAccept)
	con.Close()
	rig.eventually("freed after the end of the connection", rig.idle)

	con = rig.dial()
	defer con.Close()
	str, frm = openSegment(t, con, 50_000, 20*time.Millisecond)
	is.Equal(frm.Kind, proto.KindAccept)
	frm, err := str.Next(context.Background())
	is.NoErr(err)
	res, err := proto.Parse[proto.Result](frm)
	is.NoErr(err)
	is.Equal(res.Outcome, proto.OutcomeNotRun) // Its prefill has not started.
	rig.eventually("freed after the deadline", rig.idle)
}
