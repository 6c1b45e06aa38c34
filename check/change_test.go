package check_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/tarragonwheel/tarragonwheel/check"
)

// changes returns the changes from one configuration to another as lines.
func changes(t *testing.T, inForce, next string) string {
	t.Helper()
	var out strings.Builder
	for _, chg := range check.Changes(&draft(t, inForce).Spec, &draft(t, next).Spec) {
		fmt.Fprintln(&out, chg)
	}
	return out.String()
}

// TestChanges guards against a difference that is not listed, and against listing what is equal.
func TestChanges(t *testing.T) {
	iis := is.New(t)
	engine := `{"Name":"s","Engine":{"Slots":%d,"step_ms":0.85}}`
	before := document(2, route+","+with(`"Name":"old"`), fmt.Sprintf(engine, 16)+`,{"Name":"gone"}`,
		account+`,{"Name":"left","ApiKeys":["secret-2"]}`)
	after := document(3, with(`"Kind":"streaming","TimeoutMs":5000,"AllowedRegions":["r"]`)+","+with(`"Name":"new"`),
		fmt.Sprintf(engine, 24)+`,{"Name":"fresh"}`,
		`{"Name":"n","ApiKeys":["secret-1","secret-3"],"AllowedRegions":["q"]},{"Name":"come","ApiKeys":["secret-4"]}`)
	after = strings.Replace(after, `"MaxBodyBytes":1000`, `"MaxBodyBytes":2000,"IdleTimeoutMs":1500`, 1)
	iis.Equal(changes(t, before, after), `route chat: changed: kind idempotent -> stream, timeout 0s -> 5s, `+
		`client idle timeout 0s -> 2s, regions none -> [r]
route new: added
route old: removed
service s: changed: engine (slots 16 -> 24)
service fresh: added
service gone: removed
account n: changed: keys (1 before, 2 now), regions none -> [q]
account come: added
account left: removed
limits: changed: body bytes 1000 -> 2000, idle timeout 0s -> 1.5s
`)
	iis.Equal(changes(t, before, before), "")
	iis.Equal(changes(t, before, strings.Replace(before, `"Version":2`, `"Version":9`, 1)), "")
}

// TestKeysAreNotShown guards against keys in the output, and against a replaced key that is not listed because the
// number of keys is the same.
func TestKeysAreNotShown(t *testing.T) {
	iis := is.New(t)
	before := document(2, route, service, account)
	text := changes(t, before, strings.Replace(before, "secret-1", "secret-9", 1))
	iis.Equal(text, "account n: changed: keys (1 before, 1 now)\n")
}

// TestEntriesOfTheSameName guards against a change that is hidden by another entry of the same name.
func TestEntriesOfTheSameName(t *testing.T) {
	iis := is.New(t)
	before := document(2, route+","+with(`"PathPrefix":"/b/"`), service, account)
	iis.Equal(changes(t, before, document(3, route, service, account)), "route chat (2): removed\n")
}

// TestEngineIsShownWhenItIsNew guards against a pointer in the output instead of the engine.
func TestEngineIsShownWhenItIsNew(t *testing.T) {
	iis := is.New(t)
	text := changes(t, document(2, route, service, account),
		document(3, route, `{"Name":"s","Engine":{"Slots":24}}`, account))
	iis.True(strings.HasPrefix(text, "service s: changed: engine none -> {Slots:24"))
}

// TestAgainst guards against a configuration that fronts ignore because of its version, or that leaves a host without
// routes, and is called valid.
func TestAgainst(t *testing.T) {
	iis := is.New(t)
	inForce := draft(t, document(7, route+","+with(`"Name":"b","Host":"g.example","PathPrefix":"/b/"`)+
		","+with(`"Name":"c","Host":"G.example"`), service, account))
	for _, version := range []int{6, 7} {
		found := check.Against(&inForce.Spec, &draft(t, document(version, route, service, account)).Spec)
		iis.Equal(len(found), 2)
		iis.Equal(found[0].String(), fmt.Sprintf("error: configuration: processes ignore version %d because version 7 "+
			"is in force; send it with a higher version", version))
		iis.True(strings.HasPrefix(found[1].String(), "warning: host g.example: calls to it will get status 404"))
	}
	next := inForce.Spec
	next.Version = 8
	iis.Equal(len(check.Against(&inForce.Spec, &next)), 0)
}
