package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/tarragonwheel/tarragonwheel/platform/plsim"
)

// runClient sends calls one after the other, each through a random front, until ctx ends. One call in eight disconnects
// early.
func (sok *Soak) runClient(ctx context.Context, num int) {
	rnd := rand.New(rand.NewPCG(sok.opts.Seed, uint64(num)+2))
	cli := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1, IdleConnTimeout: 5 * time.Second}}
	paths := []string{"/unsafe/", "/safe/", "/stream/", "/moved/"}
	for count := 0; ctx.Err() == nil; count++ {
		frt := rnd.IntN(len(sok.fronts))
		path := paths[rnd.IntN(len(paths))] + "x"
		disconnectAfter := time.Duration(0)
		if rnd.IntN(8) == 0 {
			disconnectAfter = time.Duration(5+rnd.IntN(200)) * time.Millisecond
		}
		sok.sendCall(ctx, cli, frt, path, fmt.Sprintf("c%d-%d", num, count), disconnectAfter)
		time.Sleep(time.Duration(rnd.IntN(40)) * time.Millisecond)
	}
}

// sendCall sends and records a call through the front with number num. The client disconnects after the given time
// unless it is 0.
func (sok *Soak) sendCall(
	ctx context.Context, cli *http.Client, num int, path, id string, disconnectAfter time.Duration,
) call {
	frt := sok.fronts[num]
	cal := call{id: id, path: path, front: num, run: frt.currentRun(), sent: time.Now()}
	limit := callTimeout
	if disconnectAfter > 0 {
		limit = disconnectAfter
	}
	lim, cancel := context.WithTimeout(context.WithoutCancel(ctx), limit)
	defer cancel()
	cal.outcome = plsim.Call(lim, cli, frt.address, path, id, callTimeout)
	if disconnectAfter > 0 && lim.Err() != nil {
		cal.disconnectedAt = cal.sent.Add(disconnectAfter)
	}
	sok.recordEnd(&cal)
	return cal
}

// recordEnd records a call that has just ended.
func (sok *Soak) recordEnd(cal *call) {
	cal.ended = time.Now()
	sok.mu.Lock()
	stop := sok.fronts[cal.front].plannedStopAt
	sok.mu.Unlock()
	cal.duringPlannedStop = cal.sent.Before(stop.Add(graceTime)) && cal.ended.After(stop)
	sok.chk.recordCall(*cal)
}
