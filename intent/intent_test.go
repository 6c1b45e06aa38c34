package intent_test

import (
	"encoding/json"
	"strings"
	"testing"

	"github.com/gravitational/trace"
	"github.com/matryer/is"

	"github.com/tarragonwheel/tarragonwheel/intent"
	"github.com/tarragonwheel/tarragonwheel/state"
)

// Guards against applying a part of an invalid declaration, and against an error that does not name the line or key.
func TestInvalidDeclarationIsRejectedWhole(t *testing.T) {
	for text, want := range map[string]string{
		"[upstream u1]\ndrained = true\n":                                      "cut short",
		"[upstream u1]\ndrained = true\n[upstream u1]\n[end]\n":                "file.ini:3",
		"[upstream u1]\ndrained = true\ndrained = false\n[end]\n":              "file.ini:3",
		"[upstream u1]\ndrianed = true\n[end]\n":                               "drianed: unknown key",
		"[upstream u1]\ndrained = perhaps\n[end]\n":                            "drained: neither",
		"[planned-stop s]\nupstreams = a, a\nat = 2026-01-31T22:00:00Z\n[end]": "a is named twice",
		"[machine u1]\n[end]\n":                                                "want a kind",
		"[end]\n":                                                              "declares nothing",
	} {
		_, err := intent.Parse("file.ini", text)
		if !trace.IsBadParameter(err) || !strings.Contains(err.Error(), want) {
			t.Errorf("%q: got %v, want %q", text, err, want)
		}
	}
}

// confirm makes a plan take effect in a store.
func confirm(t *testing.T, sto *state.Store, pla intent.Plan) {
	t.Helper()
	con := pla.Confirm("olive", 1)
	raw, err := state.Entry{ID: pla.ID, Confirm: &con}.Encode()
	if err != nil {
		t.Fatal(err)
	}
	off := sto.Version() + 1
	sto.ApplyRecords([]state.Record{{Offset: off, Data: raw}}, 1, off+1)
}

// Guards against a plan that does not warn of draining a model's last replica, grants an account a model that does not
// exist, can be altered before it is confirmed, or cannot be undone.
func TestPlanConfirmUndo(t *testing.T) {
	is := is.New(t)
	sto := state.NewStore()
	ups := []intent.Upstream{{Name: "u1", Model: "m1"}}
	declare := func(text string) (intent.Plan, error) {
		ops, err := intent.Parse("f", text+"\n[end]\n")
		is.NoErr(err)
		return intent.New(sto, ops, ups)
	}
	_, err := declare("[account a1]\nmodels = m1")
	is.True(trace.IsBadParameter(err))
	first, err := declare("[model m1]\nreplicas = 1\n[account a1]\nmodels = m1")
	is.NoErr(err)
	confirm(t, sto, first)
	pla, err := declare("[upstream u1]\ndrained = true")
	is.NoErr(err)
	is.Equal(pla.Accounts, []string{"a1"})
	is.Equal(pla.Warnings[0], "model m1 would have 0 of 1 replicas")
	is.Equal(pla.Warnings[1], "the last replica of model m1 would be drained")
	stop, err := declare("[planned-stop s]\nupstreams = u1\nat = 2026-01-31T22:00:00Z")
	is.NoErr(err)
	is.Equal(stop.Warnings, []string{"all planned stops together leave model m1 0 of 1 replicas"})
	roll, err := declare("[model m1]\nversion = v2\n[upstream u1]\ndrained = true")
	is.NoErr(err)
	is.Equal(roll.Warnings[1], "upstream u1 is drained while model m1 changes version")
	raw, err := json.Marshal(pla)
	is.NoErr(err)
	_, err = intent.ParsePlan(raw)
	is.NoErr(err)
	_, err = intent.ParsePlan([]byte(strings.ReplaceAll(string(raw), "u1", "u2")))
	is.True(trace.IsBadParameter(err))
	confirm(t, sto, pla)
	is.True(sto.Drained("u1"))
	ops, err := intent.Undo(sto, pla.ID)
	is.NoErr(err)
	undo, err := intent.New(sto, ops, ups)
	is.NoErr(err)
	confirm(t, sto, undo)
	is.True(!sto.Drained("u1"))
	_, err = intent.Undo(sto, pla.ID)
	is.True(trace.IsCompareFailed(err))
}
