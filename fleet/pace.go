package fleet

import (
	"maps"
	"time"

	"github.com/tarragonwheel/tarragonwheel/pace"
)

// PaceOptions configure the slow start of replicas.
type PaceOptions struct {
	// Fronts returns the fronts that share the limits of cold replicas.
	Fronts func() *pace.Fronts
	// CountEvent counts an event of a replica's slow start; nil for none.
	CountEvent func(kind string)
}

// SetPace sets the options of slow starts. It is called once, before the first registration.
func (flt *Fleet) SetPace(opts PaceOptions) {
	flt.mu.Lock()
	defer flt.mu.Unlock()
	flt.pace = opts
}

// SetWarmUps sets what the operator states of just started replicas, by service. Replicas of other services have no
// slow start. Registrations that came before take effect now.
func (flt *Fleet) SetWarmUps(byService map[string]pace.WarmUp) {
	flt.mu.Lock()
	defer flt.mu.Unlock()
	flt.warmUps = maps.Clone(byService)
	for service, set := range flt.replicaSets {
		set.setWarmUp(byService[service])
	}
}

func (set *ReplicaSet) setWarmUp(wrm pace.WarmUp) {
	set.mu.Lock()
	defer set.mu.Unlock()
	if set.warmUp == wrm {
		return
	}
	set.warmUp = wrm
	now := set.clock.Now()
	for _, rep := range set.replicas {
		old := rep.notices.slowStart
		rep.notices.slowStart = nil
		left := rep.warmUpLeft(now)
		if old != nil {
			left = max(left, old.ColdLeft(now))
		}
		rep.markCold(now, left, "configuration")
	}
}

// newIncarnationAge is the age up to which an incarnation counts as just started when its first registration is read.
// It allows for clocks that differ.
const newIncarnationAge = 10 * time.Second

// coldAtStart returns how long a replica is cold that has been added by a registration. What is listed first after the
// start of this process has been running, as far as its registration does not say otherwise, and so has what was
// registered before. The caller holds the lock of the fleet.
func (flt *Fleet) coldAtStart(rep *Replica, wasKnown bool) (left time.Duration, reason string) {
	reg := &rep.reg
	if reg.WarmUpLeft > 0 || wasKnown || !flt.listed {
		return reg.WarmUpLeft, "registration"
	}
	age := flt.clock.Now().Sub(time.UnixMilli(reg.StartedAtMs))
	if reg.StartedAtMs != 0 && age > newIncarnationAge {
		return 0, ""
	}
	return rep.set.warmUp.Time, "new incarnation"
}

// MarkCold records that all replicas in a data centre may have become cold now, for example because it has been
// returned to service.
func (flt *Fleet) MarkCold(dataCentre string) {
	num := 0
	for _, set := range flt.allReplicaSets() {
		set.mu.Lock()
		now := set.clock.Now()
		for _, rep := range set.replicas {
			if rep.reg.DataCentre == dataCentre && rep.extendCold(now, set.warmUp.Time) {
				set.pace.count("replica-cold")
				num++
			}
		}
		set.mu.Unlock()
	}
	flt.log.Info("fleet: replicas of a data centre may be cold", "data-centre", dataCentre, "replicas", num)
}

// warmUpLeft returns the rest of the cold time in the registration. The caller holds the lock.
func (rep *Replica) warmUpLeft(now time.Time) time.Duration {
	return max(rep.reg.WarmUpLeft-now.Sub(rep.registrationAt), 0)
}

// isColdAgain reports whether a registration states a longer cold time than the known one.
func (rep *Replica) isColdAgain(reg *Registration) bool {
	rep.set.mu.Lock()
	defer rep.set.mu.Unlock()
	return reg.WarmUpLeft > rep.warmUpLeft(rep.set.clock.Now())+pace.ColdTolerance
}

// recordWarmUp records the cold time in a registration of the replica.
func (rep *Replica) recordWarmUp(left time.Duration) {
	rep.set.mu.Lock()
	defer rep.set.mu.Unlock()
	now := rep.set.clock.Now()
	rep.registrationAt = now
	rep.markCold(now, left, "registration")
}

// markColdFor is markCold from now on for a caller that does not hold the lock.
func (rep *Replica) markColdFor(left time.Duration, reason string) {
	rep.set.mu.Lock()
	defer rep.set.mu.Unlock()
	rep.markCold(rep.set.clock.Now(), left, reason)
}

// RecordCold records that the replica has said that it stays cold for the given time. It returns whether that is new.
func (rep *Replica) RecordCold(left time.Duration) bool {
	rep.set.mu.Lock()
	defer rep.set.mu.Unlock()
	return rep.markCold(rep.set.clock.Now(), left, "response")
}

// markCold is extendCold with a log line. The caller holds the lock.
func (rep *Replica) markCold(now time.Time, left time.Duration, reason string) bool {
	if !rep.extendCold(now, left) {
		return false
	}
	frs := rep.set.pace.fronts()
	rep.set.pace.count("replica-cold")
	rep.set.log.Info("fleet: replica is cold", "replica", rep.reg.ID, "service", rep.reg.Service, "reason", reason,
		"for", left, "quota", rep.notices.slowStart.Quota(frs), "fronts", frs.Size())
	return true
}

// extendCold limits the rate of calls to the replica for the given time, if there is a limit. It returns whether the
// cold time is a new one. The caller holds the lock.
func (rep *Replica) extendCold(now time.Time, left time.Duration) bool {
	if left <= 0 || !rep.set.warmUp.Applies() {
		return false
	}
	return rep.beginSlowStart(now).MarkCold(now, left)
}

// beginSlowStart returns the slow start of the replica, which begins now if there is none. The caller holds the lock.
func (rep *Replica) beginSlowStart(now time.Time) *pace.SlowStart {
	if rep.notices.slowStart == nil {
		rep.notices.slowStart = pace.NewSlowStart(rep.set.warmUp, uint64(rep.hash), now)
	}
	return rep.notices.slowStart
}

// singleFront is the set of fronts of a process that has none set.
var singleFront = pace.NewFronts("", nil, 1)

func (opt *PaceOptions) fronts() *pace.Fronts {
	if opt.Fronts == nil {
		return singleFront
	}
	return opt.Fronts()
}

func (opt *PaceOptions) count(kind string) {
	if opt.CountEvent != nil {
		opt.CountEvent(kind)
	}
}
