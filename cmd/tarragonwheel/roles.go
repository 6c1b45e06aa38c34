package main

import (
	"context"
	"fmt"
	"io"

	"github.com/go-logr/logr"

	"github.com/tarragonwheel/tarragonwheel/admin"
	"github.com/tarragonwheel/tarragonwheel/agent"
	"github.com/tarragonwheel/tarragonwheel/config"
	"github.com/tarragonwheel/tarragonwheel/entry"
	"github.com/tarragonwheel/tarragonwheel/group"
	"github.com/tarragonwheel/tarragonwheel/intent"
	"github.com/tarragonwheel/tarragonwheel/logs"
	"github.com/tarragonwheel/tarragonwheel/metric"
	"github.com/tarragonwheel/tarragonwheel/timer"
)

type entryCommand struct {
	Settings string `arg:"required,--settings" help:"settings file (INI)"`
}

type agentCommand struct {
	Settings string `arg:"required,--settings" help:"settings file (INI)"`
}

type checkCommand struct {
	Settings string `arg:"required,--settings" help:"settings file (INI)"`
	Role     string `arg:"required,--role" help:"entry, agent or front"`
}

// readSettings reads settings and secrets. It runs before any socket is opened, so that invalid ones stop the start.
func readSettings(file, role string, errOut io.Writer) (*config.Settings, *config.Secrets, logr.Logger, error) {
	set, err := config.Load(file, role)
	if err != nil {
		return nil, nil, logr.Discard(), err
	}
	sec, err := config.LoadSecrets(config.ProcessSecrets.Of(set))
	if err != nil {
		return nil, nil, logr.Discard(), err
	}
	log := logs.New(errOut, config.ProcessDebug.Of(set)).WithValues("process", config.ProcessName.Of(set))
	return set, sec, log, nil
}

func (cmd *entryCommand) run(ctx context.Context, std streams) error {
	set, sec, log, err := readSettings(cmd.Settings, "entry", std.err)
	if err != nil {
		return err
	}
	grp := group.New(context.WithoutCancel(ctx), "entry") // The signal starts the drain; the group stops after it.
	ent, err := entry.New(grp, set, sec, timer.New(), log)
	if err != nil {
		_ = grp.Stop()
		return fmt.Errorf("start entry: %w", err)
	}
	if err := serveMetrics(grp, set, ent.Metrics(), ent.Ready, log); err != nil {
		return err
	}
	adm, err := admin.New(grp, set, sec, timer.New(), log, ent.Metrics(), adminSource(set, ent))
	if err != nil {
		_ = grp.Stop()
		return fmt.Errorf("start operator API: %w", err)
	}
	log.Info("entry: listening", "address", ent.Address(), "admin", adm.Address())
	return runUntilDrained(ctx, grp, ent.Drain)
}

// adminSource connects the operator API to the parts of the entry that it shows and changes.
func adminSource(set *config.Settings, ent *entry.Entry) admin.Source {
	return admin.Source{
		Name: config.ProcessName.Of(set), Store: ent.Configuration(), Exchange: ent.Exchange(),
		Suspects: ent.Suspects(),
		Upstreams: func() (list []intent.Upstream) {
			ent.Upstreams(func(name, serves string) {
				list = append(list, intent.Upstream{Name: name, Model: serves})
			})
			return list
		},
		RollOuts: ent.RollOuts,
	}
}

func (cmd *agentCommand) run(ctx context.Context, std streams) error {
	set, sec, log, err := readSettings(cmd.Settings, "agent", std.err)
	if err != nil {
		return err
	}
	grp := group.New(context.WithoutCancel(ctx), "agent") // The signal starts the drain; the group stops after it.
	agt, err := agent.New(grp, set, sec, timer.New(), log)
	if err != nil {
		_ = grp.Stop()
		return fmt.Errorf("start agent: %w", err)
	}
	if err := serveMetrics(grp, set, agt.Metrics(), agt.Ready, log); err != nil {
		return err
	}
	log.Info("agent: listening", "address", agt.Address())
	return runUntilDrained(ctx, grp, agt.Drain)
}

// runUntilDrained waits until a signal ends ctx, then drains the process and stops the group. It returns early if the
// group fails.
func runUntilDrained(ctx context.Context, grp *group.Group, drain func(ctx context.Context)) error {
	select {
	case <-ctx.Done():
		drain(grp.Context())
		return grp.Stop()
	case <-grp.Context().Done():
		return grp.Wait()
	}
}

func (cmd *checkCommand) run(_ context.Context, std streams) error {
	set, err := config.Load(cmd.Settings, cmd.Role)
	if err != nil {
		return err
	}
	if cmd.Role == "front" { // A front has no secrets file; its API keys are part of the configuration.
		_, err = fmt.Fprintln(std.out, "settings are valid")
		return err
	}
	if _, err := config.LoadSecrets(config.ProcessSecrets.Of(set)); err != nil {
		return err
	}
	_, err = fmt.Fprintln(std.out, "settings and secrets are valid")
	return err
}

func serveMetrics(
	grp *group.Group, set *config.Settings, mts *metric.Set, ready func() bool, log logr.Logger,
) error {
	addr := config.ProcessMetrics.Of(set)
	if addr == "" {
		return nil
	}
	served, err := mts.Serve(grp, addr, ready)
	if err != nil {
		_ = grp.Stop()
		return fmt.Errorf("start metrics: %w", err)
	}
	log.Info("metrics: served", "address", served)
	return nil
}
