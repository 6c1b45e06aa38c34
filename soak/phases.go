package soak

import (
	"context"
	"syscall"
	"time"

	"github.com/tarragonwheel/tarragonwheel/fault"
	"github.com/tarragonwheel/tarragonwheel/platform/plsim"
)

// runPlannedPhase waits until the last faults have settled and then makes planned changes only: a flood of calls to a
// cold replica, a new configuration, an evacuation, a replica that drains, one that says that it leaves, one that asks
// for a pause, and the planned restart of a front.
func (sok *Soak) runPlannedPhase(ctx context.Context) {
	time.Sleep(settleTime + 2*time.Second) // Checks also cover the time shortly before a change.
	sok.calmPhases.Add(1)
	sok.floodColdReplica(ctx)
	time.Sleep(coldTime)
	sok.publishConfig()
	sok.evacuate()
	sok.drainReplica()
	sok.leaveReplica()
	sok.pauseReplica(pauses[sok.rnd.IntN(len(pauses))], plannedPauseTime)
	sok.restartPlanned(sok.fronts[sok.rnd.IntN(len(sok.fronts))])
	time.Sleep(plannedPhaseTime)
}

// drainReplica registers a replica as draining, and removes and stops it later. The replica itself says nothing of it.
func (sok *Soak) drainReplica() {
	rep := sok.replaceReplica()
	sok.store.PutReplica(
		rep.id, rep.service, rep.route.Address(), dataCentreOf(rep.id), true, 2, time.Now().UnixMilli())
	sok.chk.mu.Lock()
	sok.chk.drainingSince[rep.id] = time.Now()
	sok.chk.mu.Unlock()
	time.AfterFunc(2*drainTime, func() {
		sok.store.RemoveReplica(rep.id)
		rep.server.Stop()
	})
}

// crashReplica aborts a replica's connections. Its registration expires later, as on the platform.
func (sok *Soak) crashReplica() {
	rep := sok.replaceReplica()
	rep.server.Stop()
	time.AfterFunc(registrationTTL, func() { sok.store.RemoveReplica(rep.id) })
}

// restartPlanned stops a front with SIGTERM, as the platform does, and starts it again.
func (sok *Soak) restartPlanned(frt *front) {
	sok.mu.Lock()
	frt.plannedStopAt = time.Now()
	sok.mu.Unlock()
	go sok.restart(frt, syscall.SIGTERM)
}

// restart stops a front with the signal and starts it again. It does nothing if a restart is already in progress.
func (sok *Soak) restart(frt *front, sig syscall.Signal) {
	if !frt.restartMu.TryLock() {
		return
	}
	defer frt.restartMu.Unlock()
	frt.terminate(sig)
	if err := frt.start(sok.recordUnexpected); err != nil {
		sok.recordUnexpected(err)
	}
}

// runFaultPhase injects faults in quick succession, so that they overlap.
func (sok *Soak) runFaultPhase(ctx context.Context) {
	sok.chk.recordFault(faultPhaseTime)
	sok.faultPhases.Add(1)
	for end := time.Now().Add(faultPhaseTime); time.Now().Before(end); {
		sok.injectFault(ctx, time.Until(end))
		time.Sleep(time.Duration(100+sok.rnd.IntN(900)) * time.Millisecond)
	}
}

// injectFault injects one random fault, which ends no later than the phase, of which the given time remains.
func (sok *Soak) injectFault(ctx context.Context, remaining time.Duration) {
	frt := sok.fronts[sok.rnd.IntN(len(sok.fronts))]
	dur := min(time.Duration(200+sok.rnd.IntN(2000))*time.Millisecond, max(remaining, 0))
	switch sok.rnd.IntN(19) {
	case 0, 1:
		sig := []syscall.Signal{syscall.SIGKILL, syscall.SIGTERM}[sok.rnd.IntN(2)]
		go sok.restart(frt, sig)
	case 2:
		frt.signal(syscall.SIGSTOP)
		time.AfterFunc(dur, func() { frt.signal(syscall.SIGCONT) })
	case 3:
		frt.signal(syscall.SIGHUP)
	case 4:
		sok.store.SetDown(true)
		time.AfterFunc(dur, func() { sok.store.SetDown(false) })
	case 5:
		sok.disturbRoute(frt.store, dur)
	case 6:
		sok.crashReplica()
	case 7, 8:
		sok.mu.Lock()
		rte := sok.live[sok.rnd.IntN(len(sok.live))].route
		sok.mu.Unlock()
		sok.disturbRoute(rte, dur)
	case 9:
		sok.publishConfig()
	case 10:
		sok.drainReplica()
	case 11, 12:
		sok.disturbReplica(dur)
	case 13:
		sok.restoreStore(dur)
	case 14:
		sok.leaveFalsely()
	case 15:
		sok.pauseReplica(pauses[sok.rnd.IntN(len(pauses))], dur)
	case 16:
		sok.disturbAfterNotice(frt, dur)
	default:
		sok.changeCapacity(ctx)
	}
}

// changeCapacity evacuates a data centre or has a cold replica flooded with calls.
func (sok *Soak) changeCapacity(ctx context.Context) {
	if sok.rnd.IntN(2) == 0 {
		sok.evacuate()
		return
	}
	sok.floodColdReplica(ctx)
}

// disturbReplica makes a replica refuse calls, send bytes without end or malformed responses, or stall its streams for
// the given time.
func (sok *Soak) disturbReplica(dur time.Duration) {
	sok.mu.Lock()
	rep := sok.live[sok.rnd.IntN(len(sok.live))].server
	sok.mu.Unlock()
	modes := []plsim.Mode{plsim.ModeRefuse, plsim.ModeEndless, plsim.ModeStall, plsim.ModeMalformed}
	rep.SetMode(modes[sok.rnd.IntN(len(modes))])
	time.AfterFunc(dur, func() { rep.SetMode(plsim.ModeSound) })
}

// disturbRoute injects one random network fault into a proxy route for the given time: connections are reset, lose or
// hold bytes in one direction, freeze in both, or are slow and lossy.
func (sok *Soak) disturbRoute(rte *fault.Route, dur time.Duration) {
	flt := fault.None()
	switch sok.rnd.IntN(5) {
	case 0:
		flt.Cut = true
	case 1:
		flt.Up = fault.ModeDrop
	case 2:
		flt.Down = fault.ModeHold
	case 3:
		flt.Freeze = true
	case 4:
		flt.Delay, flt.Jitter, flt.Loss = 30*time.Millisecond, 30*time.Millisecond, 0.1
	}
	if err := rte.Set(flt); err != nil {
		sok.recordUnexpected(err)
	}
	time.AfterFunc(dur, rte.Heal)
}
