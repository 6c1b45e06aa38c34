package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"github.com/tarragonwheel/tarragonwheel/platform/plsim"
)

const invariantLost = "a call whose answers are lost is not refused as one that crashes replicas"

// lostInterval is the time between two sendings of a call whose answers are lost.
const lostInterval = 100 * time.Millisecond

// lostCall is a call of which replicas lose all answers, and what its client got.
type lostCall struct {
	path    string
	since   time.Time // when the call was first sent
	ended   time.Time
	outcome plsim.Outcome
}

// runLostClient sends a call of which replicas lose all answers again and again, each time through a random front,
// until ctx ends. It is another call from each calm phase on, since fronts may take cut connections for crashes.
func (sok *Soak) runLostClient(ctx context.Context) {
	rnd := rand.New(rand.NewPCG(sok.opts.Seed, 3))
	cli := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	cal := lostCall{since: time.Now()}
	phase := int64(0)
	for count := 0; ctx.Err() == nil; count++ {
		time.Sleep(lostInterval)
		if now := sok.calmPhases.Load(); now != phase {
			phase, cal.since = now, time.Now()
		}
		frt := sok.fronts[rnd.IntN(len(sok.fronts))]
		lim, cancel := context.WithTimeout(ctx, callTimeout)
		cal.path = plsim.LosingPath(int(phase))
		cal.outcome = plsim.Read(lim, cli, frt.address, cal.path, fmt.Sprint("l", count), callTimeout)
		cancel()
		cal.ended = time.Now()
		sok.chk.checkLost(&cal)
	}
}

// checkLost checks the response to a call whose answers are lost. It says nothing if there were faults since the call
// was first sent.
func (chk *checker) checkLost(cal *lostCall) {
	chk.mu.Lock()
	defer chk.mu.Unlock()
	if chk.faultFree(cal.since, cal.ended) {
		chk.recordCheck(invariantLost, !strings.Contains(cal.outcome.Body, "crashes-replicas"),
			"%s has status %d, %.60q", cal.path, cal.outcome.Status, cal.outcome.Body)
	}
}
