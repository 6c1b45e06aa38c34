package rules_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/tarragonwheel/tarragonwheel/rules"
)

// regionSpec is a configuration whose route and account allow the given regions.
func regionSpec(route, account []string) rules.Spec {
	spc := spec()
	spc.Routes[0].Regions = route
	spc.Accounts[0].Regions = account
	return spc
}

// TestRegionsFor guards against a call that reaches a region that its route or its account does not allow, and
// against restricting calls without allowed regions.
func TestRegionsFor(t *testing.T) {
	for name, tst := range map[string]struct {
		route, account []string
		want           map[string]bool // by region; the empty one is unknown
	}{
		"neither":     {nil, nil, map[string]bool{"north": true, "south": true, "": true}},
		"empty lists": {[]string{}, []string{}, map[string]bool{"north": true, "": true}},
		"route":       {[]string{"north"}, nil, map[string]bool{"north": true, "south": false, "": false}},
		"account":     {nil, []string{"south"}, map[string]bool{"north": false, "south": true, "": false}},
		"both": {
			[]string{"north", "south"}, []string{"south"}, map[string]bool{"north": false, "south": true, "": false},
		},
		"no common one":  {[]string{"north"}, []string{"south"}, map[string]bool{"north": false, "south": false}},
		"empty name":     {[]string{""}, nil, map[string]bool{"north": false, "": false}},
		"several of one": {[]string{"north", "west"}, nil, map[string]bool{"west": true, "south": false}},
	} {
		t.Run(name, func(t *testing.T) {
			iis := is.New(t)
			set := rules.New(regionSpec(tst.route, tst.account))
			reg := set.RegionsFor(set.Match("h.example", "/a/c"), "k")
			iis.Equal(reg.All(), len(tst.route)+len(tst.account) == 0)
			for region, want := range tst.want {
				iis.Equal(reg.Allow(region), want)
			}
		})
	}
}

// TestRegionsOfAKeyGivenTwice guards against the regions of one account that apply to the calls of another one to which
// the configuration gives the same key.
func TestRegionsOfAKeyGivenTwice(t *testing.T) {
	iis := is.New(t)
	spc := regionSpec(nil, []string{"north"})
	spc.Accounts = append(spc.Accounts, rules.Account{Name: "last", Keys: []string{"k"}})
	set := rules.New(spc)
	rte := set.Match("h.example", "/a/c")
	name, _ := set.AuthorizeKey(rte, "k")
	iis.Equal(name, "last")
	iis.True(set.RegionsFor(rte, "k").All())
}

// BenchmarkRegionsFor measures what a call costs whose configuration restricts no regions.
func BenchmarkRegionsFor(b *testing.B) {
	set := rules.New(regionSpec(nil, nil))
	rte := set.Match("h.example", "/a/c")
	b.ReportAllocs()
	for b.Loop() {
		if !set.RegionsFor(rte, "k").All() {
			b.Fatal("restricted")
		}
	}
}
