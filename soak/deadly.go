package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"github.com/tarragonwheel/tarragonwheel/platform/plsim"
)

// Times of calls that crash replicas.
const (
	deadlyInterval   = 250 * time.Millisecond // between two sendings of such a call
	replicaStartTime = time.Second            // from the crash of a replica until another one has been started
)

// Bounds of the crashes under one call: lateCrashes at most after the crashes that teach the fronts, and some time to
// inform all of them.
const (
	teachingCrashes = 3
	lateCrashes     = 3
)

// runDeadlyClient sends a call that crashes replicas again and again, each time through a random front and every other
// time with a query of its own, until ctx ends. It is another call from each fault phase on, so that the crashes fall
// into that phase and the next calm one shows whether it is refused.
func (sok *Soak) runDeadlyClient(ctx context.Context) {
	rnd := rand.New(rand.NewPCG(sok.opts.Seed, 0))
	cli := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	for count := 0; ctx.Err() == nil; count++ {
		time.Sleep(deadlyInterval)
		phase := sok.faultPhases.Load()
		if phase == 0 {
			continue
		}
		frt := sok.fronts[rnd.IntN(len(sok.fronts))]
		lim, cancel := context.WithTimeout(ctx, callTimeout)
		path := plsim.DeadlyPath(int(phase))
		if count%2 == 1 {
			path += fmt.Sprint("?try=", count)
		}
		plsim.Read(lim, cli, frt.address, path, fmt.Sprint("d", count), callTimeout)
		cancel()
	}
}

// replaceCrashed records the crash of a replica under a call and starts another one after some time.
func (sok *Soak) replaceCrashed(run plsim.Run) {
	sok.chk.recordFault(replicaStartTime)
	sok.chk.recordCrash(run)
	sok.replaceEnded(run.Replica, run.Service)
}

// replaceEnded starts another replica for one that has crashed, after some time.
func (sok *Soak) replaceEnded(id, srv string) {
	sok.mu.Lock()
	sok.live = slices.DeleteFunc(sok.live, func(rep *replica) bool { return rep.id == id })
	sok.mu.Unlock()
	time.AfterFunc(replicaStartTime, func() {
		if err := sok.addReplica(srv, dataCentreOf(id)); err != nil {
			sok.recordUnexpected(err)
		}
	})
	time.AfterFunc(registrationTTL, func() { sok.store.RemoveReplica(id) })
}

// recordCrash records the crash of a replica under a call.
func (chk *checker) recordCrash(run plsim.Run) {
	chk.mu.Lock()
	defer chk.mu.Unlock()
	chk.crashes[run.Path] = append(chk.crashes[run.Path], run.At)
}

// verifyCrashes checks that calls that crash replicas are refused after some crashes. The caller holds mu.
func (chk *checker) verifyCrashes() {
	for path, times := range chk.crashes {
		if len(times) < teachingCrashes {
			chk.recordCheck(invariantCrashes, true, "")
			continue
		}
		slices.SortFunc(times, time.Time.Compare)
		late := 0
		for _, at := range times {
			if at.After(times[teachingCrashes-1].Add(settleTime)) {
				late++
			}
		}
		chk.recordCheck(invariantCrashes, late <= lateCrashes, "%s crashed %d replicas, %d of them late",
			path, len(times), late)
	}
}
