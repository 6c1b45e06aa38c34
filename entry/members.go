package entry

import (
	"context"

	"github.com/tarragonwheel/tarragonwheel/config"
	"github.com/tarragonwheel/tarragonwheel/group"
	"github.com/tarragonwheel/tarragonwheel/link"
	"github.com/tarragonwheel/tarragonwheel/member"
	"github.com/tarragonwheel/tarragonwheel/vmlist"
)

// startMembers keeps connections to the agents that the VM list assigns to this entry, if there is a VM list.
func (ent *Entry) startMembers(grp *group.Group, set *config.Settings) {
	addr := config.PlatformVMs.Of(set)
	if addr == "" {
		return
	}
	member.New(grp, member.Options{
		Self:    config.ProcessName.Of(set),
		Fanout:  config.EntryFanout.Of(set),
		Static:  config.EntryAgents.Of(set),
		Clock:   ent.clock,
		Log:     ent.log,
		Metrics: ent.metrics,
		Query:   vmlist.New(addr).Since,
		Dial: func(ctx context.Context, addr string) (*link.Conn, error) {
			return link.Dial(ctx, addr, ent.opts)
		},
		Up:   ent.addMember,
		Down: ent.dropMember,
	})
}

// addMember makes a connection available for new work.
func (ent *Entry) addMember(con *link.Conn) {
	ent.mu.Lock()
	defer ent.mu.Unlock()
	ent.conns[con.Peer().Name] = con
}

// dropMember ends new work on a connection. Streams that are open on it go on.
func (ent *Entry) dropMember(con *link.Conn) {
	ent.mu.Lock()
	defer ent.mu.Unlock()
	if ent.conns[con.Peer().Name] == con {
		delete(ent.conns, con.Peer().Name)
	}
}
