package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/tarragonwheel/tarragonwheel/platform/plsim"
)

// The replicas of one service start cold, and crash above a limit of calls within a second. The limit is derived from
// the rate in the configuration as on the platform.
const (
	coldService   = "s1"
	coldPerSecond = 4
	coldLimit     = coldPerSecond*3/2 + 5
	coldTime      = 3 * time.Second
	// coldNotice is the time within which all fronts know that a replica has turned cold: they read the registrations
	// twice within the drain time.
	coldNotice = 1100 * time.Millisecond
)

// A flood of calls is more than cold replicas can bear.
const (
	coldFloodCalls    = 120
	coldFloodInterval = 15 * time.Millisecond
)

// coldOf returns the cold time and rate of a service in the configuration.
func coldOf(srv string) (seconds, perSecond float64) {
	if srv != coldService {
		return 0, 0
	}
	return coldTime.Seconds(), coldPerSecond
}

// floodColdReplica makes a replica turn cold, and sends the fronts more calls than it can bear once they may know. It
// does nothing if all replicas of the service have crashed.
func (sok *Soak) floodColdReplica(ctx context.Context) {
	sok.mu.Lock()
	idx := slices.IndexFunc(sok.live, func(rep *replica) bool { return rep.service == coldService })
	if idx < 0 {
		sok.mu.Unlock()
		return
	}
	rep := sok.live[idx]
	seed := sok.rnd.Uint64()
	sok.mu.Unlock()
	sok.chk.recordColdFlood()
	rep.server.SetCold(coldTime, coldLimit)
	sok.store.PutColdReplica(rep.id, rep.service, rep.route.Address(), dataCentreOf(rep.id), rep.startedMs, coldTime)
	go sok.sendColdFlood(ctx, rand.New(rand.NewPCG(seed, 2)))
}

// sendColdFlood sends calls to the service with cold replicas through random fronts.
func (sok *Soak) sendColdFlood(ctx context.Context, rnd *rand.Rand) {
	time.Sleep(coldNotice)
	cli := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	prefix := fmt.Sprint("f", rnd.Uint32(), "-")
	var calls sync.WaitGroup
	for num := range coldFloodCalls {
		frt := rnd.IntN(len(sok.fronts))
		calls.Go(func() { sok.sendCall(ctx, cli, frt, "/safe/x", fmt.Sprint(prefix, num), 0) })
		time.Sleep(coldFloodInterval)
	}
	calls.Wait()
}

// replaceOverrun records the crash of a cold replica that got too many calls and starts another one after some time.
func (sok *Soak) replaceOverrun(ovr plsim.Overrun) {
	sok.chk.recordOverrun(ovr)
	sok.replaceEnded(ovr.Replica, ovr.Service)
}

// recordOverrun records the crash of a cold replica that got too many calls.
func (chk *checker) recordOverrun(ovr plsim.Overrun) {
	chk.mu.Lock()
	defer chk.mu.Unlock()
	chk.overruns = append(chk.overruns, ovr)
	chk.faults = append(chk.faults, interval{ovr.At, ovr.At.Add(replicaStartTime)})
}

// recordColdFlood records that a replica turns cold now and that a flood of calls follows.
func (chk *checker) recordColdFlood() {
	now := time.Now()
	chk.mu.Lock()
	defer chk.mu.Unlock()
	chk.coldFloods = append(chk.coldFloods, now)
}

// undisturbed reports whether no fault, including its settling time, overlapped the given time, apart from crashes of
// cold replicas that got too many calls. The caller holds mu.
func (chk *checker) undisturbed(from, until time.Time) bool {
	return !slices.ContainsFunc(chk.faults, func(flt interval) bool {
		isOverrun := slices.ContainsFunc(chk.overruns, func(ovr plsim.Overrun) bool { return ovr.At.Equal(flt.from) })
		return !isOverrun && flt.from.Before(until) && from.Before(flt.until.Add(settleTime))
	})
}

// verifyOverruns checks that cold replicas got no more calls than they bear when no fault has kept the fronts from
// knowing that they are cold. The caller holds mu.
func (chk *checker) verifyOverruns() {
	for _, at := range chk.coldFloods {
		if chk.undisturbed(at.Add(-time.Second), at.Add(coldTime)) {
			chk.recordCheck(invariantCold, true, "")
		}
	}
	for _, ovr := range chk.overruns {
		if ovr.At.After(ovr.ColdSince.Add(coldNotice)) && chk.undisturbed(ovr.ColdSince.Add(-time.Second), ovr.At) {
			chk.recordCheck(invariantCold, false, "%s got %d calls in a second, %v after it had turned cold",
				ovr.Replica, ovr.Calls, ovr.At.Sub(ovr.ColdSince))
		}
	}
}
