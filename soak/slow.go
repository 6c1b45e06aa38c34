package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"time"

	"github.com/tarragonwheel/tarragonwheel/platform/plsim"
)

const invariantSlow = "a client that reads a stream late gets all of it"

// Times and sizes of clients that read late.
const (
	lateReadTime    = 2500 * time.Millisecond // until they read, longer than replicas let a stream remain unread
	lateTimeout     = 3 * callTimeout
	lateSocketBytes = 16 << 10 // that their sockets hold
)

// runLateReader sends calls for long streams, each through a random front, and reads them late, until ctx ends.
func (sok *Soak) runLateReader(ctx context.Context) {
	rnd := rand.New(rand.NewPCG(sok.opts.Seed, 4))
	var dialer net.Dialer
	cli := &http.Client{Transport: &http.Transport{
		DisableKeepAlives: true,
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			con, err := dialer.DialContext(ctx, network, addr)
			if tcp, ok := con.(*net.TCPConn); ok {
				_ = tcp.SetReadBuffer(lateSocketBytes)
			}
			return con, err //nolint:wrapcheck // The client wraps it.
		},
	}}
	for count := 0; ctx.Err() == nil; count++ {
		num := rnd.IntN(len(sok.fronts))
		frt := sok.fronts[num]
		cal := call{
			id: fmt.Sprint("s", count), path: plsim.LongStream, front: num, run: frt.currentRun(), sent: time.Now(),
		}
		lim, cancel := context.WithTimeout(context.WithoutCancel(ctx), lateTimeout)
		cal.outcome = plsim.ReadLate(lim, cli, frt.address, cal.id, lateReadTime, lateTimeout)
		cancel()
		cal.ended = time.Now()
		sok.chk.recordCall(cal)
		sok.chk.checkLate(&cal)
	}
}

// checkLate checks the response to a call whose client read late. It says nothing if there were faults meanwhile.
func (chk *checker) checkLate(cal *call) {
	chk.mu.Lock()
	defer chk.mu.Unlock()
	if chk.faultFree(cal.sent, cal.ended) && cal.outcome.Status == http.StatusOK {
		chk.recordCheck(invariantSlow, cal.outcome.Complete, "%s broke off: %v", cal.id, cal.outcome.Err)
	}
}
