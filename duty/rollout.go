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

const rollOutCheckInterval = time.Second

// Reasons why a roll-out waits.
const (
	WaitLoading    = "loading"
	WaitFailed     = "paused-after-failure"
	WaitNoHeadroom = "no-headroom" // a further upstream out of use would leave fewer replicas than are wanted
)

// Upstream is an upstream as seen by the process that performs the roll-out.
type Upstream struct {
	Name    string
	Model   string
	Version string // loaded version, or "" if unknown
}

// Progress is the state of a model's roll-out.
type Progress struct {
	Model     string   `json:"model"`
	Version   string   `json:"version"`
	Upstreams int      `json:"upstreams"`
	Done      int      `json:"done"`
	Loading   []string `json:"loading,omitempty"`
	Failed    []string `json:"failed,omitempty"` // each as "UPSTREAM: REASON"
	Wait      string   `json:"wait,omitempty"`   // why there is no next step now, one of the Wait constants

	nextUpstreams []string // upstreams of the next step
}

// RollOuts brings upstreams to the configured version of their model, a few upstreams per step. All its progress is in
// the replicated state, so that any process can continue where another one has stopped.
type RollOuts struct {
	elector   *Elector
	opts      Options
	parallel  int
	upstreams func() []Upstream
	log       logr.Logger
	metrics   *metric.Set
	lease     Lease // last lease of this process, if any
}

// NewRollOuts returns RollOuts over the upstreams that the function upstreams returns. At most parallel upstreams of a
// model load a version at the same time. NewRollOuts sets the duty of opts.
func NewRollOuts(
	opts Options, parallel int, upstreams func() []Upstream, log logr.Logger, met *metric.Set,
) *RollOuts {
	opts.Duty = state.DutyRollOut
	return &RollOuts{
		elector: New(opts), opts: opts, parallel: parallel, upstreams: upstreams, log: log, metrics: met,
	}
}

// Run calls Check about every second until ctx is done. Jitter keeps processes from claiming the duty at the same time.
func (rol *RollOuts) Run(ctx context.Context) {
	for ctx.Err() == nil {
		_ = rol.opts.Clock.Sleep(ctx, rollOutCheckInterval/2+rand.N(rollOutCheckInterval))
		if err := rol.Check(ctx); err != nil {
			rol.metrics.CountEvent("roll-out-step-not-written")
			rol.log.Info("duty: roll-out step not written", "error", err.Error())
		}
	}
}

// Check writes the next step of each roll-out that has one, if this process holds or acquires the duty.
func (rol *RollOuts) Check(ctx context.Context) error {
	rol.elector.Observe()
	if !slices.ContainsFunc(rol.Progress(), Progress.hasNextStep) {
		return nil
	}
	lse, ok, err := rol.ensureLease(ctx)
	if err != nil || !ok {
		return err
	}
	// The state may have changed while the claim was written.
	for _, prg := range rol.Progress() {
		if !prg.hasNextStep() {
			continue
		}
		if err := rol.writeStep(ctx, lse, prg); err != nil {
			return err
		}
	}
	return nil
}

// ensureLease returns this process's lease while it is valid, or acquires a new one if the duty is free.
func (rol *RollOuts) ensureLease(ctx context.Context) (lse Lease, ok bool, err error) {
	if rol.lease.token != 0 && rol.lease.Valid() {
		return rol.lease, true, nil
	}
	lse, ok, err = rol.elector.Acquire(ctx)
	if ok {
		rol.lease = lse
	}
	return lse, ok, err
}

// hasNextStep tells whether a step can be taken now.
func (prg Progress) hasNextStep() bool { return len(prg.nextUpstreams) > 0 }

// writeStep appends the next step of a roll-out to the log, unless the lease is no longer valid.
func (rol *RollOuts) writeStep(ctx context.Context, lse Lease, prg Progress) error {
	raw, err := state.Entry{ID: crand.Text(), Step: &state.Step{
		Fence: lse.Token(), Model: prg.Model, Version: prg.Version, Upstreams: prg.nextUpstreams,
	}}.Encode()
	if err != nil {
		return fmt.Errorf("duty: roll-out: %w", err)
	}
	if !lse.Valid() {
		rol.metrics.CountEvent("duty-lost")
		return nil
	}
	if err := rol.opts.Append(ctx, raw); err != nil {
		return fmt.Errorf("duty: roll-out: %w", err)
	}
	rol.metrics.CountEvent("roll-out-step")
	rol.log.Info("duty: roll-out step", "model", prg.Model, "version", prg.Version, "upstreams", prg.nextUpstreams)
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
			list = append(list, rol.modelProgress(mod, members[mod.Name]))
		}
	}
	return list
}

// modelProgress returns the progress of a model's roll-out with its next step. The first upstream loads a version
// alone, so that a version that cannot be loaded takes only one upstream out of use.
func (rol *RollOuts) modelProgress(mod state.NamedModel, members []Upstream) Progress {
	slices.SortFunc(members, func(one, two Upstream) int {
		if one.Name < two.Name {
			return -1
		}
		return 1
	})
	prg := Progress{Model: mod.Name, Version: mod.Model.Version, Upstreams: len(members)}
	serving := 0    // upstreams that are neither loading a version nor drained
	proven := false // an upstream has loaded the version in this roll-out
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
	rol.planStep(&prg, pending, serving-mod.Model.Replicas, proven)
	return prg
}

// planStep sets the upstreams of the next step, or the reason why there is none. The headroom is the number of
// upstreams that may go out of use without leaving fewer replicas than are wanted. Until the version is proven, one
// upstream loads it at a time.
func (rol *RollOuts) planStep(prg *Progress, pending []string, headroom int, proven bool) {
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
		prg.nextUpstreams = pending[:count]
	case len(prg.Loading) > 0:
		prg.Wait = WaitLoading
	default:
		prg.Wait = WaitNoHeadroom
	}
}
