// Package peers exchanges the load that fronts put on replicas, by datagrams.
//
// Load is a hint that is out of date within a second, so datagrams may be lost: each process says now and then all
// that it has at the replicas, and at once what has changed.
package peers

import (
	"context"
	"fmt"
	"math/rand"
	"net"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/gravitational/trace"

	"github.com/tarragonwheel/tarragonwheel/fleet"
	"github.com/tarragonwheel/tarragonwheel/group"
	"github.com/tarragonwheel/tarragonwheel/timer"
)

// Times and sizes of the exchange.
const (
	leastDelay    = 10 * time.Millisecond // in which changes are gathered into one datagram
	mostDelay     = 100 * time.Millisecond
	delayPerPeer  = time.Millisecond
	wholeInterval = 2 * time.Second
	silentAfter   = 4500 * time.Millisecond // a peer's works are dropped, and it gets no more changes
	forgetAfter   = 5 * time.Minute         // a peer is no longer written to
	mostItems     = 40                      // in a datagram, so that it fits into one packet
	datagramBytes = 64 << 10
	crashRepeats  = 3 // whole messages that repeat a crash
)

// Options configure an Exchange.
type Options struct {
	Name    string // of this process
	Address string // UDP address, which other processes know
	Clock   *timer.Service
	Log     logr.Logger
	Fleet   *fleet.Fleet
	// OnCrash is told the fingerprint of a call at whose start a replica broke off at another process.
	OnCrash func(print uint64)
}

// Exchange is the exchange of load of one process. It is safe for concurrent use.
type Exchange struct {
	opts    Options
	run     uint32 // distinguishes this run of the process
	conn    *net.UDPConn
	mu      sync.Mutex
	peers   map[string]*peer // by address
	pending []fleet.RemoteTask
	crashes []crash
	flush   bool // a flush is due
}

type peer struct {
	addr  *net.UDPAddr
	name  string    // empty until heard of
	run   uint32    // of the process
	heard time.Time // zero until heard of
	known time.Time
}

type crash struct {
	print uint64
	left  int
}

// Start opens the socket and runs the exchange in grp. It returns a trace.ConnectionProblem error if the socket cannot
// be opened.
func Start(grp *group.Group, opts Options) (*Exchange, error) {
	addr, err := net.ResolveUDPAddr("udp4", opts.Address)
	if err != nil {
		return nil, fmt.Errorf("peers: %w", trace.BadParameter("%s: %v", opts.Address, err))
	}
	con, err := net.ListenUDP("udp4", addr)
	if err != nil {
		return nil, fmt.Errorf("peers: listen: %w", trace.ConnectionProblem(err, "%s", opts.Address))
	}
	exc := &Exchange{opts: opts, run: rand.Uint32(), conn: con, peers: make(map[string]*peer)}
	context.AfterFunc(grp.Context(), func() { _ = con.Close() }) // Ends receive.
	grp.Go("receive", func(ctx context.Context) error {
		exc.receive(ctx)
		return nil
	})
	grp.Go("send", func(ctx context.Context) error {
		for opts.Clock.Sleep(ctx, wholeInterval) == nil {
			exc.sweep()
			exc.sendWhole()
		}
		return nil
	})
	return exc, nil
}

// AddPeer adds a process by its address.
func (exc *Exchange) AddPeer(address string) {
	addr, err := net.ResolveUDPAddr("udp4", address)
	if err != nil {
		exc.opts.Log.Info("peers: address cannot be used", "address", address, "error", err.Error())
		return
	}
	if address == exc.opts.Address {
		return
	}
	exc.mu.Lock()
	exc.add(addr)
	exc.mu.Unlock()
	exc.send([]*net.UDPAddr{addr}, exc.opts.Name, exc.opts.Fleet.LocalTasks(), nil) // It answers with what it has.
}

func (exc *Exchange) add(addr *net.UDPAddr) *peer {
	per := exc.peers[addr.String()]
	if per == nil {
		per = &peer{addr: addr, known: exc.opts.Clock.Now()}
		exc.peers[addr.String()] = per
	}
	return per
}

// LiveProcesses returns the number of processes that have been seen recently, this one included.
func (exc *Exchange) LiveProcesses() int {
	exc.mu.Lock()
	defer exc.mu.Unlock()
	num := 1
	for _, per := range exc.peers {
		if exc.alive(per) {
			num++
		}
	}
	return num
}

func (exc *Exchange) alive(per *peer) bool {
	return !per.heard.IsZero() && exc.opts.Clock.Since(per.heard) < silentAfter
}

func (exc *Exchange) receive(ctx context.Context) {
	buf := make([]byte, datagramBytes)
	for ctx.Err() == nil {
		num, addr, err := exc.conn.ReadFromUDP(buf)
		if err != nil {
			if ctx.Err() == nil {
				exc.opts.Log.V(1).Info("peers: receive", "error", err.Error())
				_ = exc.opts.Clock.Sleep(ctx, leastDelay) // The loop checks whether ctx has ended.
			}
			continue
		}
		msg, err := decode(buf[:num])
		if err != nil {
			exc.opts.Log.Info("peers: datagram cannot be read", "peer", addr.String(), "error", err.Error())
			continue
		}
		exc.take(addr, &msg)
	}
}

func (exc *Exchange) take(addr *net.UDPAddr, msg *message) {
	now := exc.opts.Clock.Now()
	exc.mu.Lock()
	per := exc.add(addr)
	isNew := per.heard.IsZero() || per.run != msg.Run
	per.run, per.heard = msg.Run, now
	if msg.Name != "" {
		per.name = msg.Name
	}
	exc.mu.Unlock()
	if isNew {
		exc.opts.Log.Info("peers: heard of a peer", "peer", msg.Name, "address", addr.String())
		exc.opts.Fleet.RemovePeer(addr.String())
		exc.send([]*net.UDPAddr{addr}, exc.opts.Name, exc.opts.Fleet.LocalTasks(), nil)
	}
	list := make([]fleet.RemoteTask, 0, len(msg.Items)+len(msg.Moves))
	for idx := range msg.Items {
		list = append(list, msg.Items[idx].work(now))
	}
	for idx := range msg.Moves {
		list = append(list, msg.Moves[idx].work())
	}
	exc.opts.Fleet.ApplyRemoteTasks(addr.String(), list)
	for _, print := range msg.Crashes {
		exc.opts.OnCrash(print)
	}
}

// sweep drops the works of peers that have fallen silent.
func (exc *Exchange) sweep() {
	now := exc.opts.Clock.Now()
	var silent []string
	exc.mu.Lock()
	for addr, per := range exc.peers {
		if !per.heard.IsZero() && now.Sub(per.heard) > silentAfter {
			silent = append(silent, addr)
			exc.opts.Log.Info("peers: peer timed out", "peer", per.name, "address", addr)
			per.heard, per.known = time.Time{}, now
		}
		if per.heard.IsZero() && now.Sub(per.known) > forgetAfter {
			delete(exc.peers, addr)
		}
	}
	exc.mu.Unlock()
	for _, addr := range silent {
		exc.opts.Fleet.RemovePeer(addr)
	}
}
