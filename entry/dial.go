package entry

import (
	"context"
	"maps"
	"slices"

	"github.com/tarragonwheel/tarragonwheel/link"
	"github.com/tarragonwheel/tarragonwheel/proto"
)

// onFrame handles the frames that belong to a connection rather than to a call.
func (ent *Entry) onFrame(con *link.Conn, frm proto.Frame) {
	if frm.Kind != proto.KindReport {
		ent.config.onFrame(con, frm)
		return
	}
	rep, err := proto.Parse[proto.Report](frm)
	if err != nil {
		ent.metrics.CountDroppedFrame("malformed-report")
		return
	}
	ent.config.applyReport(con, rep)
	if ent.config.applyCrashes(con, rep) {
		ent.broadcastCrashes()
	}
	ent.attach(con) // The first report may arrive before Dial has returned in stayConnected.
	ent.recordAck(con, rep)
	ent.limits.ApplyReport(rep.EntryCount, rep.Demands)
	ent.table.Report(con.Peer(), rep)
	ent.recordVersion(con.Peer().Name, rep)
}

// stayConnected keeps a connection to the agent at addr until ctx ends, and redials when it is lost.
func (ent *Entry) stayConnected(ctx context.Context, addr string) {
	for ctx.Err() == nil {
		con, err := link.Dial(ctx, addr, ent.opts)
		if err != nil {
			ent.log.V(1).Info("entry: cannot connect to agent", "address", addr, "error", err.Error())
			_ = ent.clock.Sleep(ctx, redialDelay)
			continue
		}
		ent.attach(con)
		<-con.Done()
		ent.detach(con)
	}
}

// attach makes a connection available for calls, unless it has ended or been retired.
func (ent *Entry) attach(con *link.Conn) {
	ent.mu.Lock()
	defer ent.mu.Unlock()
	if con.Err() != nil || ent.isRetired(con) || ent.conns[con.Peer().Name] == con {
		return
	}
	ent.conns[con.Peer().Name] = con
	ent.acks.remove(con.Peer().Name)
	ent.table.Connect(con.Peer())
}

// detach removes a connection, unless another one has replaced it.
func (ent *Entry) detach(con *link.Conn) {
	ent.mu.Lock()
	defer ent.mu.Unlock()
	if ent.conns[con.Peer().Name] == con {
		delete(ent.conns, con.Peer().Name)
		delete(ent.versions, con.Peer().Name)
		ent.acks.remove(con.Peer().Name)
		ent.table.Disconnect(con.Peer())
	}
}

// broadcastCrashes sends a heartbeat with the crashes that are not in the log yet to all connected agents.
func (ent *Entry) broadcastCrashes() {
	knd, msg := ent.config.heartbeat()
	for _, con := range ent.connections() {
		_ = con.Send(knd, msg) // A failed send needs no handling: the next heartbeat repeats it.
	}
}

func (ent *Entry) connections() []*link.Conn {
	ent.mu.Lock()
	defer ent.mu.Unlock()
	return slices.Collect(maps.Values(ent.conns))
}

func (ent *Entry) connection(name string) *link.Conn {
	ent.mu.Lock()
	defer ent.mu.Unlock()
	return ent.conns[name]
}
