package rules

import "slices"

// Regions are the regions whose replicas may get a call. The zero value allows all of them.
type Regions struct {
	route, account []string // an empty list allows all
}

// RegionsFor returns the regions that a route and the account of an API key allow.
func (set *Set) RegionsFor(rte *Route, key string) Regions {
	return Regions{route: rte.Regions, account: set.regions[key]}
}

// All reports whether all data centres are allowed, also those whose region is not known.
func (reg Regions) All() bool { return len(reg.route) == 0 && len(reg.account) == 0 }

// Allow reports whether a region is allowed by both the route and the account. An empty region is an unknown one.
func (reg Regions) Allow(region string) bool {
	return reg.All() || (region != "" && allows(reg.route, region) && allows(reg.account, region))
}

func allows(list []string, region string) bool {
	return len(list) == 0 || slices.Contains(list, region)
}

// Route returns the regions that the route allows; none for all.
func (reg Regions) Route() []string { return reg.route }

// Account returns the regions that the client account allows; none for all.
func (reg Regions) Account() []string { return reg.account }
