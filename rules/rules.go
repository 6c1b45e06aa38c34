// Package rules holds one version of the operator's configuration: routes, services, client accounts and limits.
//
// A Set is immutable. Processes replace it as a whole, so that each call is handled by exactly one version.
package rules

import (
	"sort"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/tarragonwheel/tarragonwheel/cost"
	"github.com/tarragonwheel/tarragonwheel/pace"
)

// Kind states how the calls of a route may be retried.
type Kind int

// Kinds of routes.
const (
	NonIdempotent Kind = iota // calls run at most once for each request ID
	Idempotent                // calls may run any number of times
	Stream                    // a stream of events; at most once unless the route is resumable
)

// String returns the name of the kind.
func (knd Kind) String() string {
	switch knd {
	case Idempotent:
		return "idempotent"
	case Stream:
		return "stream"
	default:
		return "non-idempotent"
	}
}

// DefaultTimeLimit is the time limit of a call whose client states none.
const DefaultTimeLimit = 60 * time.Second

// Route states which services get the calls to a host and path prefix, and how the calls are handled.
type Route struct {
	Name    string
	Host    string
	Prefix  string // begins and ends with a slash
	Kind    Kind
	Timeout time.Duration // longest time that a client waits; 0 for no limit
	// LatencyTarget is the longest time to the response, or to the first event of a stream, at which a call counts as
	// on time.
	LatencyTarget time.Duration
	// GapTarget is the longest pause between the events of a stream at which a call counts as on time.
	GapTarget         time.Duration
	ClientIdleTimeout time.Duration // time without an event after which clients disconnect; 0 if they do not
	MaxAttempts       int           // largest number of replicas to which one call is sent
	Anonymous         bool          // calls need no API key
	Resumable         bool          // a stream can be continued by another replica
	Priority          int           // of the calls, by which they are counted and logged; 0 is the highest
	Targets           []Target
	Regions           []string // regions whose replicas may get the calls; empty for all
}

// IsStream reports whether responses are streams of events.
func (rte *Route) IsStream() bool { return rte.Kind == Stream }

// Retryable reports whether a call may be sent again if it may have run already.
func (rte *Route) Retryable() bool {
	return rte.Kind == Idempotent || (rte.Kind == Stream && rte.Resumable)
}

// PickService returns the service for a call. Calls are split by weight. The choice depends only on the call's ID, so
// that retries go to the same service.
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

// Target is a service that gets a part of a route's calls, in proportion to its weight.
type Target struct {
	Service string
	Weight  int
}

// Service is a set of interchangeable replicas.
type Service struct {
	Name           string
	HealthPath     string
	MaxConnections int          // limit of one replica for the connections of all processes
	Engine         *cost.Engine // nil if the replicas are not LLM engines
	WarmUp         pace.WarmUp  // of replicas that have just started
}

// Account is a client account.
type Account struct {
	Name        string
	Keys        []string
	Regions     []string // regions whose replicas may get the account's calls; empty for all
	Priority    int      // takes precedence over that of the route
	HasPriority bool     // Priority is set
}

// Limits bound the size of requests, the time to send their headers, and how long connections of clients may be idle.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Spec is the content of a Set.
type Spec struct {
	Version  int64
	Routes   []Route
	Services []Service
	Accounts []Account
	Limits   Limits
}

// Set is one version of the configuration, indexed for lookups. It is safe for concurrent use.
type Set struct {
	version        int64
	limits         Limits
	routes         map[string][]*Route      // by host, longest prefix first
	services       map[string]*Service      // by name
	accounts       map[string]string        // account name by API key
	regions        map[string][]string      // allowed regions by API key, of accounts that restrict them
	priorities     map[string]int           // by name of an account that has a priority
	noAccounts     bool                     // no account is configured, so no call needs a key
	latencyTargets map[string]time.Duration // shortest of the streaming routes, by service name
}

// New returns the Set for a Spec.
func New(spc Spec) *Set {
	set := &Set{
		version: spc.Version, limits: spc.Limits, noAccounts: len(spc.Accounts) == 0,
		routes:         make(map[string][]*Route),
		services:       make(map[string]*Service),
		accounts:       make(map[string]string),
		regions:        make(map[string][]string),
		priorities:     make(map[string]int),
		latencyTargets: make(map[string]time.Duration),
	}
	for idx := range spc.Routes {
		set.addRoute(&spc.Routes[idx])
	}
	for _, routes := range set.routes {
		sort.SliceStable(routes, func(one, two int) bool { return len(routes[one].Prefix) > len(routes[two].Prefix) })
	}
	for idx := range spc.Services {
		set.services[spc.Services[idx].Name] = &spc.Services[idx]
	}
	for _, acc := range spc.Accounts {
		for _, key := range acc.Keys {
			set.accounts[key] = acc.Name
			if delete(set.regions, key); len(acc.Regions) > 0 {
				set.regions[key] = acc.Regions
			}
		}
		if acc.HasPriority {
			set.priorities[acc.Name] = acc.Priority
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
		if shortest, ok := set.latencyTargets[tgt.Service]; !ok || rte.LatencyTarget < shortest {
			set.latencyTargets[tgt.Service] = rte.LatencyTarget
		}
	}
}

// Version returns the version number, which increases with each change.
func (set *Set) Version() int64 { return set.version }

// Limits returns the limits for clients.
func (set *Set) Limits() Limits { return set.limits }

// Match returns the route with the longest prefix for a host, with or without a port, and a path. It returns nil if
// there is none.
func (set *Set) Match(host, path string) *Route {
	for _, rte := range set.routes[normalizeHost(host)] {
		if strings.HasPrefix(path, rte.Prefix) {
			return rte
		}
	}
	return nil
}

// normalizeHost removes the port and converts the name to lower case.
func normalizeHost(host string) string {
	if idx := strings.LastIndexByte(host, ':'); idx >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:idx]
	}
	return strings.ToLower(host)
}

// AuthorizeKey returns the name of the account to which an API key belongs, and whether a call with this key may use
// the route. The name is empty if the key is not known.
func (set *Set) AuthorizeKey(rte *Route, key string) (name string, ok bool) {
	if set.noAccounts || rte.Anonymous {
		return set.accounts[key], true
	}
	name, ok = set.accounts[key]
	return name, ok
}

// Priority returns the priority of an account's calls to a route. That of the account takes precedence.
func (set *Set) Priority(rte *Route, account string) int {
	if num, ok := set.priorities[account]; ok {
		return num
	}
	return rte.Priority
}

// Service returns a service by name, or nil.
func (set *Set) Service(name string) *Service { return set.services[name] }

// ShortestLatencyTarget returns the shortest latency target of the streaming routes to a service, or 0.
func (set *Set) ShortestLatencyTarget(service string) time.Duration {
	return set.latencyTargets[service]
}
