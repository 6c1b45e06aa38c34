package agent

import (
	"context"
	"crypto/rand"
	"fmt"
	"time"

	"github.com/gravitational/trace"

	"github.com/tarragonwheel/tarragonwheel/config"
	"github.com/tarragonwheel/tarragonwheel/engine"
	"github.com/tarragonwheel/tarragonwheel/group"
	"github.com/tarragonwheel/tarragonwheel/logsvc"
	"github.com/tarragonwheel/tarragonwheel/state"
	"github.com/tarragonwheel/tarragonwheel/weight"
)

// Reasons for which an upstream could not take a version.
const (
	ReasonOldToken       = "old-fencing-token"
	ReasonUnknownVersion = "unknown-version"
	ReasonLoadFailed     = "load-failed"
)

const (
	rollCheck   = time.Second // pause between two looks at the engine's version
	rollTries   = 3           // of a command whose outcome is not known
	rollPause   = time.Second
	loadLimit   = 15 * time.Minute // longest time that an engine may take to load a version
	reportLimit = 5 * time.Second  // for the record of a step's end to be read back
)

// roller takes the engine to the version that the configuration places on it.
type roller struct {
	agt     *Agent
	weights *weight.Client // nil without a weight store
	client  *logsvc.Client // nil without a log
}

func (agt *Agent) startRoller(grp *group.Group, set *config.Settings) {
	rol := &roller{agt: agt}
	if addr := config.PlatformWeights.Of(set); addr != "" {
		rol.weights = weight.New(addr)
	}
	if addr := config.PlatformLog.Of(set); addr != "" {
		rol.client = logsvc.New(addr)
	}
	grp.Go("roll-out", func(ctx context.Context) error {
		for ctx.Err() == nil {
			changed := agt.config.store.Changed()
			rol.check(ctx)
			select {
			case <-changed:
			case <-ctx.Done():
			case <-rol.pause(ctx, rollCheck):
			}
		}
		return nil
	})
}

func (rol *roller) pause(ctx context.Context, delay time.Duration) <-chan struct{} {
	done := make(chan struct{})
	sub := rol.agt.clock.After(delay, func() { close(done) })
	context.AfterFunc(ctx, sub.Stop)
	return done
}

// check acts on the placement of this upstream. A new engine on a replaced VM is taken to its version again, although
// the step has ended long ago.
func (rol *roller) check(ctx context.Context) {
	pla, ok := rol.agt.config.store.Placement(rol.agt.local.Name)
	have, polled := rol.agt.loadedVersion()
	if !ok || pla.Failed() || !polled || rol.agt.stopping() {
		return
	}
	if have == pla.Version || have == "" && pla.Ended { // Some engines do not say what they have loaded.
		rol.report(ctx, pla, "")
		return
	}
	reason := rol.load(ctx, pla)
	if ctx.Err() == nil {
		rol.report(ctx, pla, reason)
	}
}

// load takes the upstream out of use, loads the version and puts it back. Requests in flight end first: each has a
// deadline, so the wait is bounded.
func (rol *roller) load(ctx context.Context, pla state.Placement) (reason string) {
	rol.agt.setRolling(true)
	defer rol.agt.setRolling(false)
	rol.agt.log.Info("agent: loading a version", "model", pla.Model, "version", pla.Version, "step", pla.Step)
	if !rol.agt.awaitWork(ctx) {
		return ""
	}
	if reason := rol.permit(ctx, pla); reason != "" {
		return reason
	}
	cmd := engine.Command{Fence: pla.Step, Kind: engine.CommandLoad, Model: pla.Model, Version: pla.Version}
	var err error
	for range rollTries {
		if !rol.current(pla) {
			return ReasonOldToken // Another step has come meanwhile. The engine may not check the token itself.
		}
		err = rol.send(ctx, cmd)
		if err == nil || !trace.IsConnectionProblem(err) || ctx.Err() != nil {
			break
		}
		_ = rol.agt.clock.Sleep(ctx, rollPause)
	}
	if err == nil {
		rol.agt.poll(ctx)
		return ""
	}
	rol.agt.log.Info("agent: version not loaded", "version", pla.Version, "error", err.Error())
	switch {
	case trace.IsCompareFailed(err):
		return ReasonOldToken
	case trace.IsNotFound(err):
		return ReasonUnknownVersion
	default:
		return ReasonLoadFailed
	}
}

func (rol *roller) send(ctx context.Context, cmd engine.Command) error {
	lim, cancel := rol.agt.clock.WithTimeout(ctx, loadLimit)
	defer cancel()
	return rol.agt.engine.SendCommand(lim, cmd)
}

// current tells whether the placement is still the newest one that this agent knows.
func (rol *roller) current(pla state.Placement) bool {
	now, _ := rol.agt.config.store.Placement(rol.agt.local.Name)
	return now.Step == pla.Step
}

// permit waits for the weight store's permission. A busy or unreachable store delays the step and does not fail it.
func (rol *roller) permit(ctx context.Context, pla state.Placement) (reason string) {
	for rol.weights != nil && ctx.Err() == nil && rol.current(pla) {
		err := rol.weights.Permit(ctx, pla.Model, pla.Version)
		switch {
		case err == nil:
			return ""
		case trace.IsNotFound(err):
			return ReasonUnknownVersion
		}
		rol.agt.metrics.Event("weight-store-wait")
		_ = rol.agt.clock.Sleep(ctx, rollPause)
	}
	return ""
}

// report records the end of a step until the state shows it. The record may be written more than once, which has no
// further effect.
func (rol *roller) report(ctx context.Context, pla state.Placement, reason string) {
	if pla.Ended || rol.client == nil {
		return
	}
	if err := rol.append(ctx, state.StepEnd{Upstream: rol.agt.local.Name, Step: pla.Step, Reason: reason}); err != nil {
		rol.agt.log.Info("agent: end of a step not recorded yet", "error", err.Error())
	}
	lim, cancel := rol.agt.clock.WithTimeout(ctx, reportLimit)
	defer cancel()
	for {
		changed := rol.agt.config.store.Changed()
		if now, _ := rol.agt.config.store.Placement(rol.agt.local.Name); now.Step != pla.Step || now.Ended {
			return
		}
		select {
		case <-changed:
		case <-lim.Done():
			return
		}
	}
}

func (rol *roller) append(ctx context.Context, end state.StepEnd) error {
	raw, err := state.Entry{ID: rand.Text(), StepEnd: &end}.Encode()
	if err != nil {
		return fmt.Errorf("agent: encode the end of a step: %w", err)
	}
	if _, err := rol.client.Append(ctx, state.Stream, raw); err != nil {
		return fmt.Errorf("agent: record the end of a step: %w", err)
	}
	return nil
}

// setRolling takes the upstream out of use while it loads a version, and back.
func (agt *Agent) setRolling(rolling bool) {
	agt.mu.Lock()
	agt.rolling = rolling
	agt.setRefusal()
	agt.mu.Unlock()
	wake(agt.changed)
}

// loadedVersion returns the version that the engine has last said to have loaded, and whether it has answered yet.
func (agt *Agent) loadedVersion() (version string, polled bool) {
	agt.mu.Lock()
	defer agt.mu.Unlock()
	return agt.version, agt.listed
}
