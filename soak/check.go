package soak

import (
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/tarragonwheel/tarragonwheel/platform/plsim"
)

// Invariants that the soak checks.
const (
	invariantAtMostOnce  = "a call that is not retryable runs at most once"
	invariantNotExecuted = "a call reported as not executed never ran"
	invariantRequest     = "replicas receive the requests of clients unchanged"
	invariantResponse    = "a client gets the complete response to its own call"
	invariantDrain       = "a draining replica gets no new calls"
	invariantRemoved     = "a replica that has left gets no calls"
	invariantConfigDelay = "a new configuration is active in time"
	invariantConfigOrder = "a front never returns to an older configuration"
	invariantCancel      = "replicas stop working on a call when its client disconnects"
	invariantPlannedStop = "a planned stop aborts no calls"
	invariantRecovery    = "all fronts serve again after the faults"
	invariantNoExit      = "no front exits unless it is stopped"
	invariantCrashes     = "a call that crashes replicas is refused"
	invariantLeaving     = "a replica that says that it leaves gets no new calls"
	invariantFlood       = "an account within its share is served beside one that floods"
	invariantPause       = "a replica that asks for a pause gets two calls at most"
	invariantEvacuated   = "replicas in an evacuated data centre get no calls"
	invariantCold        = "a cold replica gets no more calls than it bears"
)

// slack is added to time limits, because a busy machine may delay what this process observes.
const slack = 250 * time.Millisecond

// cancelTime is the time within which replicas must stop working on a call whose client has disconnected.
const cancelTime = 500 * time.Millisecond

// settleTime is the time after a fault during which invariants with time limits are not checked.
const settleTime = 3 * time.Second

// call is a client's call and its outcome.
type call struct {
	id, path          string
	account           string // of calls to the shared service
	front             int
	run               int // number of the front's process run that got the call
	sent              time.Time
	ended             time.Time
	disconnectedAt    time.Time // zero if the client did not disconnect early
	duringPlannedStop bool      // the call overlapped a planned stop of the front
	outcome           plsim.Outcome
}

// interval is the time during which faults were injected.
type interval struct{ from, until time.Time }

// checker records what clients and replicas observe and checks the invariants on it. It is safe for concurrent use.
type checker struct {
	mu            sync.Mutex
	runs          map[string][]plsim.Run // by call ID
	runEnds       map[string]time.Time   // when the last run of a call ended, by call ID
	calls         []call
	lastArrivals  map[string]time.Time // last call at each replica, also if rejected; by replica ID
	arrivals      []plsim.Arrival
	drainingSince map[string]time.Time // when the replica was registered as draining, by replica ID
	removedSince  map[string]time.Time // when the registration was removed, by ID of a replica that did not drain
	publishTimes  []time.Time          // of each configuration version, the first at index 0
	faults        []interval
	evacuations   []evacuation
	restoreGaps   []interval             // from each restore amid faults until lost records were written again
	crashes       map[string][]time.Time // of replicas, by the path of the call that caused them
	overruns      []plsim.Overrun        // crashes of cold replicas that got too many calls
	coldFloods    []time.Time            // when a replica turned cold, and more calls than it bears were sent
	checkCounts   map[string]int         // by invariant
	violations    []string
	floodText     string // what became of the calls to the shared service
}

func newChecker() *checker {
	return &checker{
		runs: make(map[string][]plsim.Run), runEnds: make(map[string]time.Time),
		lastArrivals: make(map[string]time.Time), drainingSince: make(map[string]time.Time),
		removedSince: make(map[string]time.Time),
		crashes:      make(map[string][]time.Time), checkCounts: make(map[string]int),
	}
}

// observer returns functions that record what happens at replicas.
func (chk *checker) observer() plsim.Observer {
	return plsim.Observer{
		OnRunStart: func(run plsim.Run) {
			chk.mu.Lock()
			defer chk.mu.Unlock()
			chk.runs[run.ID] = append(chk.runs[run.ID], run)
		},
		OnArrival: func(arv plsim.Arrival) {
			chk.mu.Lock()
			defer chk.mu.Unlock()
			chk.lastArrivals[arv.Replica] = arv.At
			chk.arrivals = append(chk.arrivals, arv)
		},
		OnRunEnd: func(run plsim.Run, _ bool, at time.Time) {
			chk.mu.Lock()
			defer chk.mu.Unlock()
			chk.runEnds[run.ID] = at
		},
		OnCrash: chk.recordCrash, OnOverrun: chk.recordOverrun,
	}
}

// recordFault records that faults may occur from now on for the given time.
func (chk *checker) recordFault(dur time.Duration) {
	now := time.Now()
	chk.mu.Lock()
	defer chk.mu.Unlock()
	chk.faults = append(chk.faults, interval{now, now.Add(dur)})
}

// faultFree reports whether no fault, including its settling time, overlapped the given time. The caller holds mu.
func (chk *checker) faultFree(from, until time.Time) bool {
	for _, flt := range chk.faults {
		if flt.from.Before(until) && from.Before(flt.until.Add(settleTime)) {
			return false
		}
	}
	return true
}

func (chk *checker) recordCall(cal call) {
	chk.mu.Lock()
	defer chk.mu.Unlock()
	chk.calls = append(chk.calls, cal)
}

// recordCheck counts a check of an invariant and records a violation if it did not hold. The caller holds mu.
func (chk *checker) recordCheck(invariant string, held bool, detail string, args ...any) {
	chk.checkCounts[invariant]++
	if !held {
		chk.violations = append(chk.violations, invariant+": "+fmt.Sprintf(detail, args...))
	}
}

// verifyAll checks the invariants on everything that was recorded.
func (chk *checker) verifyAll() {
	chk.mu.Lock()
	defer chk.mu.Unlock()
	for idx := range chk.calls {
		chk.verifyCall(&chk.calls[idx])
	}
	chk.verifyConfigOrder()
	chk.verifyCrashes()
	chk.verifyNotices()
	chk.verifyEvacuations()
	chk.verifyFlood()
	chk.verifyOverruns()
	chk.verifyLeaving(invariantDrain, chk.drainingSince)
	chk.verifyLeaving(invariantRemoved, chk.removedSince)
}

// verifyLeaving checks that replicas got no calls later than the drain time after they began to leave.
func (chk *checker) verifyLeaving(invariant string, leavingSince map[string]time.Time) {
	for replica, since := range leavingSince {
		last := chk.lastArrivals[replica]
		limit := since.Add(drainTime + slack)
		if chk.faultFree(since.Add(-time.Second), limit) {
			chk.recordCheck(invariant, last.Before(limit), "%s got a call %v after it began to leave",
				replica, last.Sub(since))
		}
	}
}

func (chk *checker) verifyCall(cal *call) {
	runs := chk.runs[cal.id]
	if strings.HasPrefix(cal.path, "/unsafe/") && len(runs) > 0 {
		chk.recordCheck(invariantAtMostOnce, len(runs) == 1, "%s ran %d times", cal.id, len(runs))
	}
	if cal.outcome.NotExecuted() && strings.HasPrefix(cal.path, "/unsafe/") {
		chk.recordCheck(invariantNotExecuted, len(runs) == 0, "%s has status %d and ran", cal.id, cal.outcome.Status)
	}
	for _, run := range runs {
		same := run.Path == cal.path && run.Body == "body of "+cal.id
		chk.recordCheck(invariantRequest, same, "%s ran as %s with %.40q", cal.id, run.Path, run.Body)
	}
	if cal.outcome.Status == 200 {
		chk.recordCheck(invariantResponse, cal.outcome.Mismatch == "", "%s", cal.outcome.Mismatch)
	}
	chk.verifyCancelAndStop(cal, len(runs) > 0)
	chk.verifyConfigDelay(cal)
}

// verifyCancelAndStop checks calls whose client disconnected, and calls that overlapped a planned stop.
func (chk *checker) verifyCancelAndStop(cal *call, ran bool) {
	disconnected := !cal.disconnectedAt.IsZero()
	if disconnected && ran && chk.faultFree(cal.sent, cal.disconnectedAt.Add(time.Second)) {
		ended, hasEnded := chk.runEnds[cal.id]
		overrun := ended.Sub(cal.disconnectedAt)
		chk.recordCheck(invariantCancel, hasEnded && overrun < cancelTime+slack,
			"%s kept running for %v after its client disconnected, ended: %v", cal.id, overrun, hasEnded)
	}
	if cal.duringPlannedStop && ran && !disconnected && chk.faultFree(cal.sent, cal.ended) {
		chk.recordCheck(invariantPlannedStop, cal.outcome.Complete, "%s was aborted: %v", cal.id, cal.outcome.Err)
	}
}

// verifyConfigDelay checks that a call was not served by a version that should have been replaced before it was sent.
// Versions that were published during faults must be active as well when the faults have settled.
func (chk *checker) verifyConfigDelay(cal *call) {
	version, ok := chk.servedVersion(cal)
	due := chk.requiredVersion(cal.sent)
	if ok && due > 0 && chk.faultFree(cal.sent.Add(-configTime-slack), cal.sent) {
		chk.recordCheck(invariantConfigDelay, version >= due, "%s was served by version %d instead of %d",
			cal.id, version, due)
	}
}

// serviceCount is the number of services. Successive versions of the configuration send the route "moved" to each in
// turn.
const serviceCount = 3

// serviceOf returns the service that the route "moved" targets in a version.
func serviceOf(version int) string { return fmt.Sprint("s", version%serviceCount) }

// servedVersion returns the version by which a call on the route "moved" was served: the newest one published before
// its end that names the service that answered. It returns false if the call does not show its version.
func (chk *checker) servedVersion(cal *call) (int, bool) {
	if !strings.HasPrefix(cal.path, "/moved/") || cal.outcome.Status != 200 || !cal.outcome.Complete {
		return 0, false
	}
	for version := len(chk.publishTimes); version > 0; version-- {
		if chk.publishTimes[version-1].Before(cal.ended) && serviceOf(version) == cal.outcome.Service() {
			return version, true
		}
	}
	return 0, false
}

// requiredVersion returns the oldest version that may serve calls sent at the given time; 0 if any may.
func (chk *checker) requiredVersion(sent time.Time) int {
	due := 0
	for idx, at := range chk.publishTimes {
		if sent.After(at.Add(configTime + slack)) {
			due = idx + 1
		}
	}
	return due
}

// verifyConfigOrder checks that no process run of a front returns to an older version.
func (chk *checker) verifyConfigOrder() {
	type frontRun struct{ front, run int }
	type observation struct {
		version int
		ended   time.Time
	}
	last := make(map[frontRun]observation)
	for idx := range chk.calls { // In the order in which they ended.
		cal := &chk.calls[idx]
		version, ok := chk.servedVersion(cal)
		if !ok {
			continue
		}
		run := frontRun{cal.front, cal.run}
		old := last[run]
		if cal.sent.After(old.ended.Add(slack)) {
			chk.recordCheck(invariantConfigOrder, version >= old.version,
				"%s was served by version %d after version %d", cal.id, version, old.version)
		}
		if version > old.version {
			last[run] = observation{version, cal.ended}
		}
	}
}
