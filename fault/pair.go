package fault

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

const (
	segmentBytes = 16 << 10 // largest piece that is delayed or lost as one
	queueLength  = 64       // pieces under way in one direction, after which the sender is slowed down
)

// pair is a caller's connection and the one to the target.
type pair struct {
	route  *Route
	caller net.Conn
	ctx    context.Context
	cancel context.CancelFunc

	mu     sync.Mutex
	target net.Conn
	over   bool
}

// segment is a piece of a byte stream with the time at which it is delivered.
type segment struct {
	data []byte
	due  time.Time
}

func newPair(parent context.Context, rte *Route, caller net.Conn) *pair {
	ctx, cancel := context.WithCancel(parent)
	par := &pair{route: rte, caller: caller, ctx: ctx, cancel: cancel}
	context.AfterFunc(ctx, par.reset)
	return par
}

// setTarget returns false if the pair has been reset meanwhile.
func (par *pair) setTarget(target net.Conn) bool {
	par.mu.Lock()
	defer par.mu.Unlock()
	if par.over {
		_ = target.Close()
		return false
	}
	par.target = target
	return true
}

// reset closes both connections without an orderly end.
func (par *pair) reset() {
	par.mu.Lock()
	defer par.mu.Unlock()
	par.over = true
	par.cancel()
	abort(par.caller)
	abort(par.target)
}

func abort(sock net.Conn) {
	if sock == nil {
		return
	}
	if tcp, ok := sock.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // Makes Close send a reset.
	}
	_ = sock.Close()
}

// run forwards both directions until both have ended or one fails.
func (par *pair) run() {
	var wait sync.WaitGroup
	up := func(flt Faults) Mode { return flt.Up }
	down := func(flt Faults) Mode { return flt.Down }
	wait.Go(func() { par.forward(par.caller, par.target, up) })
	wait.Go(func() { par.forward(par.target, par.caller, down) })
	wait.Wait()
	// After an orderly end on both sides, nothing is left to reset.
	_ = par.caller.Close()
	_ = par.target.Close()
}

// forward runs one direction. Its goroutines end when the source ends, a write fails or the pair is reset.
func (par *pair) forward(src, dst net.Conn, mode func(Faults) Mode) {
	queue := make(chan segment, queueLength)
	go func() {
		defer close(queue)
		par.receive(src, queue)
	}()
	lost := false
	for seg := range queue {
		if !par.waitDue(seg.due) {
			break
		}
		md := par.waitPassing(mode)
		switch {
		case md == ModeDrop:
			if !lost {
				go par.resetOnPass(mode)
			}
			lost = true
			continue
		case md == "" || lost:
			par.reset()
			continue // Drains the queue, so that the receiving goroutine ends.
		}
		if _, err := dst.Write(seg.data); err != nil {
			par.reset()
			continue
		}
		par.route.count(len(seg.data))
	}
	if tcp, ok := dst.(*net.TCPConn); ok && !lost {
		_ = tcp.CloseWrite()
	}
}

// receive queues what arrives with its time of delivery, which never lies before that of an earlier segment.
func (par *pair) receive(src net.Conn, queue chan<- segment) {
	last := time.Time{}
	for {
		buf := make([]byte, segmentBytes)
		num, err := src.Read(buf)
		if num > 0 {
			due := par.dueTime()
			if due.Before(last) {
				due = last
			}
			last = due
			select {
			case queue <- segment{data: buf[:num], due: due}:
			case <-par.ctx.Done():
				return
			}
		}
		if err != nil {
			return
		}
	}
}

func (par *pair) dueTime() time.Time {
	flt, _ := par.route.watch()
	delay := flt.Delay
	if flt.Jitter > 0 {
		delay += rand.N(flt.Jitter)
	}
	if flt.Loss > 0 && rand.Float64() < flt.Loss {
		delay += RetransmissionTimeout
	}
	return par.route.clock.Now().Add(delay)
}

func (par *pair) waitDue(due time.Time) bool {
	wait := due.Sub(par.route.clock.Now())
	return wait <= 0 || par.route.clock.Sleep(par.ctx, wait) == nil
}

// waitPassing waits while the direction is held. It returns the empty mode if the pair is reset first.
func (par *pair) waitPassing(mode func(Faults) Mode) Mode {
	for {
		flt, changed := par.route.watch()
		if md := mode(flt); md != ModeHold && !flt.Freeze {
			return md
		}
		select {
		case <-changed:
		case <-par.ctx.Done():
			return ""
		}
	}
}

// resetOnPass resets a connection that has lost bytes as soon as its direction passes bytes again, because both ends
// would otherwise read a damaged stream.
func (par *pair) resetOnPass(mode func(Faults) Mode) {
	for {
		flt, changed := par.route.watch()
		if mode(flt) != ModeDrop {
			par.reset()
			return
		}
		select {
		case <-changed:
		case <-par.ctx.Done():
			return
		}
	}
}
