// Package peers exchanges the load that front processes put on replicas, by UDP datagrams.
//
// Load information is outdated within a second, so lost datagrams are not sent again. Each process sends changes of its
// tasks soon after they happen, and all its tasks at a fixed interval.
package peers

import (
	"context"
	"fmt"
	"math/rand"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/gravitational/trace"

	"github.com/tarragonwheel/tarragonwheel/cause"
	"github.com/tarragonwheel/tarragonwheel/fleet"
	"github.com/tarragonwheel/tarragonwheel/follow"
	"github.com/tarragonwheel/tarragonwheel/group"
	"github.com/tarragonwheel/tarragonwheel/timer"
)

// Times and sizes of the exchange.
const (
	// Changes are collected into one datagram during a batch delay.
	minBatchDelay      = 10 * time.Millisecond
	maxBatchDelay      = 100 * time.Millisecond
	batchDelayPerPeer  = time.Millisecond
	fullUpdateInterval = 2 * time.Second
	// greetAllRounds is the number of full updates of which one goes to all peers, so that those of other cells do not
	// remove this process.
	greetAllRounds = 30
	// peerTimeout is the time without a datagram after which a peer's tasks are dropped and it gets no more changes.
	peerTimeout = 4500 * time.Millisecond
	// removePeerAfter is the time after which nothing is sent any more to a peer that has timed out or never answered.
	removePeerAfter    = 5 * time.Minute
	maxTasksPerMessage = 40 // so that a datagram fits into one packet
	maxDatagramBytes   = 64 << 10
)

// Options configure an Exchange.
type Options struct {
	Name       string // of this process
	DataCentre string // of this process
	Address    string // UDP address to listen on, at which other processes reach this one
	Clock      *timer.Service
	Log        logr.Logger
	Fleet      *fleet.Fleet
	// ConfigVersion returns the version of the active configuration; nil for none.
	ConfigVersion func() int64
	// OnConfigVersion is called with the version that is active at a peer; nil for none.
	OnConfigVersion func(version int64)
	// OnDigest is called with the changes that a peer has read in the store; nil for none.
	OnDigest func(topic string, dig follow.Digest)
	// OnStoreAnswers is called when the store answers a peer again after an outage; nil for none.
	OnStoreAnswers func()
	// OnCrash is called with a crash that a peer has observed; nil for none.
	OnCrash func(rpt cause.Report)
	// KnownCrashes returns the crashes because of which calls are blocked, for peers that have been started; nil for
	// none.
	KnownCrashes func() []cause.Report
	// OnAnswers is called with answers of suspected calls that a peer has seen; nil for none.
	OnAnswers func(list []cause.Answer)
}

// Exchange sends the load of one process to its peers and receives theirs. It is safe for concurrent use.
type Exchange struct {
	opts           Options
	runID          uint32 // distinguishes this run of the process
	conn           *net.UDPConn
	isCell         atomic.Bool // this process's data centre is a cell
	mu             sync.Mutex
	peers          map[string]*peer   // by address
	pending        []fleet.RemoteTask // changes that have not been sent yet
	crashes        []unsentCrash
	leaving        []fleet.LeavingNotice // that have not been sent yet
	cellSizes      map[string]cellSize   // by data centre
	flushScheduled bool                  // sendChanges is going to run

	crashesScheduled bool // sendCrashes is going to run
}

// peer is another process.
type peer struct {
	addr          *net.UDPAddr
	name          string    // empty until received
	dataCentre    string    // empty until received
	runID         uint32    // of the current run of the process
	lastReceived  time.Time // when a datagram last came; zero before the first one and after a timeout
	inactiveSince time.Time // when it was added or timed out
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
	exc := &Exchange{
		opts: opts, runID: rand.Uint32(), conn: con, peers: make(map[string]*peer),
		cellSizes: make(map[string]cellSize),
	}
	context.AfterFunc(grp.Context(), func() { _ = con.Close() }) // Ends receiveMessages.
	grp.Go("receive", func(ctx context.Context) error {
		exc.receiveMessages(ctx)
		return nil
	})
	grp.Go("send", func(ctx context.Context) error {
		for round := 1; opts.Clock.Sleep(ctx, fullUpdateInterval) == nil; round++ {
			exc.expirePeers()
			exc.sendFullUpdate(round%greetAllRounds == 0)
			exc.sendCrashes()
		}
		return nil
	})
	grp.Go("summarize", func(ctx context.Context) error {
		for opts.Clock.Sleep(ctx, summaryInterval) == nil {
			exc.isCell.Store(opts.Fleet.IsCell(opts.DataCentre))
			exc.sendSummaries()
		}
		return nil
	})
	return exc, nil
}

// AddPeer adds a process by its address and sends it this process's tasks.
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
	exc.getOrAddPeer(addr)
	exc.mu.Unlock()
	// The peer answers with its own tasks.
	exc.sendAllTasks(addr, "")
}

// sendAllTasks introduces this process to a peer and sends it the tasks that concern it. The data centre of the peer is
// empty if it is not known.
func (exc *Exchange) sendAllTasks(addr *net.UDPAddr, dataCentre string) {
	exc.sendTasks([]*net.UDPAddr{addr}, exc.greeting(), exc.tasksFor(dataCentre, exc.opts.Fleet.LocalTasks()))
}

// getOrAddPeer returns the peer with an address, and adds it if needed. The caller must hold the lock.
func (exc *Exchange) getOrAddPeer(addr *net.UDPAddr) *peer {
	per := exc.peers[addr.String()]
	if per == nil {
		per = &peer{addr: addr, inactiveSince: exc.opts.Clock.Now()}
		exc.peers[addr.String()] = per
	}
	return per
}

// LiveProcesses returns the number of processes that have not timed out, including this one. Those of other cells are
// counted by the processes there.
func (exc *Exchange) LiveProcesses() int {
	exc.mu.Lock()
	defer exc.mu.Unlock()
	now := exc.opts.Clock.Now()
	live := make(map[string]int) // by data centre
	for _, per := range exc.peers {
		if exc.isLive(per) {
			live[per.dataCentre]++
		}
	}
	for dataCentre, size := range exc.cellSizes {
		if now.Sub(size.receivedAt) < peerTimeout {
			live[dataCentre] = max(live[dataCentre], size.live)
		}
	}
	num := 1
	for _, count := range live {
		num += count
	}
	return num
}

// LiveNear returns the number of live processes that place calls on the same replicas first as this one, including it.
func (exc *Exchange) LiveNear() int {
	exc.mu.Lock()
	defer exc.mu.Unlock()
	num := 1
	for _, per := range exc.peers {
		if exc.isLive(per) && exc.isNear(per) {
			num++
		}
	}
	return num
}

// isLive reports whether a datagram of the peer came within the timeout.
func (exc *Exchange) isLive(per *peer) bool {
	return !per.lastReceived.IsZero() && exc.opts.Clock.Since(per.lastReceived) < peerTimeout
}

// receiveMessages reads and handles datagrams until ctx ends.
func (exc *Exchange) receiveMessages(ctx context.Context) {
	buf := make([]byte, maxDatagramBytes)
	for ctx.Err() == nil {
		num, addr, err := exc.conn.ReadFromUDP(buf)
		if err != nil {
			if ctx.Err() == nil {
				exc.opts.Log.V(1).Info("peers: datagram not received", "error", err.Error())
				_ = exc.opts.Clock.Sleep(ctx, minBatchDelay) // The loop checks whether ctx has ended.
			}
			continue
		}
		msg, err := decode(buf[:num])
		if err != nil {
			exc.opts.Log.Info("peers: datagram cannot be decoded", "peer", addr.String(), "error", err.Error())
			continue
		}
		exc.handleMessage(addr, &msg)
	}
}

// handleMessage records the tasks and crashes that a peer has sent. A new peer, or one that was restarted, gets all
// tasks of this process at once.
func (exc *Exchange) handleMessage(addr *net.UDPAddr, msg *message) {
	now := exc.opts.Clock.Now()
	exc.mu.Lock()
	per := exc.getOrAddPeer(addr)
	isNew := per.lastReceived.IsZero() || per.runID != msg.RunID
	per.runID, per.lastReceived = msg.RunID, now
	if msg.Name != "" {
		per.name, per.dataCentre = msg.Name, msg.DataCentre
	}
	dataCentre, isNear := per.dataCentre, exc.isNear(per)
	exc.mu.Unlock()
	if isNew {
		if isNear {
			exc.opts.Log.Info("peers: heard of a peer", "peer", msg.Name, "address", addr.String())
		}
		exc.opts.Fleet.RemovePeer(addr.String())
		exc.sendAllTasks(addr, dataCentre)
		exc.sendKnownCrashes(addr)
	}
	if exc.opts.OnConfigVersion != nil && msg.ConfigVersion != 0 {
		exc.opts.OnConfigVersion(msg.ConfigVersion)
	}
	if exc.opts.OnDigest != nil && msg.Digest != nil {
		exc.opts.OnDigest(msg.Digest.Topic, msg.Digest.toDigest())
	}
	if exc.opts.OnStoreAnswers != nil && msg.StoreAnswers {
		exc.opts.OnStoreAnswers()
	}
	exc.applySummaries(msg)
	tasks := make([]fleet.RemoteTask, 0, len(msg.Tasks)+len(msg.Progress))
	for idx := range msg.Tasks {
		tasks = append(tasks, msg.Tasks[idx].toRemoteTask(now))
	}
	for idx := range msg.Progress {
		tasks = append(tasks, msg.Progress[idx].toRemoteTask())
	}
	exc.opts.Fleet.ApplyRemoteTasks(addr.String(), tasks)
	exc.applyCrashes(msg)
	exc.applyLeaving(msg)
}

// expirePeers drops the tasks of peers that have timed out, and removes peers that have been inactive for long.
func (exc *Exchange) expirePeers() {
	now := exc.opts.Clock.Now()
	var timedOut []string
	exc.mu.Lock()
	for addr, per := range exc.peers {
		if !per.lastReceived.IsZero() && now.Sub(per.lastReceived) > peerTimeout {
			timedOut = append(timedOut, addr)
			if exc.isNear(per) { // The others send little.
				exc.opts.Log.Info("peers: peer timed out", "peer", per.name, "address", addr)
			}
			per.lastReceived, per.inactiveSince = time.Time{}, now
		}
		if per.lastReceived.IsZero() && now.Sub(per.inactiveSince) > removePeerAfter {
			delete(exc.peers, addr)
		}
	}
	exc.mu.Unlock()
	for _, addr := range timedOut {
		exc.opts.Fleet.RemovePeer(addr)
	}
}
