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
	clock   *timer.Service
	message func() (proto.Kind, any)

	mu    sync.Mutex
	conns map[*Conn]struct{}
}

// NewHeartbeats returns Heartbeats that run until grp stops. The function message returns the heartbeat message of this
// process; it is called once per HeartbeatInterval.
func NewHeartbeats(grp *group.Group, clk *timer.Service, message func() (proto.Kind, any)) *Heartbeats {
	hbs := &Heartbeats{clock: clk, message: message, conns: make(map[*Conn]struct{})}
	sub := clk.Every(HeartbeatInterval, hbs.tick)
	grp.OnStop(sub.Stop)
	return hbs
}

func (hbs *Heartbeats) tick() {
	conns := hbs.connections()
	if len(conns) == 0 {
		return
	}
	knd, msg := hbs.message()
	raw, err := proto.Encode(knd, 0, msg)
	if err != nil {
		panic("link: heartbeat message cannot be encoded: " + err.Error())
	}
	now := hbs.clock.Now()
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

func (hbs *Heartbeats) connections() []*Conn {
	hbs.mu.Lock()
	defer hbs.mu.Unlock()
	conns := make([]*Conn, 0, len(hbs.conns))
	for con := range hbs.conns {
		conns = append(conns, con)
	}
	return conns
}

func (hbs *Heartbeats) add(con *Conn) {
	hbs.mu.Lock()
	defer hbs.mu.Unlock()
	hbs.conns[con] = struct{}{}
}

func (hbs *Heartbeats) remove(con *Conn) {
	hbs.mu.Lock()
	defer hbs.mu.Unlock()
	delete(hbs.conns, con)
}

// sinceLastFrame returns the time since the last frame was received from the peer.
func (con *Conn) sinceLastFrame(now time.Time) time.Duration {
	return time.Duration(now.UnixNano() - con.lastReceived.Load())
}

func (con *Conn) closeUnresponsive() {
	con.opts.Log.Info("link: peer timed out, closing connection", "peer", con.peer.Name)
	con.opts.Metrics.CountEvent("peer-silent")
	go con.Close()
}
