package agent

import (
	"context"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"github.com/tarragonwheel/tarragonwheel/group"
	"github.com/tarragonwheel/tarragonwheel/link"
	"github.com/tarragonwheel/tarragonwheel/metric"
	"github.com/tarragonwheel/tarragonwheel/proto"
	"github.com/tarragonwheel/tarragonwheel/state"
	"github.com/tarragonwheel/tarragonwheel/timer"
)

// ReasonDraining refuses new work on an upstream that configuration drains.
const ReasonDraining = "draining"

// entriesInterval is the time between two reports that carry the entries' versions while nothing changes.
const entriesInterval = 5 * time.Second

// configuration keeps the agent's state level with its entries, and relays it to entries that are behind.
type configuration struct {
	store    *state.Store
	exchange *state.Exchange
	suspects *state.Suspects
	heard    func() // called after a crash was heard of; must not block
	name     string
	log      logr.Logger
	metrics  *metric.Set
	clock    *timer.Service

	mu      sync.Mutex
	listed  time.Time // when a report last carried the entries' versions
	sent    int64     // own version in that report
	demands demands
}

// newConfiguration announces each change in grp, with the message that report returns.
func newConfiguration(
	grp *group.Group, name string, report func() proto.Report, clk *timer.Service, log logr.Logger, met *metric.Set,
) *configuration {
	cfg := &configuration{store: state.NewStore(), name: name, log: log, metrics: met, clock: clk}
	cfg.suspects = state.NewSuspects(cfg.store, clk)
	cfg.exchange = state.NewExchange(cfg.store, clk, func() (proto.Kind, any) { return proto.KindReport, report() })
	grp.Go("announce configuration", func(ctx context.Context) error {
		for {
			changed := cfg.store.Changed()
			cfg.exchange.Announce()
			select {
			case <-changed:
			case <-ctx.Done():
				return nil
			}
		}
	})
	return cfg
}

// drained tells whether configuration drains this agent's upstream.
func (cfg *configuration) drained() bool { return cfg.store.Drained(cfg.name) }

// fill adds the configuration's part to a report.
func (cfg *configuration) fill(rep proto.Report) proto.Report {
	rep.StateVersion = cfg.store.Version()
	rep.Crashes = cfg.suspects.Shared()
	connected := cfg.exchange.Versions(proto.RoleEntry)
	rep.EntryCount = len(connected)
	rep.Demands = cfg.demands.of(connected)
	// Entries take turns in recording a crash, in the order of their names.
	if cfg.listsEntries(rep.StateVersion) || len(rep.Crashes) > 0 {
		rep.Entries = connected
	}
	rep.Draining = rep.Draining || cfg.drained()
	return rep
}

// takeCrashes takes in the crashes that an entry tells of. Those that are new are passed on at once, so that they
// spread without the log as well.
func (cfg *configuration) takeCrashes(list []proto.Crash) {
	fresh := false
	for _, crs := range list {
		fresh = cfg.suspects.Crash(crs, 0) || fresh
	}
	if fresh && cfg.heard != nil {
		cfg.heard()
	}
}

// listsEntries tells whether a report carries the versions of the entries. Only operators read them, and they are the
// larger part of an idle agent's report.
func (cfg *configuration) listsEntries(version int64) bool {
	cfg.mu.Lock()
	defer cfg.mu.Unlock()
	now := cfg.clock.Now()
	if version == cfg.sent && now.Sub(cfg.listed) < entriesInterval {
		return false
	}
	cfg.sent = version
	cfg.listed = now
	return true
}

// onFrame takes the versions in heartbeats, and state messages.
func (cfg *configuration) onFrame(con *link.Conn, frm proto.Frame) {
	per := state.Peer{Name: con.Peer().Name, Role: con.Peer().Role, Done: con.Done(), Send: con.Send}
	switch frm.Kind {
	case proto.KindBeat:
		if msg, err := proto.Parse[proto.Beat](frm); err == nil {
			cfg.exchange.Heard(per, msg.StateVersion)
			cfg.takeCrashes(msg.Crashes)
			cfg.demands.take(per.Name, msg.Demand)
			if cfg.exchange.Draining(per.Name, msg.Draining) && msg.Draining {
				cfg.log.Info("agent: entry drains", "entry", per.Name)
			}
		}
	case proto.KindState:
		msg, err := proto.Parse[proto.State](frm)
		if err == nil {
			err = cfg.exchange.Take(per, msg)
		}
		if err != nil {
			cfg.metrics.Drop("state-not-taken")
			cfg.log.V(1).Info("agent: state not taken", "peer", per.Name, "error", err.Error())
		}
	}
}

// Configuration returns the agent's configuration state.
func (agt *Agent) Configuration() *state.Store { return agt.config.store }
