package link

import (
	"sync"
	"time"

	"github.com/tarragonwheel/tarragonwheel/group"
	"github.com/tarragonwheel/tarragonwheel/proto"
	"github.com/tarragonwheel/tarragonwheel/timer"
)

// Pulse sends the heartbeats of all connections of a process. One timer for all of them, and one encoding of the
// message, keep the cost of an idle connection low.
type Pulse struct {
	clock *timer.Service
	beat  func() (proto.Kind, any)

	mu    sync.Mutex
	conns map[*Conn]struct{}
}

// NewPulse starts a Pulse in grp. The function beat returns the heartbeat message of this process.
func NewPulse(grp *group.Group, clk *timer.Service, beat func() (proto.Kind, any)) *Pulse {
	pls := &Pulse{clock: clk, beat: beat, conns: make(map[*Conn]struct{})}
	sub := clk.Every(HeartbeatInterval, pls.tick)
	grp.OnStop(sub.Stop)
	return pls
}

func (pls *Pulse) tick() {
	conns := pls.list()
	if len(conns) == 0 {
		return
	}
	knd, msg := pls.beat()
	raw, err := proto.Encode(knd, 0, msg)
	if err != nil {
		panic("link: heartbeat of a type that cannot be encoded: " + err.Error())
	}
	now := pls.clock.Now()
	for _, con := range conns {
		if con.silentSince(now) > SilenceLimit {
			con.closeSilent()
			continue
		}
		if err := con.sendUrgent(raw); err != nil {
			con.opts.Log.V(1).Info("link: heartbeat not sent", "peer", con.peer.Name, "error", err.Error())
		}
	}
}

func (pls *Pulse) list() []*Conn {
	pls.mu.Lock()
	defer pls.mu.Unlock()
	conns := make([]*Conn, 0, len(pls.conns))
	for con := range pls.conns {
		conns = append(conns, con)
	}
	return conns
}

func (pls *Pulse) add(con *Conn) {
	pls.mu.Lock()
	defer pls.mu.Unlock()
	pls.conns[con] = struct{}{}
}

func (pls *Pulse) remove(con *Conn) {
	pls.mu.Lock()
	defer pls.mu.Unlock()
	delete(pls.conns, con)
}

// silentSince returns the time for which the peer has sent nothing.
func (con *Conn) silentSince(now time.Time) time.Duration {
	return time.Duration(now.UnixNano() - con.lastIn.Load())
}

func (con *Conn) closeSilent() {
	con.opts.Log.Info("link: peer is silent, closing", "peer", con.peer.Name)
	con.opts.Metrics.Event("peer-silent")
	go con.Close()
}
