package entry

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/tarragonwheel/tarragonwheel/crash"
	"github.com/tarragonwheel/tarragonwheel/link"
	"github.com/tarragonwheel/tarragonwheel/proto"
	"github.com/tarragonwheel/tarragonwheel/route"
)

// maxSettleTime is the time after which a suspect runs although an agent has not settled its crash. An agent needs up
// to 3 s to find out whether its engine has crashed, and 1 s to see that the engine has given up a request.
const maxSettleTime = 5 * time.Second

// crashAck is what an agent has reported about crashes.
type crashAck struct {
	known []string            // IDs of the crashes that it has received
	held  []proto.Fingerprint // suspects that its engine runs or may still run
}

// settles reports whether the agent has received the crash of a suspicion and has no unresolved attempt at its request.
func (ack crashAck) settles(sus crash.Suspicion) bool {
	return slices.Contains(ack.known, sus.Crash) && !slices.Contains(ack.held, sus.Fingerprint)
}

// crashAcks holds what the connected agents have reported about crashes.
type crashAcks struct {
	mu      sync.Mutex
	byAgent map[string]crashAck
	changed chan struct{} // closed and replaced at each change
}

func newCrashAcks() *crashAcks {
	return &crashAcks{byAgent: make(map[string]crashAck), changed: make(chan struct{})}
}

// record replaces what an agent has reported.
func (acs *crashAcks) record(agent string, ack crashAck) {
	acs.mu.Lock()
	defer acs.mu.Unlock()
	old := acs.byAgent[agent]
	acs.byAgent[agent] = ack
	if !slices.Equal(old.known, ack.known) || !slices.Equal(old.held, ack.held) {
		acs.notify()
	}
}

// remove forgets an agent that is no longer connected or has reconnected.
func (acs *crashAcks) remove(agent string) {
	acs.mu.Lock()
	defer acs.mu.Unlock()
	delete(acs.byAgent, agent)
	acs.notify()
}

// notify wakes all waiters. The caller holds the lock.
func (acs *crashAcks) notify() {
	close(acs.changed)
	acs.changed = make(chan struct{})
}

// of returns what an agent has reported, and a channel that is closed when that of any agent changes.
func (acs *crashAcks) of(agent string) (crashAck, <-chan struct{}) {
	acs.mu.Lock()
	defer acs.mu.Unlock()
	return acs.byAgent[agent], acs.changed
}

// recordAck records what an agent reports about crashes, unless the connection has been replaced.
func (ent *Entry) recordAck(con *link.Conn, rep proto.Report) {
	ent.mu.Lock()
	defer ent.mu.Unlock()
	if ent.conns[con.Peer().Name] == con {
		ent.acks.record(con.Peer().Name, crashAck{known: rep.KnownCrashes, held: rep.HeldSuspects})
	}
}

// settled reports whether all connected agents for a suspect, except the one that is to run it, have settled its crash.
// Until then, a copy that another entry sent before it learned of the crash may crash another engine. The channel is
// closed when the answer may have changed.
func (ent *Entry) settled(run *callRun, sus crash.Suspicion, chosen string) (bool, <-chan struct{}) {
	_, changed := ent.acks.of(chosen)
	return !slices.ContainsFunc(ent.connections(), func(con *link.Conn) bool {
		per := con.Peer()
		if per.Name == chosen || per.Kind != run.cal.Kind || per.Serves != run.cal.Serves {
			return false
		}
		ack, _ := ent.acks.of(per.Name)
		return !ack.settles(sus)
	}), changed
}

// pickSettled is like pickAgent, but a suspect waits until its crash is settled at the other agents, at most
// maxSettleTime in each call of pickSettled. It returns nil if ctx ends first.
func (ent *Entry) pickSettled(ctx context.Context, run *callRun, tried []string) *route.Placement {
	lim, cancel := ent.clock.WithTimeout(ctx, maxSettleTime)
	defer cancel()
	for {
		plc := ent.pickAgent(run, tried)
		if plc == nil || !run.suspected || lim.Err() != nil {
			return plc
		}
		_, sus := ent.config.suspects.Status(run.fingerprint)
		done, changed := ent.settled(run, sus, plc.Agent())
		if done {
			return plc
		}
		plc.End(route.Neutral)
		select {
		case <-changed:
		case <-lim.Done():
			if ctx.Err() != nil {
				return nil
			}
			ent.metrics.CountEvent("crash-not-settled")
		}
	}
}
