package check_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/tarragonwheel/tarragonwheel/check"
	"github.com/tarragonwheel/tarragonwheel/platform"
)

const (
	route       = `{"Name":"chat","Host":"h.example","PathPrefix":"/a/","Kind":"safe","Service":"s"}`
	service     = `{"Name":"s"}`
	twoServices = service + `,{"Name":"t"}`
	account     = `{"Name":"n","ApiKeys":["secret-1"]}`
)

// document returns a configuration with the given entries.
func document(version int, routes, services, accounts string) string {
	return fmt.Sprintf(`{"Version":%d,"Routes":[%s],"Services":[%s],"Tenants":[%s],"Limits":{"MaxBodyBytes":1000}}`,
		version, routes, services, accounts)
}

func draft(t *testing.T, text string) *platform.Draft {
	t.Helper()
	dft, err := platform.ReadDraft([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return dft
}

// with returns a route like the usual one with more fields. A later field replaces an earlier one.
func with(fields string) string { return strings.TrimSuffix(route, "}") + "," + fields + "}" }

// A finding names the entry, what will happen and what to do.
func ExampleDraft() {
	dft, err := platform.ReadDraft([]byte(`{"Version":8,
	 "Routes":[{"Name":"chat","PathPrefix":"/chat/","Kind":"safe","Service":"large"}],
	 "Services":[{"Name":"large"},{"Name":"small"}],
	 "Tenants":[{"Name":"first","ApiKeys":["a-key"]},{"Name":"second"}]}`))
	if err != nil {
		panic(err)
	}
	for _, fnd := range check.Draft(dft) {
		fmt.Println(fnd)
	}
	// Output:
	// error: route chat: it never gets a call because it has no host; set Host to the name that clients call
	// warning: service small: it never gets a call because no route uses it; add a route, or remove it
	// warning: account second: no call can belong to it because it has no key; add one, or remove the account
}

// TestFindings guards against a fault that is not found, that is found in a sound configuration, or that is reported
// for the wrong entry.
func TestFindings(t *testing.T) {
	engine := `{"Name":"s","MaxConns":4,"Engine":{"Slots":16}}`
	for name, tst := range map[string]struct {
		routes, services, accounts string
		want                       string // beginning of the only finding; empty for none
	}{
		"sound": {route, service, account, ""},
		"sound stream": {
			with(`"Kind":"streaming","Resumable":true,"MaxAttempts":3,"GapTargetMs":90`), service, account,
			"",
		},
		"sound regions": {
			with(`"AllowedRegions":["r","q"]`), service, `{"Name":"n","ApiKeys":["k"],"AllowedRegions":["r"]}`,
			"",
		},
		"anonymous":  {with(`"Anonymous":true`), service, "", ""},
		"other host": {route + "," + with(`"Name":"b","Host":"g.example"`), service, account, ""},
		"no prefix": {
			with(`"PathPrefix":"a/"`) + "," + with(`"Name":"b"`), service, account,
			`error: route chat: processes ignore the whole`,
		},
		"no service": {
			route + `,{"Name":"b","Host":"h","Kind":"safe","PathPrefix":"/b/"}`, service, account,
			`error: route b: processes ignore the whole`,
		},
		"unknown kind": {
			with(`"Kind":"stream"`), service, account,
			"warning: route chat: its calls are never retried",
		},
		"same name": {
			route + "," + with(`"PathPrefix":"/b/"`), service, account,
			"warning: route chat: logs cannot tell",
		},
		"shadowed": {
			route + "," + with(`"Name":"b","Host":"H.example"`), service, account,
			"error: route b: it never gets a call because route chat",
		},
		"empty host": {
			with(`"Host":""`), service, account,
			"error: route chat: it never gets a call because it has no host",
		},
		"host with a port": {
			with(`"Host":"h.example:80"`), service, account,
			`error: route chat: it never gets a call because "h.example:80"`,
		},
		"host is a URL": {
			with(`"Host":"http://h.example"`), service, account,
			`error: route chat: it never gets a call because "http:`,
		},
		"prefix with query": {
			with(`"PathPrefix":"/a/?b="`), service, account,
			`error: route chat: it never gets a call because "/a/?b="`,
		},
		"latency target": {
			with(`"TimeoutMs":500,"GoalMs":900`), service, account,
			"error: route chat: calls are ended after 500ms",
		},
		"gap target": {
			with(`"Kind":"streaming","TimeoutMs":500,"GapTargetMs":900`), service, account,
			"error: route chat: streams are ended after 500ms",
		},
		"long timeout": {
			with(`"TimeoutMs":90000`), service, account,
			"warning: route chat: calls whose client states no deadline",
		},
		"gap without": {
			with(`"GapTargetMs":90`), service, account,
			"warning: route chat: GapTargetMs has no effect",
		},
		"resumable": {
			with(`"Resumable":true`), service, account,
			"warning: route chat: Resumable has no effect",
		},
		"attempts": {
			with(`"Kind":"unsafe","MaxAttempts":2`), service, account,
			"warning: route chat: calls that may have run are not sent again despite MaxAttempts 2 because the route",
		},
		"stream attempts": {
			with(`"Kind":"streaming","MaxAttempts":2`), service, account,
			"warning: route chat: calls that may have run are not sent again despite MaxAttempts 2 because the stream",
		},
		"service missing": {
			with(`"Service":"t"`), `{"Name":"t"},` + service, account,
			"warning: service s: it never gets a call",
		},
		"service unknown": {
			route, "", account,
			`error: route chat: its calls are refused, or served without predictions, because service "s"`,
		},
		"service twice": {route, service + "," + service, account, "error: service s: an earlier declaration"},
		"connections":   {route, engine, account, "warning: service s: replicas with 16 slots"},
		"cold rate": {
			route, `{"Name":"s","ColdPerS":32}`, account,
			"warning: service s: the rate for cold replicas has no effect",
		},
		"cold": {route, `{"Name":"s","ColdPerS":32,"ColdS":3}`, account, ""},
		"weight of 0": {
			with(`"TrafficSplit":[{"Service":"s","Weight":1},{"Service":"t","Weight":0.5}]`), twoServices, account,
			`warning: route chat: service "t" gets no calls because its weight`,
		},
		"fractions": {
			with(`"TrafficSplit":[{"Service":"s","Weight":0.5},{"Service":"t","Weight":0.5}]`), twoServices, account,
			`error: route chat: service "t" gets no calls and "s" gets all`,
		},
		"negative weight": {
			with(`"TrafficSplit":[{"Service":"s","Weight":2},{"Service":"t","Weight":-1}]`), twoServices, account,
			"error: route chat: calls are split wrongly",
		},
		"no account": {route, service, "", "warning: configuration: calls of anyone are served"},
		"no key":     {route, service, `{"Name":"n"}`, "warning: account n: no call can belong to it"},
		"empty key":  {route, service, `{"Name":"n","ApiKeys":[""]}`, "error: account n: calls without a key"},
		"account twice": {
			route, service, account + `,{"Name":"n","ApiKeys":["other"]}`,
			"warning: account n: logs and shares",
		},
		"shared key": {
			route, service, account + `,{"Name":"m","ApiKeys":["secret-1"]}`,
			"error: account m: calls of account n count as its calls",
		},
		"no common region": {
			with(`"AllowedRegions":["r"]`), service, `{"Name":"n","ApiKeys":["k"],"AllowedRegions":["q"]}`,
			"warning: account n: its calls to route chat are always refused",
		},
		"two regions in one": {
			with(`"AllowedRegions":["r,q"]`), service, account,
			`warning: route chat: allowed region "r,q" never matches`,
		},
		"empty region": {
			with(`"AllowedRegions":[""]`), service, account,
			`warning: route chat: allowed region "" never matches`,
		},
	} {
		t.Run(name, func(t *testing.T) {
			iis := is.New(t)
			found := check.Draft(draft(t, document(2, tst.routes, tst.services, tst.accounts)))
			if tst.want == "" {
				iis.Equal(found, nil)
				return
			}
			iis.Equal(len(found), 1)
			iis.True(strings.HasPrefix(found[0].String(), tst.want)) // wrong finding
			iis.True(!strings.Contains(found[0].Text, "secret-1"))
		})
	}
}

// TestConfigurationWithoutRoutes guards against accepting a configuration that refuses every call.
func TestConfigurationWithoutRoutes(t *testing.T) {
	iis := is.New(t)
	found := check.Draft(draft(t, document(2, "", "", account)))
	iis.Equal(len(found), 1)
	iis.True(strings.HasPrefix(found[0].String(), "error: configuration: every call"))
}

// TestOrderIsStable guards against an output that differs between runs, and against an error that is hidden below
// warnings.
func TestOrderIsStable(t *testing.T) {
	iis := is.New(t)
	text := document(2, with(`"MaxAttempts":2,"Kind":"unsafe"`)+","+with(`"Name":"b","Service":"t"`),
		service+`,{"Name":"u"}`, `{"Name":"n"},{"Name":"o"}`)
	first := check.Draft(draft(t, text))
	iis.True(len(first) > 4)
	iis.Equal(first[0].Severity, check.Error)
	iis.Equal(first[len(first)-1].Severity, check.Warning)
	iis.True(slices.IsSortedFunc(first, func(one, two check.Finding) int {
		return int(one.Severity) - int(two.Severity)
	}))
	for range 20 {
		iis.Equal(check.Draft(draft(t, text)), first)
	}
}
