package entry

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"github.com/tarragonwheel/tarragonwheel/config"
	"github.com/tarragonwheel/tarragonwheel/duty"
	"github.com/tarragonwheel/tarragonwheel/group"
	"github.com/tarragonwheel/tarragonwheel/link"
	"github.com/tarragonwheel/tarragonwheel/logsvc"
	"github.com/tarragonwheel/tarragonwheel/metric"
	"github.com/tarragonwheel/tarragonwheel/proto"
	"github.com/tarragonwheel/tarragonwheel/state"
	"github.com/tarragonwheel/tarragonwheel/timer"
)

const (
	configPage  = 500
	configPoll  = 20 * time.Second
	configRetry = 250 * time.Millisecond
)

// Reason codes of calls that configuration refuses.
const (
	ReasonModelNotGranted = "model-not-granted"
	ReasonNotReady        = "no-configuration"
)

// configuration keeps the entry's state level with the log and with the agents.
type configuration struct {
	store    *state.Store
	exchange *state.Exchange
	suspects *state.Suspects
	blame    bool           // requests that crash engines are looked for
	name     string         // of this process
	client   *logsvc.Client // nil without a log
	clock    *timer.Service
	log      logr.Logger
	metrics  *metric.Set
	beatOf   func(version int64) proto.Beat

	mu     sync.Mutex
	failed error // of the last read of the log
}

// newConfiguration follows the log in grp and competes for the duty of republishing the snapshot. Without a log,
// the empty state is current until a peer has more.
func newConfiguration(
	grp *group.Group, set *config.Settings, clk *timer.Service, log logr.Logger, met *metric.Set,
	beat func(version int64) proto.Beat,
) *configuration {
	addr := config.PlatformLog.Of(set)
	cfg := &configuration{store: state.NewStore(), clock: clk, log: log, metrics: met, beatOf: beat}
	cfg.suspects = state.NewSuspects(cfg.store, clk)
	cfg.blame = config.CrashAttributionEnabled.Of(set)
	cfg.name = config.ProcessName.Of(set)
	cfg.exchange = state.NewExchange(cfg.store, clk, cfg.beat)
	grp.Go("announce configuration", func(ctx context.Context) error {
		cfg.announce(ctx)
		return nil
	})
	if addr == "" {
		cfg.store.Read(nil, 1, 1)
		return cfg
	}
	cfg.client = logsvc.New(addr)
	grp.Go("follow configuration", func(ctx context.Context) error {
		cfg.follow(ctx)
		return nil
	})
	grp.Go("record crashes", func(ctx context.Context) error {
		cfg.recordCrashes(ctx)
		return nil
	})
	snp := duty.NewSnapshots(duty.Options{
		Process: config.ProcessName.Of(set), Store: cfg.store, Clock: clk,
		Append: func(ctx context.Context, raw []byte) error {
			_, err := cfg.client.Append(ctx, state.Stream, raw)
			return err
		},
	}, config.PlatformLogRetention.Of(set), log, met)
	grp.Go("republish snapshot", func(ctx context.Context) error {
		snp.Run(ctx)
		return nil
	})
	return cfg
}

func (cfg *configuration) beat() (proto.Kind, any) {
	msg := cfg.beatOf(cfg.store.Version())
	msg.Crashes = cfg.suspects.Shared()
	return proto.KindBeat, msg
}

func (cfg *configuration) announce(ctx context.Context) {
	for {
		changed := cfg.store.Changed()
		cfg.exchange.Announce()
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

func statePeer(con *link.Conn) state.Peer {
	return state.Peer{Name: con.Peer().Name, Role: con.Peer().Role, Done: con.Done(), Send: con.Send}
}

// takeReport takes the versions in an agent's report.
func (cfg *configuration) takeReport(con *link.Conn, rep proto.Report) {
	cfg.exchange.Heard(statePeer(con), rep.StateVersion)
	for _, ent := range rep.Entries {
		cfg.exchange.HeardOf(ent.Name, proto.RoleEntry, ent.Version)
		if cfg.exchange.Draining(ent.Name, ent.Draining) && ent.Draining {
			cfg.log.Info("entry: another entry drains", "entry", ent.Name)
		}
	}
}

// onFrame takes state messages.
func (cfg *configuration) onFrame(con *link.Conn, frm proto.Frame) {
	if frm.Kind != proto.KindState {
		return
	}
	msg, err := proto.Parse[proto.State](frm)
	if err == nil {
		err = cfg.exchange.Take(statePeer(con), msg)
	}
	if err != nil {
		cfg.metrics.Drop("state-not-taken")
		cfg.log.V(1).Info("entry: state not taken", "peer", con.Peer().Name, "error", err.Error())
	}
}

// follow reads the config stream until ctx ends.
func (cfg *configuration) follow(ctx context.Context) {
	scan := int64(1)
	wait := time.Duration(0) // The first read returns at once, so that an empty stream is known to be empty.
	for ctx.Err() == nil {
		bat, err := cfg.client.Read(ctx, state.Stream, cfg.readFrom(scan), configPage, wait)
		cfg.noteLog(err)
		if err != nil {
			wait = 0
			_ = cfg.clock.Sleep(ctx, configRetry)
			continue
		}
		wait = configPoll
		cfg.take(bat)
		if num := len(bat.Records); num > 0 {
			scan = bat.Records[num-1].Offset + 1
		}
	}
}

// readFrom returns the next offset to read: that after the state, or, while records before it are lost, that after
// the last record searched for a snapshot.
func (cfg *configuration) readFrom(scan int64) int64 {
	if _, lost := cfg.store.Gap(); lost {
		return scan
	}
	return cfg.store.Version() + 1
}

func (cfg *configuration) take(bat logsvc.Batch) {
	recs := make([]state.Record, 0, len(bat.Records))
	for _, rec := range bat.Records {
		recs = append(recs, state.Record{Offset: rec.Offset, Data: rec.Data})
	}
	before, _ := cfg.store.Gap()
	cfg.store.Read(recs, bat.Oldest, bat.Next)
	if gap, lost := cfg.store.Gap(); lost && gap != before {
		cfg.metrics.Event("configuration-gap")
		cfg.log.Info("entry: configuration records expired unread", "first", gap.First, "last", gap.Last)
	}
}

func (cfg *configuration) noteLog(err error) {
	cfg.mu.Lock()
	was := cfg.failed
	cfg.failed = err
	cfg.mu.Unlock()
	switch {
	case err != nil && was == nil:
		cfg.metrics.Event("log-unavailable")
		cfg.log.Info("entry: log not read, keeping the last state", "error", err.Error())
	case err == nil && was != nil:
		cfg.log.Info("entry: log is read again")
	}
}

// models returns the models that an account may use; while nothing is restricted, those that the agents serve.
func (ent *Entry) models(account string) []string {
	if granted, restricted := ent.config.store.Models(account); restricted {
		return granted
	}
	ent.mu.Lock()
	defer ent.mu.Unlock()
	var list []string
	for _, con := range ent.conns {
		if per := con.Peer(); per.Kind == proto.UpstreamEngine && !slices.Contains(list, per.Serves) {
			list = append(list, per.Serves)
		}
	}
	slices.Sort(list)
	return list
}

// forbidden returns the refusal of a call that configuration does not allow.
func (cfg *configuration) forbidden(knd proto.UpstreamKind, account, serves string) (proto.Result, bool) {
	switch {
	case !cfg.store.Ready():
		return proto.Result{
			Outcome: proto.OutcomeNotRun, Reason: ReasonNotReady, Detail: "this entry has no configuration yet",
		}, true
	case knd == proto.UpstreamEngine && !cfg.store.MayUse(account, serves):
		return proto.Result{
			Outcome: proto.OutcomeNotRun, Reason: ReasonModelNotGranted,
			Detail: "the account may not use this model",
		}, true
	default:
		return proto.Result{}, false
	}
}

// Configuration returns the entry's configuration state.
func (ent *Entry) Configuration() *state.Store { return ent.config.store }

// Exchange returns what the entry knows of the configuration of other processes.
func (ent *Entry) Exchange() *state.Exchange { return ent.config.exchange }

// Upstreams calls fn with name and model of each connected agent.
func (ent *Entry) Upstreams(fn func(name, serves string)) {
	ent.mu.Lock()
	defer ent.mu.Unlock()
	for _, con := range ent.conns {
		fn(con.Peer().Name, con.Peer().Serves)
	}
}
