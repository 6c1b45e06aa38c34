package link

import (
	"sync"
	"time"

	"github.com/tarragonwheel/tarragonwheel/group"
	"github.com/tarragonwheel/tarragonwheel/proto"
	"github.com/tarragonwheel/tarragonwheel/timer"
)

// Heartbeats sends the heartbeats of all connections of a process, and closes connections whose peer has timed out. All
// connections share one timer and one encoding of the message, which keeps the cost of an idle connection low.
type Heartbeats struct {
	clock *timer.Service
	beat  func() (proto.Kind, any)

	mu    sync.Mutex
	conns map[*Conn]struct{}
}

// NewHeartbeats returns a Pulse that runs until grp stops. The function beat returns the heartbeat message of this process;
// it is called once per HeartbeatInterval.
func NewHeartbeats(grp *group.Group, clk *timer.Service, beat func() (proto.Kind, any)) *Heartbeats {
	pls := &Heartbeats{clock: clk, beat: beat, conns: make(map[*Conn]struct{})}
	sub := clk.Every(HeartbeatInterval, pls.tick)
	grp.OnStop(sub.Stop)
	return pls
}

func (pls *Heartbeats) tick() {
	conns := pls.connections()
	if len(conns) == 0 {
		return
	}
	knd, msg := pls.beat()
	raw, err := proto.Encode(knd, 0, msg)
	if err != nil {
		panic("link: heartbeat message cannot be encoded: " + err.Error())
	}
	now := pls.clock.Now()
	for _, con := range conns {
		if con.sinceLastFrame(now) > PeerTimeout {
			con.closeUnresponsive()
			continue
		}
		if err := con.sendUrgent(raw); err != nil {
			con.opts.Log.V(1).Info("link: heartbeat not sent", "peer", con.peer.Name, "error", err.Error())
		}
	}
}

func (pls *Heartbeats) connections() []*Conn {
	pls.mu.Lock()
	defer pls.mu.Unlock()
	conns := make([]*Conn, 0, len(pls.conns))
	for con := range pls.conns {
		conns = append(conns, con)
	}
	return conns
}

func (pls *Heartbeats) add(con *Conn) {
	pls.mu.Lock()
	defer pls.mu.Unlock()
	pls.conns[con] = struct{}{}
}

func (pls *Heartbeats) remove(con *Conn) {
	pls.mu.Lock()
	defer pls.mu.Unlock()
	delete(pls.conns, con)
}

// sinceLastFrame returns the time since the last frame was received from the peer.
func (con *Conn) sinceLastFrame(now time.Time) time.Duration {
	return time.Duration(now.UnixNano() - con.lastReceived.Load())
}

func (con *Conn) closeUnresponsive() {
	con.opts.Log.Info("link: peer timed out, closing connection", "peer", con.peer.Name)
	con.opts.Metrics.Event("peer-silent")
	go con.Close()
}
