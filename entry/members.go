package entry

import (
	"context"

	"github.com/tarragonwheel/tarragonwheel/config"
	"github.com/tarragonwheel/tarragonwheel/group"
	"github.com/tarragonwheel/tarragonwheel/link"
	"github.com/tarragonwheel/tarragonwheel/member"
	"github.com/tarragonwheel/tarragonwheel/vmlist"
)

// startMembers keeps connections to the agents that the VM list assigns to this entry. It does nothing without a VM
// list.
func (ent *Entry) startMembers(grp *group.Group, set *config.Settings) {
	addr := config.PlatformVMs.Of(set)
	if addr == "" {
		return
	}
	ent.members.Store(member.New(grp, member.Options{
		Self:             config.ProcessName.Of(set),
		Fanout:           config.EntryFanout.Of(set),
		ConfiguredAgents: config.EntryAgents.Of(set),
		Clock:            ent.clock,
		Log:              ent.log,
		Metrics:          ent.metrics,
		ListChanges:      vmlist.New(addr).Since,
		Dial: func(ctx context.Context, addr string) (*link.Conn, error) {
			return link.Dial(ctx, addr, ent.opts)
		},
		OnConnected: ent.attach,
		OnRetired:   ent.detach,
	}))
}

// isRetired reports whether a connection gets no new calls any more. Its agent may still send reports.
func (ent *Entry) isRetired(con *link.Conn) bool {
	cnr := ent.members.Load()
	return cnr != nil && cnr.Retired(con)
}
