package state_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/tarragonwheel/tarragonwheel/state"
)

// logWriter applies entries to a store as records of the log.
type logWriter struct {
	t   *testing.T
	sto *state.Store
}

func (wri logWriter) put(ent state.Entry) int64 {
	wri.t.Helper()
	ent.ID = "id"
	raw, err := ent.Encode()
	if err != nil {
		wri.t.Fatal(err)
	}
	off := wri.sto.Version() + 1
	wri.sto.ApplyRecords([]state.Record{{Offset: off, Data: raw}}, 1, off+1)
	return off
}

func (wri logWriter) model(plan, version string) {
	key := state.NewKey(state.KindModel, "m")
	wri.put(state.Entry{Confirm: &state.Confirm{
		Plan: plan, Operator: "ops", Basis: []state.Basis{{Key: key, Version: wri.sto.Get(key).Version}},
		Operations: []state.Operation{{Key: key, Value: state.Value{Model: &state.Model{Version: version}}}},
	}})
}

func (wri logWriter) claim() int64 {
	previous := wri.sto.Duty(state.DutyRollOut).Offset
	return wri.put(state.Entry{Claim: &state.Claim{Duty: state.DutyRollOut, Holder: "h", Previous: previous}})
}

func (wri logWriter) step(fence int64, version string) int64 {
	return wri.put(state.Entry{Step: &state.Step{
		Fence: fence, Model: "m", Version: version, Upstreams: []string{"u"},
	}})
}

// Guards against stale records that take effect: a step by a process that resumes after another one has claimed the
// roll-out, a step towards a version that is no longer the desired one, and a delayed end of an earlier step.
func TestStaleStepsHaveNoEffect(t *testing.T) {
	is := is.New(t)
	wri := logWriter{t, state.NewStore()}
	wri.model("p1", "v1")
	old := wri.claim()
	first := wri.step(old, "v1")
	wri.model("p2", "v2")
	current := wri.claim()
	wri.step(old, "v2")
	wri.step(current, "v1")
	pla, ok := wri.sto.Placement("u")
	is.True(ok)
	is.Equal(pla.Step, first)
	second := wri.step(current, "v2")
	wri.put(state.Entry{StepEnd: &state.StepEnd{Upstream: "u", Step: first, Reason: "late"}})
	pla, _ = wri.sto.Placement("u")
	is.Equal(pla.Step, second)
	is.True(pla.Loading())
	wri.put(state.Entry{StepEnd: &state.StepEnd{Upstream: "u", Step: second}})
	pla, _ = wri.sto.Placement("u")
	is.True(pla.Ended && !pla.Failed())
	raw, _, err := wri.sto.Encode()
	is.NoErr(err)
	mch, err := state.Decode(raw)
	is.NoErr(err)
	again, err := mch.Encode()
	is.NoErr(err)
	is.Equal(raw, again) // The placements are part of the snapshot.
}
