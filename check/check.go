// Package check examines a configuration before an operator sends it: what would make processes ignore it, what can
// never match, what contradicts itself, and what differs from the version in force.
package check

import (
	"fmt"
	"slices"

	"github.com/tarragonwheel/tarragonwheel/platform"
	"github.com/tarragonwheel/tarragonwheel/rules"
)

// Severity tells how bad a finding is.
type Severity int

// Severities, the worst one first.
const (
	Error   Severity = iota // processes ignore the configuration, or calls are refused or get to the wrong place
	Warning                 // an entry has no effect, or probably not the intended one
)

// String returns the name of the severity.
func (sev Severity) String() string {
	if sev == Error {
		return "error"
	}
	return "warning"
}

// Finding is one fault of a configuration. Its text says in one sentence what will happen and what to do.
type Finding struct {
	Severity Severity
	Place    string // such as "route chat"; "configuration" for the whole
	Text     string
}

// String returns the finding as one line.
func (fnd Finding) String() string {
	return fmt.Sprintf("%s: %s: %s", fnd.Severity, fnd.Place, fnd.Text)
}

// findings collects the findings of a configuration.
type findings []Finding

func (fns *findings) add(sev Severity, place, format string, args ...any) {
	*fns = append(*fns, Finding{Severity: sev, Place: place, Text: fmt.Sprintf(format, args...)})
}

const wholeConfig = "configuration"

func routePlace(name string) string   { return "route " + name }
func servicePlace(name string) string { return "service " + name }
func accountPlace(name string) string { return "account " + name }

// Draft returns the findings of a configuration, errors first, else in the order of its entries.
func Draft(dft *platform.Draft) []Finding {
	var fns findings
	fns.checkDecoding(dft)
	fns.checkRoutes(&dft.Spec)
	fns.checkServices(&dft.Spec)
	for _, name := range dft.NoColdTime {
		fns.add(Warning, servicePlace(name),
			"the rate for cold replicas has no effect, and they get calls at any rate; set the cold time as well, "+
				"or remove the rate")
	}
	fns.checkAccounts(&dft.Spec)
	fns.checkRegions(&dft.Spec)
	return Sort(fns)
}

// Against returns the findings of a configuration that depend on the one in force.
func Against(inForce, next *rules.Spec) []Finding {
	var fns findings
	if next.Version <= inForce.Version {
		fns.add(Error, wholeConfig,
			"processes ignore version %d because version %d is in force; send it with a higher version",
			next.Version, inForce.Version)
	}
	has := make(map[string]bool)
	for idx := range next.Routes {
		has[hostKey(&next.Routes[idx])] = true
	}
	for idx := range inForce.Routes {
		host := hostKey(&inForce.Routes[idx])
		if !has[host] {
			fns.add(Warning, "host "+host,
				"calls to it will get status 404 because no route is left; add one, or tell its clients to stop")
		}
		has[host] = true // One finding for each host is enough.
	}
	return Sort(fns)
}

func (fns *findings) checkDecoding(dft *platform.Draft) {
	for _, name := range dft.InvalidRoutes {
		fns.add(Error, routePlace(name), "processes ignore the whole configuration because this route has no service "+
			"or no path prefix; give it a service and a path prefix that begins with a slash")
	}
	if len(dft.Spec.Routes) == 0 {
		fns.add(Error, wholeConfig, "every call will get status 404 because there is no valid route; add one")
	}
	for _, name := range dft.UnknownKinds {
		fns.add(Warning, routePlace(name),
			"its calls are never retried once they may have run because its kind is unknown; "+
				`set Kind to "safe", "streaming" or "unsafe"`)
	}
}

// Sort orders findings, errors first, and keeps the order otherwise. It returns the list.
func Sort(list []Finding) []Finding {
	slices.SortStableFunc(list, func(one, two Finding) int { return int(one.Severity) - int(two.Severity) })
	return list
}
