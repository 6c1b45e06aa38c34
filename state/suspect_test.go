package state_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tarragonwheel/tarragonwheel/crash"
	"github.com/tarragonwheel/tarragonwheel/proto"
	"github.com/tarragonwheel/tarragonwheel/state"
	"github.com/tarragonwheel/tarragonwheel/timer"
)

func newCrash(id string, running ...proto.Fingerprint) proto.Crash {
	return proto.Crash{
		ID: id, Upstream: "engine-1", At: time.Now().UnixMilli(), Running: running,
		SuspectFor: time.Hour, BlockFor: time.Hour,
	}
}

// applyEntries applies entries to a store as records of the log.
func applyEntries(t *testing.T, sto *state.Store, list ...state.Entry) {
	t.Helper()
	for _, ent := range list {
		ent.ID = "record"
		raw, err := ent.Encode()
		if err != nil {
			t.Fatal(err)
		}
		next := sto.Version() + 1
		sto.ApplyRecords([]state.Record{{Offset: next, Data: raw}}, 1, next+1)
	}
}

// Guards against a snapshot that loses suspects, blocked requests or the operator of an unblocking.
func TestSnapshotKeepsCrashAttribution(t *testing.T) {
	is := is.New(t)
	one, two := newCrash("1", 7, 8), newCrash("2", 7)
	three := newCrash("3", 21, 22, 23)
	sto := state.NewStore()
	applyEntries(t, sto, state.Entry{Crash: &one}, state.Entry{Crash: &two}, state.Entry{Crash: &three},
		state.Entry{Clears: []proto.Clear{{Fingerprint: 21, Crash: "3"}}},
		state.Entry{Unblock: &crash.Unblock{Fingerprint: 22, Operator: "olive", Request: "r"}})
	raw, version, err := sto.Encode()
	is.NoErr(err)
	other := state.NewStore()
	is.NoErr(other.Merge(proto.State{Upto: version, Snapshot: raw}))
	want := map[proto.Fingerprint]crash.Status{
		7: crash.StatusBlocked, 8: crash.StatusFree, 21: crash.StatusFree, 22: crash.StatusFree,
		23: crash.StatusSuspected,
	}
	for fpr, status := range want {
		got, _ := state.NewSuspects(other, timer.New()).Status(fpr)
		is.Equal(got, status)
	}
	unb, ok := other.FindUnblock("r")
	is.True(ok)
	is.Equal(unb.Operator, "olive")
}

// Guards against a crash that has no effect until it is in the log, one that counts twice once it is in the log, and
// one that is appended to the log or sent to peers for ever.
func TestCrashCountsBeforeItIsLogged(t *testing.T) {
	is := is.New(t)
	sto := state.NewStore()
	sus := state.NewSuspects(sto, timer.New())
	one := newCrash("1", 7, 8)
	is.True(sus.AddCrash(one, 0))
	is.True(!sus.AddCrash(one, 0)) // received again
	status, suspicion := sus.Status(7)
	is.Equal(status, crash.StatusSuspected)
	_, other := sus.Status(8)
	sus.AddClear(other)
	is.Equal(len(sus.UnloggedCrashes()), 1)
	crashes, clears, next := sus.DueEvents(time.Hour)
	is.Equal(len(crashes), 1)
	is.Equal(len(clears), 1)
	is.True(!next.IsZero())
	crashes, clears, _ = sus.DueEvents(time.Hour)
	is.Equal(len(crashes)+len(clears), 0) // already sent, not due again

	applyEntries(t, sto, state.Entry{Crash: &one})
	status, again := sus.Status(7)
	is.Equal(status, crash.StatusSuspected)
	is.Equal(again, suspicion)
	status, _ = sus.Status(8)
	is.Equal(status, crash.StatusFree) // The clear is not in the log yet.
	is.Equal(len(sus.UnloggedCrashes()), 0)
	is.True(!sus.AddCrash(one, 0))
	applyEntries(t, sto, state.Entry{Clears: []proto.Clear{{Fingerprint: 8, Crash: "1"}}})
	_, _, next = sus.DueEvents(time.Hour)
	is.True(next.IsZero())

	applyEntries(t, sto, state.Entry{Unblock: &crash.Unblock{Fingerprint: 7, Operator: "olive", Request: "r"}})
	status, _ = sus.Status(7)
	is.Equal(status, crash.StatusFree)
}

// Guards against a planned stop of an engine that is treated as a crash.
func TestStopPlanned(t *testing.T) {
	is := is.New(t)
	sto := state.NewStore()
	key := state.NewKey(state.KindStop, "rack")
	now := time.Unix(1000, 0)
	applyEntries(t, sto, state.Entry{Confirm: &state.Confirm{
		Plan: "p", Operator: "olive", Basis: []state.Basis{{Key: key}}, Operations: []state.Operation{
			{Key: key, Value: state.Value{Stop: &state.Stop{Upstreams: []string{"engine-1"}, At: 1000}}},
		},
	}})
	is.True(sto.StopPlanned("engine-1", now))
	is.True(!sto.StopPlanned("engine-1", now.Add(-time.Second)))
	is.True(!sto.StopPlanned("engine-2", now))
}
