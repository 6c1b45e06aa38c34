package fleet

import (
	"math"
	"slices"
	"sync"
	"time"

	"github.com/tarragonwheel/tarragonwheel/timer"
)

// Group holds the replicas of one service. It is safe for concurrent use.
type Group struct {
	clock   *timer.Service
	mu      sync.Mutex
	members []*Replica // ordered by hash, which is the same order at all processes
	works   uint32     // last ID of a work
	demand  demand
}

func (grp *Group) add(rep *Replica) {
	grp.mu.Lock()
	defer grp.mu.Unlock()
	rep.works = make(map[uint32]*Task)
	rep.remote = make(map[string]map[uint32]*Task)
	grp.members = append(grp.members, rep)
	slices.SortFunc(grp.members, func(one, two *Replica) int {
		return int(int64(one.hash) - int64(two.hash))
	})
}

func (grp *Group) remove(rep *Replica) {
	grp.mu.Lock()
	defer grp.mu.Unlock()
	rep.gone = true
	grp.members = slices.DeleteFunc(grp.members, func(mbr *Replica) bool { return mbr == rep })
}

// Replica is one incarnation of a replica.
type Replica struct {
	hash    uint32
	group   *Group
	started time.Time // when this process learned of it
	// The group's lock guards what follows.
	reg    Registration
	works  map[uint32]*Task            // of this process
	remote map[string]map[uint32]*Task // of other processes, by their name
	health health
	gone   bool // it is not registered any more
}

// Leaving tells whether the replica drains or has gone, so that it may break off its calls without having crashed.
func (rep *Replica) Leaving() bool {
	rep.group.mu.Lock()
	defer rep.group.mu.Unlock()
	return rep.gone || rep.reg.Draining
}

// Registration returns the replica's newest registration.
func (rep *Replica) Registration() Registration {
	rep.group.mu.Lock()
	defer rep.group.mu.Unlock()
	return rep.reg
}

func (rep *Replica) setRegistration(reg Registration) {
	rep.group.mu.Lock()
	defer rep.group.mu.Unlock()
	rep.reg = reg
}

// health is what the answers of a replica tell of its state. Old answers count less.
type health struct {
	failures float64
	answers  float64
	updated  time.Time
	pace     float64 // median of the time that it takes per time predicted; 0 until known
	paced    time.Time
	// reported is the time that it says it takes per time that it should, as of reportedAt.
	reported   float64
	reportedAt time.Time
	askedAt    time.Time
}

// Weights of observations.
const (
	healthHalfLife = 2500 * time.Millisecond
	// healthPrior is the number of good answers that a replica is credited with, so that one failure does not condemn
	// it.
	healthPrior = 1.0
	// unreachableWeight is the number of failures that a refused or silent connection counts as.
	unreachableWeight = 6.0
	mostObservations  = 12.0
	paceStep          = 0.1
	// slowFrom is well above what prompts that are read between events cause.
	slowFrom   = 2.0
	slowMemory = 4 * time.Second
	// askInterval bounds the reports that are asked for, which are paid for.
	askInterval = 2 * time.Second
)

func (hea *health) decay(now time.Time) {
	if hea.updated.IsZero() {
		hea.updated = now
		return
	}
	factor := math.Exp2(-float64(now.Sub(hea.updated)) / float64(healthHalfLife))
	hea.failures *= factor
	hea.answers *= factor
	hea.updated = now
}

// risk is the predicted share of calls that fail.
func (hea *health) risk(now time.Time) float64 {
	hea.decay(now)
	return hea.failures / (hea.failures + hea.answers + healthPrior)
}

// RecordSuccess records a good answer.
func (rep *Replica) RecordSuccess() { rep.observe(0, 1) }

// RecordFailure records a failed call.
func (rep *Replica) RecordFailure() { rep.observe(1, 0) }

// RecordUnreachable records that no connection could be made, or that one broke.
func (rep *Replica) RecordUnreachable() { rep.observe(unreachableWeight, 0) }

func (rep *Replica) observe(failures, answers float64) {
	rep.group.mu.Lock()
	defer rep.group.mu.Unlock()
	rep.health.decay(rep.group.clock.Now())
	rep.health.failures = min(rep.health.failures+failures, mostObservations)
	rep.health.answers = min(rep.health.answers+answers, mostObservations)
}

// ObserveLatencyRatio records the ratio of a pause between two events to the predicted pause. The estimate moves by a
// fixed step towards each ratio, so that it follows their median: the prefill of a long prompt in between makes single
// pauses many times longer.
func (rep *Replica) ObserveLatencyRatio(ratio float64) {
	rep.group.mu.Lock()
	defer rep.group.mu.Unlock()
	if ratio > rep.health.pace {
		rep.health.pace = min(rep.health.pace+paceStep, ratio)
	} else {
		rep.health.pace = max(rep.health.pace-paceStep, ratio)
	}
	rep.health.paced = rep.group.clock.Now()
}

// ShouldQueryLatency tells whether it is time to query the latency ratio that the replica reports, and records that it
// is queried.
func (rep *Replica) ShouldQueryLatency() bool {
	rep.group.mu.Lock()
	defer rep.group.mu.Unlock()
	now := rep.group.clock.Now()
	if now.Sub(rep.health.askedAt) < askInterval {
		return false
	}
	rep.health.askedAt = now
	return true
}

// SetReportedLatencyRatio records the latency ratio that the replica reports.
func (rep *Replica) SetReportedLatencyRatio(pace float64) {
	rep.group.mu.Lock()
	defer rep.group.mu.Unlock()
	rep.health.reported = pace
	rep.health.reportedAt = rep.group.clock.Now()
}

// slowness returns the time that the replica takes per time predicted, or 1 if it is not clearly slow or nothing has
// been seen of it for a while.
func (hea *health) slowness(now time.Time) float64 {
	slow := 1.0
	if hea.pace >= slowFrom && now.Sub(hea.paced) <= slowMemory {
		slow = hea.pace
	}
	if now.Sub(hea.reportedAt) <= slowMemory {
		slow = max(slow, hea.reported)
	}
	return slow
}
