package fault

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

const (
	segmentBytes = 16 << 10 // largest segment; each is delayed or dropped as a whole
	queueLength  = 64       // segments queued in one direction before the sender is blocked
)

// pair is a client connection and the matching connection to the target.
type pair struct {
	route  *Route
	caller net.Conn
	ctx    context.Context
	cancel context.CancelFunc

	mu     sync.Mutex
	target net.Conn
	closed bool
}

// segment is a part of a byte stream and the time at which it is due for delivery.
type segment struct {
	data []byte
	due  time.Time
}

// newPair returns a pair that is reset when parent ends.
func newPair(parent context.Context, rte *Route, caller net.Conn) *pair {
	ctx, cancel := context.WithCancel(parent)
	par := &pair{route: rte, caller: caller, ctx: ctx, cancel: cancel}
	context.AfterFunc(ctx, par.reset)
	return par
}

// setTarget sets the connection to the target. If the pair has already been reset, it closes target and returns false.
func (par *pair) setTarget(target net.Conn) bool {
	par.mu.Lock()
	defer par.mu.Unlock()
	if par.closed {
		_ = target.Close()
		return false
	}
	par.target = target
	return true
}

// reset aborts both connections with a TCP reset.
func (par *pair) reset() {
	par.mu.Lock()
	defer par.mu.Unlock()
	par.closed = true
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
	// After an orderly close on both sides there is nothing to reset.
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
		par.route.addBytes(len(seg.data))
	}
	if tcp, ok := dst.(*net.TCPConn); ok && !lost {
		_ = tcp.CloseWrite()
	}
}

// receive reads segments from src and queues them with their delivery times, which never decrease.
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

// dueTime returns the delivery time of a segment that arrives now.
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

// waitDue waits for the delivery time. It returns false if the pair is reset first.
func (par *pair) waitDue(due time.Time) bool {
	wait := due.Sub(par.route.clock.Now())
	return wait <= 0 || par.route.clock.Sleep(par.ctx, wait) == nil
}

// waitPassing waits while the direction is held or frozen and then returns its mode. It returns the empty mode if the
// pair is reset first.
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

// resetOnPass resets a connection that has lost bytes as soon as its direction no longer drops bytes, because the
// receiver would otherwise read a stream with a gap.
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
