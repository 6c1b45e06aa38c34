package duty

import (
	"context"
	crand "crypto/rand"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/go-logr/logr"

	"github.com/tarragonwheel/tarragonwheel/metric"
	"github.com/tarragonwheel/tarragonwheel/state"
)

const rollOutInterval = time.Second

// Reasons for which a roll-out waits.
const (
	WaitLoading    = "loading"
	WaitFailed     = "paused-after-failure"
	WaitNoHeadroom = "no-headroom" // a further upstream out of use would leave fewer replicas than are wanted
)

// Upstream is an upstream as the process that rolls out sees it.
type Upstream struct {
	Name    string
	Model   string
	Version string // loaded, or "" if it is not known
}

// Progress is the state of a model's roll-out.
type Progress struct {
	Model   string   `json:"model"`
	Version string   `json:"version"`
	Members int      `json:"upstreams"`
	Done    int      `json:"done"`
	Loading []string `json:"loading,omitempty"`
	Failed  []string `json:"failed,omitempty"` // as UPSTREAM: REASON
	Wait    string   `json:"wait,omitempty"`   // why no further step is taken now

	next []string
}

// RollOuts takes upstreams to the wanted version of their model in steps. All that it has done is in the state, so
// that any process can go on where another one has stopped.
type RollOuts struct {
	keeper    *Keeper
	opts      Options
	parallel  int
	upstreams func() []Upstream
	log       logr.Logger
	metrics   *metric.Set
	held      Held // the last claim of this process, if any
}

// NewRollOuts returns RollOuts over the upstreams that the function returns. It sets the duty of opts.
func NewRollOuts(
	opts Options, parallel int, upstreams func() []Upstream, log logr.Logger, met *metric.Set,
) *RollOuts {
	opts.Duty = state.DutyRollOut
	return &RollOuts{
		keeper: New(opts), opts: opts, parallel: parallel, upstreams: upstreams, log: log, metrics: met,
	}
}

// Run checks until ctx ends. Random delays keep processes from claiming at the same time.
func (rol *RollOuts) Run(ctx context.Context) {
	for ctx.Err() == nil {
		_ = rol.opts.Clock.Sleep(ctx, rollOutInterval/2+rand.N(rollOutInterval))
		if err := rol.Check(ctx); err != nil {
			rol.metrics.Event("roll-out-step-not-written")
			rol.log.Info("duty: roll-out step not written", "error", err.Error())
		}
	}
}

// Check takes the next step of each roll-out that can go on, if this process has or acquires the duty.
func (rol *RollOuts) Check(ctx context.Context) error {
	rol.keeper.Observe()
	if !slices.ContainsFunc(rol.Progress(), Progress.ready) {
		return nil
	}
	held, ok, err := rol.hold(ctx)
	if err != nil || !ok {
		return err
	}
	// The state may have moved while the claim was written.
	for _, prg := range rol.Progress() {
		if !prg.ready() {
			continue
		}
		if err := rol.take(ctx, held, prg); err != nil {
			return err
		}
	}
	return nil
}

// hold returns this process's claim, or a new one if the duty is free.
func (rol *RollOuts) hold(ctx context.Context) (held Held, ok bool, err error) {
	if rol.held.token != 0 && rol.held.Valid() {
		return rol.held, true, nil
	}
	held, ok, err = rol.keeper.Acquire(ctx)
	if ok {
		rol.held = held
	}
	return held, ok, err
}

func (prg Progress) ready() bool { return len(prg.next) > 0 }

func (rol *RollOuts) take(ctx context.Context, held Held, prg Progress) error {
	raw, err := state.Entry{ID: crand.Text(), Step: &state.Step{
		Fence: held.Token(), Model: prg.Model, Version: prg.Version, Upstreams: prg.next,
	}}.Encode()
	if err != nil {
		return fmt.Errorf("duty: roll-out: %w", err)
	}
	if !held.Valid() {
		rol.metrics.Event("duty-lost")
		return nil
	}
	if err := rol.opts.Append(ctx, raw); err != nil {
		return fmt.Errorf("duty: roll-out: %w", err)
	}
	rol.metrics.Event("roll-out-step")
	rol.log.Info("duty: roll-out step", "model", prg.Model, "version", prg.Version, "upstreams", prg.next)
	return nil
}

// Progress returns the state of the roll-out of each model whose version is configured.
func (rol *RollOuts) Progress() []Progress {
	members := make(map[string][]Upstream)
	for _, ups := range rol.upstreams() {
		members[ups.Model] = append(members[ups.Model], ups)
	}
	var list []Progress
	for _, mod := range rol.opts.Store.ModelList() {
		if mod.Model.Version != "" {
			list = append(list, rol.assess(mod, members[mod.Name]))
		}
	}
	return list
}

// assess counts and decides the next step. The first upstream loads a version alone, so that a version that cannot
// be loaded takes one upstream out of use and no more.
func (rol *RollOuts) assess(mod state.NamedModel, members []Upstream) Progress {
	slices.SortFunc(members, func(one, two Upstream) int {
		if one.Name < two.Name {
			return -1
		}
		return 1
	})
	prg := Progress{Model: mod.Name, Version: mod.Model.Version, Members: len(members)}
	serving := 0
	proven := false
	var pending []string
	for _, ups := range members {
		pla, _ := rol.opts.Store.Placement(ups.Name)
		current := pla.Model == mod.Name && pla.Version == mod.Model.Version
		if !pla.Loading() && !rol.opts.Store.Drained(ups.Name) {
			serving++
		}
		switch {
		case current && pla.Loading():
			prg.Loading = append(prg.Loading, ups.Name)
		case current && pla.Failed() && pla.Step > mod.Changed:
			prg.Failed = append(prg.Failed, ups.Name+": "+pla.Reason)
		case current && pla.Ended && !pla.Failed(), ups.Version == mod.Model.Version:
			prg.Done++
			proven = proven || current
		default:
			pending = append(pending, ups.Name)
		}
	}
	rol.plan(&prg, pending, serving-mod.Model.Replicas, proven)
	return prg
}

// plan chooses the upstreams of the next step. Headroom is the number of upstreams that may go out of use.
func (rol *RollOuts) plan(prg *Progress, pending []string, headroom int, proven bool) {
	limit := rol.parallel
	if !proven {
		limit = 1
	}
	count := min(limit-len(prg.Loading), headroom, len(pending))
	switch {
	case len(pending) == 0:
	case len(prg.Failed) > 0:
		prg.Wait = WaitFailed
	case count > 0:
		prg.next = pending[:count]
	case len(prg.Loading) > 0:
		prg.Wait = WaitLoading
	default:
		prg.Wait = WaitNoHeadroom
	}
}
