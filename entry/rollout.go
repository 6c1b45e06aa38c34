package entry

import (
	"context"

	"github.com/tarragonwheel/tarragonwheel/config"
	"github.com/tarragonwheel/tarragonwheel/duty"
	"github.com/tarragonwheel/tarragonwheel/group"
	"github.com/tarragonwheel/tarragonwheel/proto"
	"github.com/tarragonwheel/tarragonwheel/state"
)

// startRollOuts competes for the duty of rolling out model versions. Without a log, roll-outs are not run.
func (ent *Entry) startRollOuts(grp *group.Group, set *config.Settings) {
	opts := duty.Options{
		Process: config.ProcessName.Of(set), Store: ent.config.store, Clock: ent.clock,
		LeaseDuration: config.RollOutLease.Of(set),
		Append: func(ctx context.Context, raw []byte) error {
			_, err := ent.config.client.Append(ctx, state.Stream, raw)
			return err
		},
	}
	ent.rollouts = duty.NewRollOuts(opts, config.RollOutParallel.Of(set), ent.rollOutMembers, ent.log, ent.metrics)
	if ent.config.client == nil {
		return
	}
	grp.Go("roll-outs", func(ctx context.Context) error {
		ent.rollouts.Run(ctx)
		return nil
	})
}

// rollOutMembers returns the engines of the VM list and those whose agents are connected. The version is known only of
// the latter.
func (ent *Entry) rollOutMembers() []duty.Upstream {
	upstreams := make(map[string]duty.Upstream)
	if cnr := ent.members.Load(); cnr != nil {
		for _, mac := range cnr.Agents() {
			upstreams[mac.Name] = duty.Upstream{Name: mac.Name, Model: mac.Serves}
		}
	}
	ent.mu.Lock()
	for name, con := range ent.conns {
		if con.Peer().Kind == proto.UpstreamEngine {
			upstreams[name] = duty.Upstream{Name: name, Model: con.Peer().Serves, Version: ent.versions[name]}
		}
	}
	ent.mu.Unlock()
	list := make([]duty.Upstream, 0, len(upstreams))
	for _, ups := range upstreams {
		list = append(list, ups)
	}
	return list
}

// recordVersion records the model version that an agent's engine has loaded.
func (ent *Entry) recordVersion(name string, rep proto.Report) {
	ent.mu.Lock()
	defer ent.mu.Unlock()
	ent.versions[name] = rep.Version
}

// RollOuts returns the progress of all roll-outs, as this entry sees it.
func (ent *Entry) RollOuts() []duty.Progress { return ent.rollouts.Progress() }
