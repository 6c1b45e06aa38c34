package check

import (
	"slices"
	"strings"

	"github.com/tarragonwheel/tarragonwheel/rules"
)

// checkServices finds services that no route uses, that are declared twice or missing, and targets without calls.
func (fns *findings) checkServices(spc *rules.Spec) {
	declared, used := make(map[string]bool), make(map[string]bool)
	for idx := range spc.Services {
		declared[spc.Services[idx].Name] = true
	}
	for idx := range spc.Routes {
		rte := &spc.Routes[idx]
		fns.checkTargets(rte, declared)
		for _, tgt := range rte.Targets {
			used[tgt.Service] = true
		}
	}
	seen := make(map[string]bool)
	for idx := range spc.Services {
		srv := &spc.Services[idx]
		place := servicePlace(srv.Name)
		if seen[srv.Name] {
			fns.add(Error, place, "an earlier declaration of this service is ignored; remove one of the two")
		} else if !used[srv.Name] {
			fns.add(Warning, place, "it never gets a call because no route uses it; add a route, or remove it")
		}
		seen[srv.Name] = true
		if eng := srv.Engine; eng != nil && srv.MaxConnections > 0 && srv.MaxConnections < eng.Slots {
			fns.add(Warning, place, "replicas with %d slots stay partly unused because MaxConns allows %d "+
				"connections; raise MaxConns", eng.Slots, srv.MaxConnections)
		}
	}
}

func (fns *findings) checkTargets(rte *rules.Route, declared map[string]bool) {
	place := routePlace(rte.Name)
	total := 0
	for _, tgt := range rte.Targets {
		total += tgt.Weight
		if !declared[tgt.Service] {
			fns.add(Error, place, "its calls are refused, or served without predictions, because service %q is not "+
				"declared; add it to Services, or correct the name", tgt.Service)
		}
	}
	for idx, tgt := range rte.Targets {
		switch {
		case tgt.Weight < 0:
			fns.add(Error, place, "calls are split wrongly because the weight of service %q is negative; "+
				"set it to 0 or above", tgt.Service)
		case total <= 0 && idx > 0:
			fns.add(Error, place, "service %q gets no calls and %q gets all because all weights are below 1; "+
				"use whole numbers, such as 90 and 10", tgt.Service, rte.Targets[0].Service)
		case total > 0 && tgt.Weight == 0:
			fns.add(Warning, place, "service %q gets no calls because its weight is below 1; "+
				"use whole numbers, such as 90 and 10, or remove the service", tgt.Service)
		}
	}
}

// checkAccounts finds accounts that no call can belong to, and keys that are not those of one account alone. Texts name
// accounts but never keys.
func (fns *findings) checkAccounts(spc *rules.Spec) {
	if len(spc.Accounts) == 0 && slices.ContainsFunc(spc.Routes, func(rte rules.Route) bool { return !rte.Anonymous }) {
		fns.add(Warning, wholeConfig, "calls of anyone are served on all routes because no account is configured; "+
			"add the accounts to Tenants, or mark the routes as Anonymous")
	}
	names, owners := make(map[string]bool), make(map[string]string)
	for _, acc := range spc.Accounts {
		place := accountPlace(acc.Name)
		if names[acc.Name] {
			fns.add(Warning, place, "logs and shares of capacity cannot tell it from another account of this name; "+
				"merge the two, or rename one")
		}
		names[acc.Name] = true
		if len(acc.Keys) == 0 {
			fns.add(Warning, place, "no call can belong to it because it has no key; add one, or remove the account")
		}
		for _, key := range acc.Keys {
			owner, taken := owners[key]
			switch {
			case key == "":
				fns.add(Error, place, "calls without a key are served as its calls because one of its keys is empty; "+
					"remove the empty key")
			case taken && owner != acc.Name:
				fns.add(Error, place, "calls of account %s count as its calls because both have the same key; "+
					"give each account keys of its own", owner)
			}
			owners[key] = acc.Name
		}
	}
}

// checkRegions finds allowed regions that no data centre can be in, and routes that an account can never use.
func (fns *findings) checkRegions(spc *rules.Spec) {
	for idx := range spc.Routes {
		fns.checkRegionNames(routePlace(spc.Routes[idx].Name), spc.Routes[idx].Regions)
	}
	for _, acc := range spc.Accounts {
		place := accountPlace(acc.Name)
		fns.checkRegionNames(place, acc.Regions)
		for idx := range spc.Routes {
			rte := &spc.Routes[idx]
			if len(acc.Regions) == 0 || len(rte.Regions) == 0 ||
				haveCommon(acc.Regions, rte.Regions) {
				continue
			}
			fns.add(Warning, place, "its calls to route %s are always refused because the two have no allowed region "+
				"in common; allow a common one, or remove the allowed regions of one of them", rte.Name)
		}
	}
}

func (fns *findings) checkRegionNames(place string, regions []string) {
	for _, region := range regions {
		if region == "" || strings.ContainsAny(region, ":,") {
			fns.add(Warning, place, "allowed region %q never matches because it is no name of a region; "+
				"correct or remove it", region)
		}
	}
}

func haveCommon(one, two []string) bool {
	return slices.ContainsFunc(one, func(region string) bool { return slices.Contains(two, region) })
}
