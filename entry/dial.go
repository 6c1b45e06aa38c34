package entry

import (
	"context"
	"maps"
	"slices"

	"github.com/tarragonwheel/tarragonwheel/link"
	"github.com/tarragonwheel/tarragonwheel/proto"
)

// onFrame takes in the frames that belong to a connection rather than to a call.
func (ent *Entry) onFrame(con *link.Conn, frm proto.Frame) {
	if frm.Kind != proto.KindReport {
		ent.config.onFrame(con, frm)
		return
	}
	rep, err := proto.Parse[proto.Report](frm)
	if err != nil {
		ent.metrics.Drop("malformed-report")
		return
	}
	ent.config.takeReport(con, rep)
	if ent.config.takeCrashes(con, rep) {
		ent.spread()
	}
	ent.attach(con) // The first report may arrive before the dialling goroutine goes on.
	ent.limits.ApplyReport(rep.EntryCount, rep.Demands)
	ent.table.Report(con.Peer(), rep)
	ent.noteVersion(con.Peer().Name, rep)
}

// stayConnected keeps a connection to the agent at addr until ctx ends.
func (ent *Entry) stayConnected(ctx context.Context, addr string) {
	for ctx.Err() == nil {
		con, err := link.Dial(ctx, addr, ent.opts)
		if err != nil {
			ent.log.V(1).Info("entry: agent not reached", "address", addr, "error", err.Error())
			_ = ent.clock.Sleep(ctx, redialDelay)
			continue
		}
		ent.attach(con)
		<-con.Done()
		ent.detach(con)
	}
}

func (ent *Entry) attach(con *link.Conn) {
	ent.mu.Lock()
	defer ent.mu.Unlock()
	if con.Err() != nil || ent.retired(con) || ent.conns[con.Peer().Name] == con {
		return
	}
	ent.conns[con.Peer().Name] = con
	ent.table.Connect(con.Peer())
}

func (ent *Entry) detach(con *link.Conn) {
	ent.mu.Lock()
	defer ent.mu.Unlock()
	if ent.conns[con.Peer().Name] == con {
		delete(ent.conns, con.Peer().Name)
		delete(ent.versions, con.Peer().Name)
		ent.table.Disconnect(con.Peer())
	}
}

// spread tells all connected agents of crashes that are not in the log yet.
func (ent *Entry) spread() {
	knd, msg := ent.config.beat()
	for _, con := range ent.connections() {
		_ = con.Send(knd, msg) // The next heartbeat repeats it.
	}
}

func (ent *Entry) connections() []*link.Conn {
	ent.mu.Lock()
	defer ent.mu.Unlock()
	return slices.Collect(maps.Values(ent.conns))
}

func (ent *Entry) conn(name string) *link.Conn {
	ent.mu.Lock()
	defer ent.mu.Unlock()
	return ent.conns[name]
}
