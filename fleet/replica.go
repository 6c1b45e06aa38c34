package fleet

import (
	"math"
	"slices"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"github.com/tarragonwheel/tarragonwheel/pace"
	"github.com/tarragonwheel/tarragonwheel/timer"
)

// ReplicaSet holds the replicas of one service. It is safe for concurrent use.
type ReplicaSet struct {
	clock      *timer.Service
	log        logr.Logger
	pace       *PaceOptions
	mu         sync.Mutex
	replicas   []*Replica // ordered by hash; all processes have the same order
	lastTaskID uint32     // ID of the last task that was started
	warmUp     pace.WarmUp
	busiest    int // tasks at the busiest replica
	busiestAt  time.Time
	// By data centre:
	demand        map[string]*prefillDemand
	perDataCentre map[string]int  // number of replicas
	evacuated     map[string]bool // those whose replicas get no requests; not changed, but replaced
}

func newReplicaSet(clk *timer.Service) *ReplicaSet {
	return &ReplicaSet{clock: clk, demand: make(map[string]*prefillDemand), perDataCentre: make(map[string]int)}
}

func (set *ReplicaSet) add(rep *Replica) {
	set.mu.Lock()
	defer set.mu.Unlock()
	rep.localTasks = make(map[uint32]*Task)
	rep.remoteTasks = make(map[string]map[uint32]*Task)
	set.replicas = append(set.replicas, rep)
	set.perDataCentre[rep.reg.DataCentre]++
	slices.SortFunc(set.replicas, func(one, two *Replica) int {
		return int(int64(one.hash) - int64(two.hash))
	})
}

func (set *ReplicaSet) remove(rep *Replica) {
	set.mu.Lock()
	defer set.mu.Unlock()
	rep.removed = true
	set.perDataCentre[rep.reg.DataCentre]--
	set.replicas = slices.DeleteFunc(set.replicas, func(one *Replica) bool { return one == rep })
}

// Replica is one incarnation of a replica.
type Replica struct {
	hash         uint32
	set          *ReplicaSet
	registeredAt time.Time // when this process learned of its first registration
	// The fields below are guarded by the lock of the set.
	reg            Registration
	registrationAt time.Time                   // when this process learned of reg
	localTasks     map[uint32]*Task            // of this process, by ID
	remoteTasks    map[string]map[uint32]*Task // of other processes, by peer and task ID
	health         health
	notices        *notices
	summary        Summary // of its load, if processes of another cell use it; zero if none was received
	removed        bool    // it is not registered any more
	// longPrefillAt is when a task with a long prefill last ended there or was begun to be decoded.
	longPrefillAt time.Time
}

// Leaving tells whether the replica is draining, has said that it leaves or has been removed. It may then close
// connections mid-call without having crashed.
func (rep *Replica) Leaving() bool {
	rep.set.mu.Lock()
	defer rep.set.mu.Unlock()
	return rep.removed || rep.reg.Draining || rep.notices.leaving()
}

// takesCalls tells whether the replica may get new calls, apart from whether its registration says that it drains. The
// caller holds the lock.
func (rep *Replica) takesCalls(now time.Time) bool {
	return !rep.evacuatedLocked() && rep.notices.takesCalls(now) && rep.slowStartAllowsCall(now)
}

// HadLongPrefill reports whether within the given time a prompt or a part of one was known at the replica whose prefill
// takes long, so that the events of streams there may be late.
func (rep *Replica) HadLongPrefill(within time.Duration) bool {
	rep.set.mu.Lock()
	defer rep.set.mu.Unlock()
	now := rep.set.clock.Now()
	vie := rep.view(0, now)
	return vie.PrefillBacklog >= LongPrefill || now.Sub(rep.longPrefillAt) < within ||
		slices.ContainsFunc(vie.Tasks, func(tsk Task) bool { return tsk.isLongPrefill() })
}

// isLongPrefill reports whether the task may delay the events of streams at its replica.
func (tsk *Task) isLongPrefill() bool {
	return tsk.Phase == Prefill && (tsk.IsPart || tsk.PrefillTime >= LongPrefill)
}

// Registration returns the replica's newest registration.
func (rep *Replica) Registration() Registration {
	rep.set.mu.Lock()
	defer rep.set.mu.Unlock()
	return rep.reg
}

func (rep *Replica) setRegistration(reg Registration) {
	rep.set.mu.Lock()
	defer rep.set.mu.Unlock()
	rep.set.perDataCentre[rep.reg.DataCentre]--
	rep.set.perDataCentre[reg.DataCentre]++
	rep.reg = reg
}

// cell returns the cell of the replica.
func (rep *Replica) cell() string {
	rep.set.mu.Lock()
	defer rep.set.mu.Unlock()
	return rep.set.cellLocked(rep.reg.DataCentre)
}

// health holds statistics on the outcomes of calls and on the speed of a replica. The weight of past outcomes decays.
type health struct {
	failures      float64
	successes     float64
	updated       time.Time
	failedInRow   int     // calls since the last success
	observedRatio float64 // median ratio of observed to predicted time; 0 until known
	observedAt    time.Time
	// reportedRatio is the latency ratio that the replica reported at reportedAt.
	reportedRatio float64
	reportedAt    time.Time
	queriedAt     time.Time
}

// Weights and limits of observations.
const (
	healthHalfLife = 2500 * time.Millisecond
	// healthPrior is the number of successes with which each replica is credited, so that a single failure does not
	// give it a failure rate of 1.
	healthPrior = 1.0
	// unreachableWeight is the number of failures for which a refused or unresponsive connection counts.
	unreachableWeight = 6.0
	maxObservations   = 12.0 // limit of the decayed number of successes, and of failures
	ratioStep         = 0.1  // by which an observation moves the estimate at most
	// slowRatio is the observed ratio from which a replica counts as slow. It is well above the ratios that the prefill
	// of other prompts between events causes.
	slowRatio = 2.0
	// ratioTimeout is the time after which a latency ratio is ignored, because the replica may have recovered.
	ratioTimeout = 4 * time.Second
	// queryInterval limits how often a replica is queried for its latency ratio, since each query is charged for.
	queryInterval = 2 * time.Second
)

func (hea *health) decay(now time.Time) {
	if hea.updated.IsZero() {
		hea.updated = now
		return
	}
	factor := math.Exp2(-float64(now.Sub(hea.updated)) / float64(healthHalfLife))
	hea.failures *= factor
	hea.successes *= factor
	hea.updated = now
}

// failureRate returns the predicted share of calls that fail.
func (hea *health) failureRate(now time.Time) float64 {
	hea.decay(now)
	return hea.failures / (hea.failures + hea.successes + healthPrior)
}

// RecordSuccess records a call that the replica has served.
func (rep *Replica) RecordSuccess() { rep.recordOutcome(0, 1) }

// RecordFailure records a failed call.
func (rep *Replica) RecordFailure() { rep.recordOutcome(1, 0) }

// RecordUnreachable records that no connection could be made, or that one was lost before any response.
func (rep *Replica) RecordUnreachable() { rep.recordOutcome(unreachableWeight, 0) }

// recordOutcome adds the given numbers of failures and successes to the replica's health.
func (rep *Replica) recordOutcome(failures, successes float64) {
	rep.set.mu.Lock()
	defer rep.set.mu.Unlock()
	now := rep.set.clock.Now()
	rep.health.decay(now)
	rep.health.failures = min(rep.health.failures+failures, maxObservations)
	rep.health.successes = min(rep.health.successes+successes, maxObservations)
	if successes > 0 {
		rep.health.failedInRow = 0
		rep.recordResponds(now)
	} else if rep.health.failedInRow++; rep.health.failedInRow >= failingCalls {
		rep.markFailing()
	}
}

// ObserveLatencyRatio records the ratio of a pause between two events to the predicted pause. The estimate moves by a
// fixed step towards each ratio, so that it follows their median: the prefill of a long prompt in between makes single
// pauses many times longer.
func (rep *Replica) ObserveLatencyRatio(ratio float64) {
	rep.set.mu.Lock()
	defer rep.set.mu.Unlock()
	if ratio > rep.health.observedRatio {
		rep.health.observedRatio = min(rep.health.observedRatio+ratioStep, ratio)
	} else {
		rep.health.observedRatio = max(rep.health.observedRatio-ratioStep, ratio)
	}
	rep.health.observedAt = rep.set.clock.Now()
}

// ShouldQueryLatency tells whether it is time to query the latency ratio that the replica reports, and records that it
// is queried.
func (rep *Replica) ShouldQueryLatency() bool {
	rep.set.mu.Lock()
	defer rep.set.mu.Unlock()
	now := rep.set.clock.Now()
	if now.Sub(rep.health.queriedAt) < queryInterval {
		return false
	}
	rep.health.queriedAt = now
	return true
}

// SetReportedLatencyRatio records the latency ratio that the replica reports.
func (rep *Replica) SetReportedLatencyRatio(ratio float64) {
	rep.set.mu.Lock()
	defer rep.set.mu.Unlock()
	rep.health.reportedRatio = ratio
	rep.health.reportedAt = rep.set.clock.Now()
}

// latencyRatio returns the ratio of observed to predicted time, or 1 if the replica is not clearly slow or there is no
// recent observation.
func (hea *health) latencyRatio(now time.Time) float64 {
	ratio := 1.0
	if hea.observedRatio >= slowRatio && now.Sub(hea.observedAt) <= ratioTimeout {
		ratio = hea.observedRatio
	}
	if now.Sub(hea.reportedAt) <= ratioTimeout {
		ratio = max(ratio, hea.reportedRatio)
	}
	return ratio
}
