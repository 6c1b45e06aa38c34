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

// Reasons for which an upstream could not load a version.
const (
	ReasonOldToken       = "old-fencing-token"
	ReasonUnknownVersion = "unknown-version"
	ReasonLoadFailed     = "load-failed"
)

const (
	rollOutCheckInterval = time.Second // interval between two checks of the engine's version
	maxLoadAttempts      = 3           // attempts at a load command whose outcome is unknown
	loadRetryDelay       = time.Second
	loadTimeout          = 15 * time.Minute // longest time for an engine to load a version
	stepEndTimeout       = 5 * time.Second  // wait until the record of a step's end is in the configuration state
)

// rollOut makes the engine load the version of the model that the configuration places on it.
type rollOut struct {
	agent       *Agent
	weightStore *weight.Client // nil without a weight store
	logClient   *logsvc.Client // nil without a log
}

// startRollOut starts a goroutine in grp that checks the engine's version at each change of the configuration, and once
// per rollOutCheckInterval.
func (agt *Agent) startRollOut(grp *group.Group, set *config.Settings) {
	rol := &rollOut{agent: agt}
	if addr := config.PlatformWeights.Of(set); addr != "" {
		rol.weightStore = weight.New(addr)
	}
	if addr := config.PlatformLog.Of(set); addr != "" {
		rol.logClient = logsvc.New(addr)
	}
	grp.Go("roll-out", func(ctx context.Context) error {
		for ctx.Err() == nil {
			changed := agt.config.store.Changed()
			rol.check(ctx)
			select {
			case <-changed:
			case <-ctx.Done():
			case <-rol.pause(ctx, rollOutCheckInterval):
			}
		}
		return nil
	})
}

// pause returns a channel that is closed after the delay, but not after ctx has ended.
func (rol *rollOut) pause(ctx context.Context, delay time.Duration) <-chan struct{} {
	done := make(chan struct{})
	sub := rol.agent.clock.After(delay, func() { close(done) })
	context.AfterFunc(ctx, sub.Stop)
	return done
}

// check loads the version that is placed on this upstream, unless the engine has it already, and records the end of the
// step. A step that has ended is checked too: the new engine of a replaced VM must load its version again.
func (rol *rollOut) check(ctx context.Context) {
	pla, ok := rol.agent.config.store.Placement(rol.agent.local.Name)
	have, polled := rol.agent.loadedVersion()
	if !ok || pla.Failed() || !polled || rol.agent.stopping() {
		return
	}
	if have == pla.Version || have == "" && pla.Ended { // Some engines do not report their version.
		rol.recordStepEnd(ctx, pla, "")
		return
	}
	reason := rol.loadVersion(ctx, pla)
	if ctx.Err() == nil {
		rol.recordStepEnd(ctx, pla, reason)
	}
}

// loadVersion makes the upstream refuse requests while it loads the version. It waits for the requests in flight first.
// Each has a deadline, so the wait is bounded. It returns the reason of a failure, or "".
func (rol *rollOut) loadVersion(ctx context.Context, pla state.Placement) (reason string) {
	rol.agent.setLoading(true)
	defer rol.agent.setLoading(false)
	rol.agent.log.Info("agent: loading a version", "model", pla.Model, "version", pla.Version, "step", pla.Step)
	if !rol.agent.awaitIdle(ctx) {
		return ""
	}
	if reason := rol.awaitPermit(ctx, pla); reason != "" {
		return reason
	}
	cmd := engine.Command{Fence: pla.Step, Kind: engine.CommandLoad, Model: pla.Model, Version: pla.Version}
	var err error
	for range maxLoadAttempts {
		if !rol.isCurrent(pla) {
			return ReasonOldToken // There is a newer step. The engine may not check the fencing token itself.
		}
		err = rol.sendCommand(ctx, cmd)
		if err == nil || !trace.IsConnectionProblem(err) || ctx.Err() != nil {
			break
		}
		_ = rol.agent.clock.Sleep(ctx, loadRetryDelay)
	}
	if err == nil {
		rol.agent.poll(ctx)
		return ""
	}
	rol.agent.log.Info("agent: version not loaded", "version", pla.Version, "error", err.Error())
	switch {
	case trace.IsCompareFailed(err):
		return ReasonOldToken
	case trace.IsNotFound(err):
		return ReasonUnknownVersion
	default:
		return ReasonLoadFailed
	}
}

func (rol *rollOut) sendCommand(ctx context.Context, cmd engine.Command) error {
	lim, cancel := rol.agent.clock.WithTimeout(ctx, loadTimeout)
	defer cancel()
	return rol.agent.engine.SendCommand(lim, cmd)
}

// isCurrent reports whether the placement is still the newest one that this agent has received.
func (rol *rollOut) isCurrent(pla state.Placement) bool {
	now, _ := rol.agent.config.store.Placement(rol.agent.local.Name)
	return now.Step == pla.Step
}

// awaitPermit waits for the weight store's permission to load the version. A busy or unreachable store delays the step
// but does not make it fail. It returns the reason of a failure, or "".
func (rol *rollOut) awaitPermit(ctx context.Context, pla state.Placement) (reason string) {
	for rol.weightStore != nil && ctx.Err() == nil && rol.isCurrent(pla) {
		err := rol.weightStore.Permit(ctx, pla.Model, pla.Version)
		switch {
		case err == nil:
			return ""
		case trace.IsNotFound(err):
			return ReasonUnknownVersion
		}
		rol.agent.metrics.CountEvent("weight-store-wait")
		_ = rol.agent.clock.Sleep(ctx, loadRetryDelay)
	}
	return ""
}

// recordStepEnd appends the end of a step to the log, and waits until the configuration state contains it. It is called
// again at the next check if it does not. A repeated record has no effect.
func (rol *rollOut) recordStepEnd(ctx context.Context, pla state.Placement, reason string) {
	if pla.Ended || rol.logClient == nil {
		return
	}
	end := state.StepEnd{Upstream: rol.agent.local.Name, Step: pla.Step, Reason: reason}
	if err := rol.appendStepEnd(ctx, end); err != nil {
		rol.agent.log.Info("agent: end of a step not recorded yet", "error", err.Error())
	}
	lim, cancel := rol.agent.clock.WithTimeout(ctx, stepEndTimeout)
	defer cancel()
	for {
		changed := rol.agent.config.store.Changed()
		if now, _ := rol.agent.config.store.Placement(rol.agent.local.Name); now.Step != pla.Step || now.Ended {
			return
		}
		select {
		case <-changed:
		case <-lim.Done():
			return
		}
	}
}

func (rol *rollOut) appendStepEnd(ctx context.Context, end state.StepEnd) error {
	raw, err := state.Entry{ID: rand.Text(), StepEnd: &end}.Encode()
	if err != nil {
		return fmt.Errorf("agent: encode the end of a step: %w", err)
	}
	if _, err := rol.logClient.Append(ctx, state.Stream, raw); err != nil {
		return fmt.Errorf("agent: record the end of a step: %w", err)
	}
	return nil
}

// setLoading makes the queue refuse requests while the engine loads a version, and accept them again afterwards.
func (agt *Agent) setLoading(rolling bool) {
	agt.mu.Lock()
	agt.loading = rolling
	agt.updateRefusal()
	agt.mu.Unlock()
	signal(agt.reportNow)
}

// loadedVersion returns the version that the engine last reported, and whether the engine has responded since the
// start.
func (agt *Agent) loadedVersion() (version string, polled bool) {
	agt.mu.Lock()
	defer agt.mu.Unlock()
	return agt.version, agt.swept
}
