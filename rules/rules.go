// Package rules holds one version of what the operator has configured: routes, services, client accounts and limits.
//
// A Set never changes. Processes exchange it as a whole, so that a call is handled by exactly one version.
package rules

import (
	"sort"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/tarragonwheel/tarragonwheel/cost"
)

// Kind tells how a route's calls may be repeated.
type Kind int

// Kinds of routes.
const (
	NonIdempotent Kind = iota // at most once for each request ID
	Idempotent                // any number of times
	Stream                    // a stream of events; at most once unless the route is resumable
)

// Route tells where calls to a host and path prefix go and how they are treated.
type Route struct {
	Name              string
	Host              string
	Prefix            string // begins and ends with a slash
	Kind              Kind
	Timeout           time.Duration // longest time to keep a client waiting; 0 for none
	LatencyTarget     time.Duration // time to the answer, or to the first event of a stream, that earns full credit
	GapTarget         time.Duration // longest pause between events of a stream that earns full credit
	ClientIdleTimeout time.Duration // pause before an event after which clients disconnect; 0 if they wait to the end
	MaxAttempts       int           // most replicas to which one call may be sent
	Anonymous         bool          // needs no API key
	Resumable         bool          // a stream may go on at another replica
	Targets           []Target
}

// Retryable tells whether a call that may have run may be sent again.
func (rte *Route) Retryable() bool {
	return rte.Kind == Idempotent || (rte.Kind == Stream && rte.Resumable)
}

// PickService returns the service of a call with the given ID. Calls are split by weight, and one call always goes to
// the same service.
func (rte *Route) PickService(id string) string {
	total := 0
	for _, tgt := range rte.Targets {
		total += tgt.Weight
	}
	if total <= 0 {
		return rte.Targets[0].Service
	}
	point := int(xxhash.Sum64String(id) % uint64(total))
	for _, tgt := range rte.Targets {
		if point < tgt.Weight {
			return tgt.Service
		}
		point -= tgt.Weight
	}
	return rte.Targets[len(rte.Targets)-1].Service
}

// Target is a service that gets a share of a route's calls.
type Target struct {
	Service string
	Weight  int
}

// Service is a set of equal replicas.
type Service struct {
	Name           string
	HealthPath     string
	MaxConnections int          // most connections that one replica accepts from all processes together
	Engine         *cost.Engine // nil if the replicas are no model engines
}

// Account is a client account.
type Account struct {
	Name string
	Keys []string
}

// Limits bound what a client may send and how long it may take.
type Limits struct {
	HeaderBytes int
	BodyBytes   int64
	HeaderTime  time.Duration
	IdleTime    time.Duration
}

// Spec is the content of a Set.
type Spec struct {
	Version  int64
	Routes   []Route
	Services []Service
	Accounts []Account
	Limits   Limits
}

// Set is one version of the configuration, with its look-up tables. It is safe for concurrent use.
type Set struct {
	version  int64
	limits   Limits
	routes   map[string][]*Route // by host, longest prefix first
	services map[string]*Service
	accounts map[string]string // name by API key
	open     bool              // no accounts are configured, so no call needs a key
	goals    map[string]time.Duration
}

// New returns the Set for a Spec.
func New(spc Spec) *Set {
	set := &Set{
		version: spc.Version, limits: spc.Limits, open: len(spc.Accounts) == 0,
		routes:   make(map[string][]*Route),
		services: make(map[string]*Service),
		accounts: make(map[string]string),
		goals:    make(map[string]time.Duration),
	}
	for idx := range spc.Routes {
		set.addRoute(&spc.Routes[idx])
	}
	for _, list := range set.routes {
		sort.SliceStable(list, func(one, two int) bool { return len(list[one].Prefix) > len(list[two].Prefix) })
	}
	for idx := range spc.Services {
		set.services[spc.Services[idx].Name] = &spc.Services[idx]
	}
	for _, acc := range spc.Accounts {
		for _, key := range acc.Keys {
			set.accounts[key] = acc.Name
		}
	}
	return set
}

func (set *Set) addRoute(rte *Route) {
	host := strings.ToLower(rte.Host)
	set.routes[host] = append(set.routes[host], rte)
	if rte.Kind != Stream || rte.LatencyTarget <= 0 {
		return
	}
	for _, tgt := range rte.Targets {
		if old, ok := set.goals[tgt.Service]; !ok || rte.LatencyTarget < old {
			set.goals[tgt.Service] = rte.LatencyTarget
		}
	}
}

// Version returns the version, which rises with each change.
func (set *Set) Version() int64 { return set.version }

// Limits returns the limits for clients.
func (set *Set) Limits() Limits { return set.limits }

// Match returns the route for a host, with or without a port, and a path. It returns nil if there is none.
func (set *Set) Match(host, path string) *Route {
	for _, rte := range set.routes[hostName(host)] {
		if strings.HasPrefix(path, rte.Prefix) {
			return rte
		}
	}
	return nil
}

func hostName(host string) string {
	if idx := strings.LastIndexByte(host, ':'); idx >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:idx]
	}
	return strings.ToLower(host)
}

// Account returns the name of the account that may call a route with an API key. The name is empty if the route needs
// none.
func (set *Set) Account(rte *Route, key string) (name string, ok bool) {
	if set.open || rte.Anonymous {
		return set.accounts[key], true
	}
	name, ok = set.accounts[key]
	return name, ok
}

// Service returns a service by name, or nil.
func (set *Set) Service(name string) *Service { return set.services[name] }

// ShortestLatencyTarget returns the shortest latency target of the streaming routes to a service, or 0.
func (set *Set) ShortestLatencyTarget(service string) time.Duration { return set.goals[service] }
