package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/tarragonwheel/tarragonwheel/config"
	"github.com/tarragonwheel/tarragonwheel/front"
	"github.com/tarragonwheel/tarragonwheel/group"
	"github.com/tarragonwheel/tarragonwheel/logs"
	"github.com/tarragonwheel/tarragonwheel/metric"
	"github.com/tarragonwheel/tarragonwheel/timer"
)

type frontCommand struct {
	Settings string `arg:"required,--settings" help:"settings file (INI)"`
}

func (cmd *frontCommand) run(ctx context.Context, std streams) error {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	set, err := config.Load(cmd.Settings, "front")
	if err != nil {
		return err
	}
	limitMemory(config.FrontMemory.Of(set))
	grp := group.New(context.WithoutCancel(ctx), "front") // The signal starts the drain; the group stops after it.
	mts := metric.New()
	out := logs.NewBounded(grp, std.out, func() { mts.CountEvent("log-line-dropped") })
	log := logs.New(out, config.ProcessDebug.Of(set)).WithValues("process", config.ProcessName.Of(set))
	frt, err := front.New(grp, set, timer.New(), log, mts)
	if err != nil {
		_ = grp.Stop()
		return fmt.Errorf("start front: %w", err)
	}
	if err := serveMetrics(grp, set, mts, frt.Ready, log); err != nil {
		return err
	}
	frt.WatchSettings(cmd.Settings, hup)
	log.Info("front: listening", "address", frt.Address())
	return runUntilDrained(ctx, grp, frt.Drain)
}

// limitMemory sets the soft memory limit of the Go runtime to half of the memory, in MB, that the process may use.
func limitMemory(megabytes int) {
	if megabytes > 0 {
		debug.SetMemoryLimit(int64(megabytes) << 19)
	}
}
