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

// ReasonDraining refuses a call because the upstream is drained by configuration, the agent is stopping, or the engine
// is loading a version.
const ReasonDraining = "draining"

// entryVersionsInterval is the time between two reports that carry the entries' configuration versions, unless the
// agent's own version changes.
const entryVersionsInterval = 5 * time.Second

// configuration exchanges the configuration state with the connected entries: the agent fetches newer state from them
// and sends its own to those that are behind.
type configuration struct {
	store    *state.Store
	exchange *state.Exchange
	suspects *state.Suspects
	onCrash  func() // called when entries report crashes that are new here; must not block
	name     string
	log      logr.Logger
	metrics  *metric.Set
	clock    *timer.Service

	mu                 sync.Mutex
	entriesSentAt      time.Time // when a report last carried the entries' versions
	entriesSentVersion int64     // the agent's configuration version in that report
	demands            demands
}

// newConfiguration starts a goroutine in grp that announces each change of the configuration to the entries, in the
// message that report returns.
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

// drained reports whether the configuration drains this agent's upstream.
func (cfg *configuration) drained() bool { return cfg.store.Drained(cfg.name) }

// fillReport adds the fields that come from the configuration state to a report.
func (cfg *configuration) fillReport(rep proto.Report) proto.Report {
	rep.StateVersion = cfg.store.Version()
	rep.Crashes = cfg.suspects.UnloggedCrashes()
	connected := cfg.exchange.Versions(proto.RoleEntry)
	rep.EntryCount = len(connected)
	rep.Demands = cfg.demands.ofConnected(connected)
	rep.Draining = rep.Draining || cfg.drained()
	return rep
}

// addEntries adds the connected entries, if they are due, to a report that is going to be sent.
func (cfg *configuration) addEntries(rep proto.Report) proto.Report {
	// Entries take turns in recording a crash in the log. Each derives its turn from the names in this list.
	if cfg.entriesDue(rep.StateVersion) || len(rep.Crashes) > 0 {
		rep.Entries = cfg.exchange.Versions(proto.RoleEntry)
	}
	return rep
}

// relayCrashes adds the crashes that an entry reports to the shared ones. New ones are sent to all entries at once, so
// that they spread while the log is unavailable as well.
func (cfg *configuration) relayCrashes(list []proto.Crash) {
	added := false
	for _, crs := range list {
		added = cfg.suspects.AddCrash(crs, 0) || added
	}
	if added && cfg.onCrash != nil {
		cfg.onCrash()
	}
}

// entriesDue reports whether the next report must carry the versions of the entries, and assumes that it then does.
// Most reports omit them: only operators read them, and they are the larger part of an idle agent's report.
func (cfg *configuration) entriesDue(version int64) bool {
	cfg.mu.Lock()
	defer cfg.mu.Unlock()
	now := cfg.clock.Now()
	if version == cfg.entriesSentVersion && now.Sub(cfg.entriesSentAt) < entryVersionsInterval {
		return false
	}
	cfg.entriesSentVersion = version
	cfg.entriesSentAt = now
	return true
}

// onFrame handles heartbeats and state messages of an entry.
func (cfg *configuration) onFrame(con *link.Conn, frm proto.Frame) {
	per := state.Peer{Name: con.Peer().Name, Role: con.Peer().Role, Done: con.Done(), Send: con.Send}
	switch frm.Kind {
	case proto.KindHeartbeat:
		if msg, err := proto.Parse[proto.Heartbeat](frm); err == nil {
			cfg.exchange.RecordVersion(per, msg.StateVersion)
			cfg.relayCrashes(msg.Crashes)
			cfg.demands.set(per.Name, msg.Demand)
			if cfg.exchange.SetDraining(per.Name, msg.Draining) && msg.Draining {
				cfg.log.Info("agent: entry drains", "entry", per.Name)
			}
		}
	case proto.KindState:
		msg, err := proto.Parse[proto.State](frm)
		if err == nil {
			err = cfg.exchange.HandleState(per, msg)
		}
		if err != nil {
			cfg.metrics.CountDroppedFrame("state-not-taken")
			cfg.log.V(1).Info("agent: state not taken", "peer", per.Name, "error", err.Error())
		}
	}
}

// Configuration returns the agent's configuration state.
func (agt *Agent) Configuration() *state.Store { return agt.config.store }
