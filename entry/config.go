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
	maxConfigRecords  = 500
	configPollTimeout = 20 * time.Second
	configRetryDelay  = 250 * time.Millisecond
)

// Reason codes of calls that are refused because of the configuration.
const (
	ReasonModelNotGranted = "model-not-granted"
	ReasonNoConfiguration = "no-configuration"
)

// configuration keeps the entry's configuration state up to date from the log and from the agents, and appends crashes
// to the log.
type configuration struct {
	store            *state.Store
	exchange         *state.Exchange
	suspects         *state.Suspects
	attributeCrashes bool           // requests that crash engines are detected and blocked
	name             string         // of this process
	client           *logsvc.Client // nil without a log
	clock            *timer.Service
	log              logr.Logger
	metrics          *metric.Set
	newHeartbeat     func(version int64) proto.Heartbeat

	mu      sync.Mutex
	readErr error // of the last read of the log
}

// newConfiguration follows the log in grp and competes for the duty of republishing the snapshot. Without a log, the
// empty configuration is the current one until a peer has a newer version.
func newConfiguration(
	grp *group.Group, set *config.Settings, clk *timer.Service, log logr.Logger, met *metric.Set,
	newHeartbeat func(version int64) proto.Heartbeat,
) *configuration {
	addr := config.PlatformLog.Of(set)
	cfg := &configuration{store: state.NewStore(), clock: clk, log: log, metrics: met, newHeartbeat: newHeartbeat}
	cfg.suspects = state.NewSuspects(cfg.store, clk)
	cfg.attributeCrashes = config.CrashAttributionEnabled.Of(set)
	cfg.name = config.ProcessName.Of(set)
	cfg.exchange = state.NewExchange(cfg.store, clk, cfg.heartbeat)
	grp.Go("announce configuration", func(ctx context.Context) error {
		cfg.announce(ctx)
		return nil
	})
	if addr == "" {
		cfg.store.ApplyRecords(nil, 1, 1)
		return cfg
	}
	cfg.client = logsvc.New(addr)
	grp.Go("follow configuration", func(ctx context.Context) error {
		cfg.followLog(ctx)
		return nil
	})
	grp.Go("record crashes", func(ctx context.Context) error {
		cfg.appendCrashes(ctx)
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

// heartbeat returns the heartbeat message, with the crashes that the log may not contain yet.
func (cfg *configuration) heartbeat() (proto.Kind, any) {
	msg := cfg.newHeartbeat(cfg.store.Version())
	msg.Crashes = cfg.suspects.UnloggedCrashes()
	return proto.KindHeartbeat, msg
}

// announce sends the version of the configuration to the peers after each change, until ctx ends.
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

// applyReport records the configuration versions and the draining entries in an agent's report.
func (cfg *configuration) applyReport(con *link.Conn, rep proto.Report) {
	cfg.exchange.RecordVersion(statePeer(con), rep.StateVersion)
	cfg.recordEntries(rep.Entries)
}

// recordEntries records the versions of the entries that are connected to an agent, this one among them, and logs when
// another one starts to drain.
func (cfg *configuration) recordEntries(list []proto.PeerVersion) {
	for _, ent := range list {
		cfg.exchange.RecordRelayedVersion(ent.Name, proto.RoleEntry, ent.Version)
		if cfg.exchange.SetDraining(ent.Name, ent.Draining) && ent.Draining && ent.Name != cfg.name {
			cfg.log.Info("entry: another entry drains", "entry", ent.Name)
		}
	}
}

// onFrame handles configuration state messages.
func (cfg *configuration) onFrame(con *link.Conn, frm proto.Frame) {
	if frm.Kind != proto.KindState {
		return
	}
	msg, err := proto.Parse[proto.State](frm)
	if err == nil {
		err = cfg.exchange.HandleState(statePeer(con), msg)
	}
	if err != nil {
		cfg.metrics.CountDroppedFrame("state-not-taken")
		cfg.log.V(1).Info("entry: configuration state rejected", "peer", con.Peer().Name, "error", err.Error())
	}
}

// followLog reads the config stream until ctx ends.
func (cfg *configuration) followLog(ctx context.Context) {
	scan := int64(1)
	wait := time.Duration(0) // The first read returns at once, so that an empty stream is known to be empty.
	for ctx.Err() == nil {
		bat, err := cfg.client.Read(ctx, state.Stream, cfg.nextOffset(scan), maxConfigRecords, wait)
		cfg.recordReadError(err)
		if err != nil {
			wait = 0
			_ = cfg.clock.Sleep(ctx, configRetryDelay)
			continue
		}
		wait = configPollTimeout
		cfg.applyBatch(bat)
		if num := len(bat.Records); num > 0 {
			scan = bat.Records[num-1].Offset + 1
		}
	}
}

// nextOffset returns the log offset to read next: the one after the current state or, while expired records are missing
// from the state, scan, the one after the last record searched for a snapshot.
func (cfg *configuration) nextOffset(scan int64) int64 {
	if _, lost := cfg.store.Gap(); lost {
		return scan
	}
	return cfg.store.Version() + 1
}

// applyBatch applies records of the log, and logs records that have expired before they were read.
func (cfg *configuration) applyBatch(bat logsvc.Batch) {
	recs := make([]state.Record, 0, len(bat.Records))
	for _, rec := range bat.Records {
		recs = append(recs, state.Record{Offset: rec.Offset, Data: rec.Data})
	}
	before, _ := cfg.store.Gap()
	cfg.store.ApplyRecords(recs, bat.Oldest, bat.Next)
	if gap, lost := cfg.store.Gap(); lost && gap != before {
		cfg.metrics.CountEvent("configuration-gap")
		cfg.log.Info("entry: configuration records expired before they were read", "first", gap.First, "last", gap.Last)
	}
}

// recordReadError logs when reads of the log start to fail and when they succeed again.
func (cfg *configuration) recordReadError(err error) {
	cfg.mu.Lock()
	was := cfg.readErr
	cfg.readErr = err
	cfg.mu.Unlock()
	switch {
	case err != nil && was == nil:
		cfg.metrics.CountEvent("log-unavailable")
		cfg.log.Info("entry: cannot read the configuration log, keeping the last state", "error", err.Error())
	case err == nil && was != nil:
		cfg.log.Info("entry: configuration log can be read again")
	}
}

// models returns the models that an account may use. As long as the configuration restricts no models, these are all
// that the connected agents serve.
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

// grantRefusal returns the refusal of a call that the configuration does not allow.
func (cfg *configuration) grantRefusal(knd proto.UpstreamKind, account, serves string) (proto.Result, bool) {
	switch {
	case !cfg.store.Ready():
		return proto.Result{
			Outcome: proto.OutcomeNotRun, Reason: ReasonNoConfiguration, Detail: "this entry has no configuration yet",
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

// Exchange returns the entry's exchange of configuration state with other processes.
func (ent *Entry) Exchange() *state.Exchange { return ent.config.exchange }

// Upstreams calls fn with the name of each connected agent and the model or service that it serves. fn must not call
// methods of ent.
func (ent *Entry) Upstreams(fn func(name, serves string)) {
	ent.mu.Lock()
	defer ent.mu.Unlock()
	for _, con := range ent.conns {
		fn(con.Peer().Name, con.Peer().Serves)
	}
}
