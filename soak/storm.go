package soak

import (
	"syscall"
	"time"

	"github.com/tarragonwheel/tarragonwheel/fault"
)

// quiet lets the last faults settle and then makes planned changes alone: a new configuration, a replica that leaves,
// and the planned stop of a front.
func (sok *Soak) quiet() {
	time.Sleep(settled + 2*time.Second) // What happened shortly before a change must have settled, too.
	sok.configure()
	sok.drain()
	sok.planned(sok.fronts[sok.rnd.IntN(len(sok.fronts))])
	time.Sleep(plannedTime)
}

// drain makes a replica say that it drains, and leave some time later.
func (sok *Soak) drain() {
	rep := sok.takeReplica()
	sok.store.PutReplica(rep.id, rep.service, rep.route.Address(), true, 2, time.Now().UnixMilli())
	sok.chk.mu.Lock()
	sok.chk.drained[rep.id] = time.Now()
	sok.chk.mu.Unlock()
	time.AfterFunc(2*drainTime, func() {
		sok.store.RemoveReplica(rep.id)
		rep.stand.Stop()
	})
}

// crash breaks off a replica. Its registration lapses some time later, as the platform does it.
func (sok *Soak) crash() {
	rep := sok.takeReplica()
	rep.stand.Stop()
	time.AfterFunc(lapseTime, func() { sok.store.RemoveReplica(rep.id) })
}

// planned stops a front as the platform does and starts it again.
func (sok *Soak) planned(frt *front) {
	sok.mu.Lock()
	frt.stops = time.Now()
	sok.mu.Unlock()
	go sok.restart(frt, syscall.SIGTERM)
}

// restart ends a front and starts it again, unless that is on its way already.
func (sok *Soak) restart(frt *front, sig syscall.Signal) {
	if !frt.busy.TryLock() {
		return
	}
	defer frt.busy.Unlock()
	frt.end(sig)
	if err := frt.start(sok.unexpected); err != nil {
		sok.unexpected(err)
	}
}

// storm makes faults that follow one another quickly and overlap.
func (sok *Soak) storm() {
	sok.chk.fault(stormTime)
	for end := time.Now().Add(stormTime); time.Now().Before(end); {
		sok.disturb(time.Until(end))
		time.Sleep(time.Duration(100+sok.rnd.IntN(900)) * time.Millisecond)
	}
}

// disturb makes one fault, which lasts no longer than what is left of the storm.
func (sok *Soak) disturb(left time.Duration) {
	frt := sok.fronts[sok.rnd.IntN(len(sok.fronts))]
	span := min(time.Duration(200+sok.rnd.IntN(2000))*time.Millisecond, max(left, 0))
	switch sok.rnd.IntN(11) {
	case 0, 1:
		sig := []syscall.Signal{syscall.SIGKILL, syscall.SIGTERM}[sok.rnd.IntN(2)]
		go sok.restart(frt, sig)
	case 2:
		frt.signal(syscall.SIGSTOP)
		time.AfterFunc(span, func() { frt.signal(syscall.SIGCONT) })
	case 3:
		frt.signal(syscall.SIGHUP)
	case 4:
		sok.store.SetDown(true)
		time.AfterFunc(span, func() { sok.store.SetDown(false) })
	case 5:
		sok.cut(frt.store, span)
	case 6:
		sok.crash()
	case 7, 8:
		sok.mu.Lock()
		rte := sok.live[sok.rnd.IntN(len(sok.live))].route
		sok.mu.Unlock()
		sok.cut(rte, span)
	case 9:
		sok.configure()
	case 10:
		sok.drain()
	}
}

// cut disturbs a connection for a while: reset, silent in one direction or both, or slow and lossy.
func (sok *Soak) cut(rte *fault.Route, span time.Duration) {
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
		sok.unexpected(err)
	}
	time.AfterFunc(span, rte.Heal)
}
