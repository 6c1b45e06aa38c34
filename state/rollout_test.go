package state_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/tarragonwheel/tarragonwheel/state"
)

// log appends records to a store as the log would.
type feed struct {
	t   *testing.T
	sto *state.Store
}

func (fed feed) put(ent state.Entry) int64 {
	fed.t.Helper()
	ent.ID = "id"
	raw, err := ent.Encode()
	if err != nil {
		fed.t.Fatal(err)
	}
	off := fed.sto.Version() + 1
	fed.sto.Read([]state.Record{{Offset: off, Data: raw}}, 1, off+1)
	return off
}

func (fed feed) model(plan, version string) {
	key := state.NewKey(state.KindModel, "m")
	fed.put(state.Entry{Confirm: &state.Confirm{
		Plan: plan, Operator: "ops", Basis: []state.Basis{{Key: key, Version: fed.sto.Get(key).Version}},
		Operations: []state.Operation{{Key: key, Value: state.Value{Model: &state.Model{Version: version}}}},
	}})
}

func (fed feed) claim() int64 {
	previous := fed.sto.Duty(state.DutyRollOut).Offset
	return fed.put(state.Entry{Claim: &state.Claim{Duty: state.DutyRollOut, Holder: "h", Previous: previous}})
}

func (fed feed) step(fence int64, version string) int64 {
	return fed.put(state.Entry{Step: &state.Step{
		Fence: fence, Model: "m", Version: version, Upstreams: []string{"u"},
	}})
}

// Guards against harm by a process that wakes and goes on with a roll-out that another one has taken over, by a step
// towards a version that is no longer wanted, and by a late end of an earlier step.
func TestStepsOfOldHoldersHaveNoEffect(t *testing.T) {
	is := is.New(t)
	fed := feed{t, state.NewStore()}
	fed.model("p1", "v1")
	old := fed.claim()
	first := fed.step(old, "v1")
	fed.model("p2", "v2")
	held := fed.claim()
	fed.step(old, "v2")
	fed.step(held, "v1")
	pla, ok := fed.sto.Placement("u")
	is.True(ok)
	is.Equal(pla.Step, first)
	second := fed.step(held, "v2")
	fed.put(state.Entry{StepEnd: &state.StepEnd{Upstream: "u", Step: first, Reason: "late"}})
	pla, _ = fed.sto.Placement("u")
	is.Equal(pla.Step, second)
	is.True(pla.Loading())
	fed.put(state.Entry{StepEnd: &state.StepEnd{Upstream: "u", Step: second}})
	pla, _ = fed.sto.Placement("u")
	is.True(pla.Ended && !pla.Failed())
	raw, _, err := fed.sto.Encode()
	is.NoErr(err)
	fol, err := state.Decode(raw)
	is.NoErr(err)
	again, err := fol.Encode()
	is.NoErr(err)
	is.Equal(raw, again) // The placements are part of the snapshot.
}
