package soak

import (
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/tarragonwheel/tarragonwheel/platform/plsim"
)

// Promises that a soak checks.
const (
	promiseOnce    = "a call that may not be repeated runs at most once"
	promiseNotRun  = "a refusal that says not run is true"
	promiseAsked   = "replicas run what clients asked, unchanged"
	promiseAnswer  = "a client gets the whole answer to its own call"
	promiseDrain   = "a draining replica gets no new call"
	promiseConfig  = "a configuration is in force in time"
	promiseForward = "a configuration never goes back"
	promiseGone    = "replicas stop when a client has left"
	promiseStop    = "a planned stop cuts off no call"
	promiseRecover = "all fronts serve when the faults are over"
	promiseAlive   = "no front ends by itself"
)

// slack is the time for which the machine may delay what this process sees.
const slack = 250 * time.Millisecond

// goneTime is the time within which replicas stop work on a call whose client has left.
const goneTime = 500 * time.Millisecond

// settled is the time after a fault from which timed promises hold again.
const settled = 3 * time.Second

// call is a client's call and what became of it.
type call struct {
	id, path string
	front    int
	run      int // of the front's process
	sent     time.Time
	ended    time.Time
	leftAt   time.Time // zero if the client stayed
	stopping bool      // a planned stop of the front began during the call, without other faults
	out      plsim.Outcome
}

// span is the time of a fault.
type span struct{ from, until time.Time }

// checker collects what clients and replicas see. It is safe for concurrent use.
type checker struct {
	mu       sync.Mutex
	runs     map[string][]plsim.Run
	worked   map[string]time.Time // when the last work on a call ended
	calls    []call
	arrivals map[string]time.Time // last arrival at each replica
	drained  map[string]time.Time // when the registration said so
	versions []time.Time          // when each version was written
	faults   []span
	counts   map[string]int
	broken   []string
}

func newChecker() *checker {
	return &checker{
		runs: make(map[string][]plsim.Run), worked: make(map[string]time.Time),
		arrivals: make(map[string]time.Time), drained: make(map[string]time.Time), counts: make(map[string]int),
	}
}

func (chk *checker) observer() plsim.Observer {
	return plsim.Observer{
		Began: func(run plsim.Run) {
			chk.mu.Lock()
			defer chk.mu.Unlock()
			chk.runs[run.ID] = append(chk.runs[run.ID], run)
		},
		Arrived: func(replica string, at time.Time) {
			chk.mu.Lock()
			defer chk.mu.Unlock()
			chk.arrivals[replica] = at
		},
		Worked: func(run plsim.Run, _ bool, at time.Time) {
			chk.mu.Lock()
			defer chk.mu.Unlock()
			chk.worked[run.ID] = at
		},
	}
}

// fault notes a fault that lasts from now on for the given time.
func (chk *checker) fault(lasts time.Duration) {
	now := time.Now()
	chk.mu.Lock()
	defer chk.mu.Unlock()
	chk.faults = append(chk.faults, span{now, now.Add(lasts)})
}

// calm tells whether no fault disturbed a time.
func (chk *checker) calm(from, until time.Time) bool {
	for _, flt := range chk.faults {
		if flt.from.Before(until) && from.Before(flt.until.Add(settled)) {
			return false
		}
	}
	return true
}

func (chk *checker) ended(cal call) {
	chk.mu.Lock()
	defer chk.mu.Unlock()
	chk.calls = append(chk.calls, cal)
}

// check counts that a promise was checked, and notes if it was broken.
func (chk *checker) check(promise string, kept bool, detail string, args ...any) {
	chk.counts[promise]++
	if !kept {
		chk.broken = append(chk.broken, promise+": "+fmt.Sprintf(detail, args...))
	}
}

// verify checks all promises on what was seen.
func (chk *checker) verify() {
	chk.mu.Lock()
	defer chk.mu.Unlock()
	for idx := range chk.calls {
		chk.verifyCall(&chk.calls[idx])
	}
	chk.verifyForward()
	for replica, since := range chk.drained {
		last := chk.arrivals[replica]
		limit := since.Add(drainTime + slack)
		if chk.calm(since.Add(-time.Second), limit) {
			chk.check(promiseDrain, last.Before(limit), "%s got a call %v after it drained", replica, last.Sub(since))
		}
	}
}

func (chk *checker) verifyCall(cal *call) {
	runs := chk.runs[cal.id]
	if strings.HasPrefix(cal.path, "/unsafe/") && len(runs) > 0 {
		chk.check(promiseOnce, len(runs) == 1, "%s ran %d times", cal.id, len(runs))
	}
	if cal.out.Promised() && strings.HasPrefix(cal.path, "/unsafe/") {
		chk.check(promiseNotRun, len(runs) == 0, "%s has status %d and ran", cal.id, cal.out.Status)
	}
	for _, run := range runs {
		same := run.Path == cal.path && run.Body == "body of "+cal.id
		chk.check(promiseAsked, same, "%s ran as %s with %.40q", cal.id, run.Path, run.Body)
	}
	if cal.out.Status == 200 {
		chk.check(promiseAnswer, cal.out.Fault == "", "%s", cal.out.Fault)
	}
	chk.verifyEnd(cal, len(runs) > 0)
	chk.verifyVersion(cal)
}

// verifyEnd checks calls whose client left, and calls during a planned stop.
func (chk *checker) verifyEnd(cal *call, ran bool) {
	left := !cal.leftAt.IsZero()
	if left && ran && chk.calm(cal.sent, cal.leftAt.Add(time.Second)) {
		late := chk.worked[cal.id].Sub(cal.leftAt)
		chk.check(promiseGone, late < goneTime+slack, "work on %s went on for %v", cal.id, late)
	}
	if cal.stopping && ran && !left && chk.calm(cal.sent, cal.ended) {
		chk.check(promiseStop, cal.out.Whole, "%s was cut off: %v", cal.id, cal.out.Err)
	}
}

func (chk *checker) verifyVersion(cal *call) {
	version, ok := chk.version(cal)
	due := chk.dueVersion(cal.sent)
	if ok && due > 0 && chk.calm(chk.versions[due-1], cal.sent) {
		chk.check(promiseConfig, version >= due, "%s was handled by version %d, due %d", cal.id, version, due)
	}
}

// services is the number of services between which versions of the configuration move a route, in turn.
const services = 3

func serviceOf(version int) string { return fmt.Sprint("s", version%services) }

// version returns the version by which a call was handled: the newest one written that names its service.
func (chk *checker) version(cal *call) (int, bool) {
	if !strings.HasPrefix(cal.path, "/moved/") || cal.out.Status != 200 || !cal.out.Whole {
		return 0, false
	}
	for version := len(chk.versions); version > 0; version-- {
		if chk.versions[version-1].Before(cal.ended) && serviceOf(version) == cal.out.Service() {
			return version, true
		}
	}
	return 0, false
}

// dueVersion returns the version that must be in force for calls sent at a time; 0 for none.
func (chk *checker) dueVersion(sent time.Time) int {
	due := 0
	for idx, at := range chk.versions {
		if sent.After(at.Add(configTime + slack)) {
			due = idx + 1
		}
	}
	return due
}

// verifyForward checks that no run of a front goes back to an older version.
func (chk *checker) verifyForward() {
	type place struct{ front, run int }
	type seen struct {
		version int
		ended   time.Time
	}
	last := make(map[place]seen)
	for idx := range chk.calls { // In the order of their ends.
		cal := &chk.calls[idx]
		version, ok := chk.version(cal)
		if !ok {
			continue
		}
		at := place{cal.front, cal.run}
		old := last[at]
		if cal.sent.After(old.ended.Add(slack)) {
			chk.check(promiseForward, version >= old.version, "%s by version %d after %d", cal.id, version, old.version)
		}
		if version > old.version {
			last[at] = seen{version, cal.ended}
		}
	}
}
