// Package hedge decides when a call that is not a stream is overdue, so that a second attempt may begin at another
// replica.
//
// A response is overdue when it takes clearly longer than nearly all recent responses of the same route and service. If
// all responses become slower, so does what counts as overdue, and the retry budget bounds the second attempts until
// then.
package hedge

import (
	"slices"
	"sync"
	"time"
)

// What is learned of the responses of a route.
const (
	maxTimes = 64 // latest response times that are kept
	// minTimes is the number of response times below which nothing is predicted.
	minTimes = 20
	// learnInterval is the number of responses after which the prediction is made again, as that sorts them.
	learnInterval = 8
	// usualShare is the share of responses that arrive within the usual time. At most one call in twenty is later.
	usualShare = 0.95
	// maxKeys bounds the routes of which response times are kept. Routes of earlier configurations are not removed.
	maxKeys = 4096
)

// A call is overdue after overdueFactor times the usual time, and minOverdue later than that at least, so that second
// attempts are rare on routes whose responses all take about as long, or hardly any time.
const (
	overdueFactor = 1.5
	minOverdue    = 40 * time.Millisecond
)

// Key names what has response times of its own.
type Key struct{ Route, Service string }

// Times holds the recent response times of each route and service. It is safe for concurrent use.
type Times struct {
	mu    sync.Mutex
	byKey map[Key]*times
}

// times are the recent response times of one route and service.
type times struct {
	latest []time.Duration // in a ring
	num    int             // of all responses so far
	usual  time.Duration   // within which usualShare of the responses arrived; 0 if that is not known
	median time.Duration
}

// New returns Times without responses.
func New() *Times { return &Times{byKey: make(map[Key]*times)} }

// Record records how long an attempt took until its complete response, or until it was given up for another one.
func (tms *Times) Record(key Key, took time.Duration) {
	tms.mu.Lock()
	defer tms.mu.Unlock()
	one := tms.byKey[key]
	if one == nil {
		if len(tms.byKey) >= maxKeys {
			clear(tms.byKey)
		}
		one = &times{}
		tms.byKey[key] = one
	}
	one.record(took)
}

func (one *times) record(took time.Duration) {
	if len(one.latest) < maxTimes {
		one.latest = append(one.latest, took)
	} else {
		one.latest[one.num%maxTimes] = took
	}
	one.num++
	if one.num >= minTimes && (one.num-minTimes)%learnInterval == 0 {
		sorted := slices.Sorted(slices.Values(one.latest))
		one.usual = sorted[int(usualShare*float64(len(sorted)-1))]
		one.median = sorted[len(sorted)/2]
	}
}

// OverdueAfter returns the time after which a call is overdue if it has no complete response. The engine model predicts
// the given time at least; 0 for no prediction. It returns false if a second attempt is of no use: too few responses
// are known, or it would not be complete in the time that the client has left.
func (tms *Times) OverdueAfter(key Key, predicted, left time.Duration) (time.Duration, bool) {
	tms.mu.Lock()
	defer tms.mu.Unlock()
	one := tms.byKey[key]
	if one == nil || one.usual == 0 {
		return 0, false
	}
	usual := max(one.usual, predicted)
	after := max(time.Duration(overdueFactor*float64(usual)), usual+minOverdue)
	return after, left-after > max(one.median, predicted)
}

// Len returns the number of routes and services of which response times are known.
func (tms *Times) Len() int {
	tms.mu.Lock()
	defer tms.mu.Unlock()
	return len(tms.byKey)
}
