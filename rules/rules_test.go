package rules_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/tarragonwheel/tarragonwheel/rules"
)

func spec() rules.Spec {
	one := []rules.Target{{Service: "s", Weight: 1}}
	return rules.Spec{
		Version: 3,
		Routes: []rules.Route{
			{Name: "short", Host: "h.example", Prefix: "/a/", Targets: one},
			{Name: "long", Host: "h.example", Prefix: "/a/b/", Targets: one, Anonymous: true},
		},
		Accounts: []rules.Account{{Name: "n", Keys: []string{"k"}}},
	}
}

// The route with the longest prefix matches, and the host is compared without its port.
func ExampleSet_Match() {
	set := rules.New(spec())
	fmt.Println(set.Match("H.example:80", "/a/b/c").Name)
	fmt.Println(set.Match("h.example", "/a/c").Name)
	fmt.Println(set.Match("h.example", "/ab/c"))
	// Output:
	// long
	// short
	// <nil>
}

// TestAccountNeedsAKnownKey guards against accepting calls without a valid key on routes that need one.
func TestAccountNeedsAKnownKey(t *testing.T) {
	iis := is.New(t)
	set := rules.New(spec())
	rte := set.Match("h.example", "/a/c")
	name, ok := set.AuthorizeKey(rte, "k")
	iis.True(ok)
	iis.Equal(name, "n")
	_, ok = set.AuthorizeKey(rte, "other")
	iis.True(!ok)
	_, ok = set.AuthorizeKey(set.Match("h.example", "/a/b/c"), "")
	iis.True(ok) // anonymous route
}

// TestSplitIsStableForACall guards against a retry that goes to another service than the first attempt.
func TestSplitIsStableForACall(t *testing.T) {
	iis := is.New(t)
	rte := rules.Route{Targets: []rules.Target{{Service: "s", Weight: 90}, {Service: "t", Weight: 10}}}
	counts := make(map[string]int)
	for idx := range 2000 {
		id := fmt.Sprint("call-", idx)
		iis.Equal(rte.PickService(id), rte.PickService(id))
		counts[rte.PickService(id)]++
	}
	iis.True(counts["t"] > 120 && counts["t"] < 280) // a tenth, with ample room for random deviation
}

// TestPriorityOfAccountTakesPrecedence guards against an account whose own priority is ignored, or that has none and
// gets the highest instead of that of the route.
func TestPriorityOfAccountTakesPrecedence(t *testing.T) {
	iis := is.New(t)
	set := rules.New(rules.Spec{Accounts: []rules.Account{{Name: "own", HasPriority: true}, {Name: "none"}}})
	rte := &rules.Route{Priority: 3}
	iis.Equal(set.Priority(rte, "own"), 0)
	iis.Equal(set.Priority(rte, "none"), 3)
	iis.Equal(set.Priority(rte, ""), 3)
}
