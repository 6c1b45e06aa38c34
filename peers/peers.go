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
	"github.com/tarragonwheel/tarragonwheel/evac"
	"github.com/tarragonwheel/tarragonwheel/fleet"
	"github.com/tarragonwheel/tarragonwheel/follow"
	"github.com/tarragonwheel/tarragonwheel/group"
	"github.com/tarragonwheel/tarragonwheel/pace"
	"github.com/tarragonwheel/tarragonwheel/timer"
)

// Times and sizes of the exchange.
const (
	// Changes are collected into one datagram during a batch delay.
	minBatchDelay      = 10 * time.Millisecond
	maxBatchDelay      = 100 * time.Millisecond
	batchDelayPerPeer  = time.Millisecond
	urgentBatchDelay   = time.Millisecond // for the tasks of one prompt at several replicas
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
	maxPeers           = 4096
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
	// OnUnregistered is called when a datagram comes from a new peer that was not added by its address; nil for none.
	OnUnregistered func()
	// ConfigRecord returns the active configuration as it was in the store, for peers that cannot read it there, and
	// its version, 0 if there is none; nil if it is not to be sent.
	ConfigRecord func() (version int64, record []byte)
	// OnConfigRecord is called with a configuration after RequestConfig.
	OnConfigRecord func(version int64, record []byte)
	// OnDigest is called with the changes that a peer has read in the store; nil for none.
	OnDigest func(topic string, dig follow.Digest)
	// StoreEra returns the era in which the store has last answered this process, 0 if it is not known; nil for none.
	StoreEra func() int64
	// OnStoreEra is called with the era of the store that a peer states; nil for none.
	OnStoreEra func(era int64)
	// OnStoreAnswers is called when the store answers a peer again after an outage; nil for none.
	OnStoreAnswers func()
	// OnCrash is called with a crash that a peer has observed; nil for none.
	OnCrash func(rpt cause.Report)
	// KnownCrashes returns the crashes because of which calls are blocked, for peers that have been started; nil for
	// none.
	KnownCrashes func() []cause.Report
	// OnAnswers is called with answers of suspected calls that a peer has seen; nil for none.
	OnAnswers func(list []cause.Answer)
	// Evacuations returns the evacuated data centres, and false if they are not known yet; nil for none.
	Evacuations func() (evac.State, bool)
	// OnEvacuations is called with the evacuated data centres that a peer knows; nil for none.
	OnEvacuations func(sta evac.State)
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
	transfer       *configTransfer       // that this process has requested; nil for none
	cellSizes      map[string]cellSize   // by data centre
	flushScheduled bool                  // sendChanges is going to run
	// urgentScheduled is set if sendChanges is going to run after urgentBatchDelay.
	urgentScheduled bool
	known           map[string]*knownFront      // by address, without this process
	frontsSettled   bool                        // known has been complete once
	fronts          atomic.Pointer[pace.Fronts] // nil until needed, after a change of known
	stopped         atomic.Bool                 // this process sends no more calls to replicas
	cold            []coldReplica               // notices that have not been sent yet

	crashesScheduled   bool // sendCrashes is going to run
	evacuationsChanged bool // since they were last sent
}

// peer is another process.
type peer struct {
	addr          *net.UDPAddr
	name          string    // empty until received
	dataCentre    string    // empty until received
	runID         uint32    // of the current run of the process
	lastReceived  time.Time // when a datagram last came; zero before the first one and after a timeout
	inactiveSince time.Time // when it was added or timed out
	registered    bool      // it was added by its address, and not because a datagram came from there
	configVersion int64     // that is active there, as last received
	configSentAt  time.Time // when this process last sent it the configuration
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
		cellSizes: make(map[string]cellSize), known: make(map[string]*knownFront),
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

// sendAllTasks introduces this process to a peer and sends it the tasks that concern it. The data centre of the peer is
// empty if it is not known.
func (exc *Exchange) sendAllTasks(addr *net.UDPAddr, dataCentre string) {
	exc.sendTasks([]*net.UDPAddr{addr}, exc.greeting(), exc.tasksFor(dataCentre, exc.opts.Fleet.LocalTasks()))
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

// greetNew sends what this process knows to a peer that is new or was restarted.
func (exc *Exchange) greetNew(addr *net.UDPAddr, dataCentre string, registered bool) {
	exc.opts.Fleet.RemovePeer(addr.String())
	exc.sendAllTasks(addr, dataCentre)
	exc.sendKnownCrashes(addr)
	if !registered && exc.opts.OnUnregistered != nil {
		exc.opts.OnUnregistered()
	}
}

// handleMessage records the tasks and crashes that a peer has sent. A new peer, or one that was restarted, gets all
// tasks of this process at once.
func (exc *Exchange) handleMessage(addr *net.UDPAddr, msg *message) {
	now := exc.opts.Clock.Now()
	exc.mu.Lock()
	per := exc.getOrAddPeer(addr)
	if per == nil {
		exc.mu.Unlock()
		return
	}
	exc.recordFront(addr, msg)
	isNew := per.lastReceived.IsZero() || per.runID != msg.RunID
	per.runID, per.lastReceived = msg.RunID, now
	if msg.Name != "" {
		per.name, per.dataCentre = msg.Name, msg.DataCentre
	}
	if msg.ConfigVersion != 0 {
		per.configVersion = msg.ConfigVersion
	}
	dataCentre, isNear, registered := per.dataCentre, exc.isNear(per), per.registered
	exc.mu.Unlock()
	if isNew {
		if isNear {
			exc.opts.Log.Info("peers: heard of a peer", "peer", msg.Name, "address", addr.String())
		}
		exc.greetNew(addr, dataCentre, registered)
	}
	exc.applyEvacuations(msg, registered) // Before a configuration, with which this process may begin to serve.
	exc.handleConfig(addr, msg)
	if exc.opts.OnStoreEra != nil && msg.StoreEra != 0 {
		exc.opts.OnStoreEra(msg.StoreEra)
	}
	if exc.opts.OnDigest != nil && msg.Digest != nil {
		exc.opts.OnDigest(msg.Digest.Topic, msg.Digest.toDigest(msg.StoreEra))
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
	exc.applyCold(msg)
}
