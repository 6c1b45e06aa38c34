package main

import (
	"context"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/tarragonwheel/tarragonwheel/group"
	"github.com/tarragonwheel/tarragonwheel/httpd"
	"github.com/tarragonwheel/tarragonwheel/logs"
	"github.com/tarragonwheel/tarragonwheel/simeng"
	"github.com/tarragonwheel/tarragonwheel/simlog"
	"github.com/tarragonwheel/tarragonwheel/simsvc"
	"github.com/tarragonwheel/tarragonwheel/simwgt"
	"github.com/tarragonwheel/tarragonwheel/timer"
)

type simCommand struct {
	Engine  *simEngineCommand  `arg:"subcommand:engine" help:"model engine"`
	Log     *simLogCommand     `arg:"subcommand:log" help:"log service"`
	Svc     *simSvcCommand     `arg:"subcommand:service" help:"plain service"`
	Fault   *simFaultCommand   `arg:"subcommand:fault" help:"TCP proxy that injects faults"`
	VMs     *simVMsCommand     `arg:"subcommand:vms" help:"list of VMs"`
	Weights *simWeightsCommand `arg:"subcommand:weights" help:"weight store"`
}

type simLogCommand struct {
	Listen     string        `arg:"required,--listen" help:"address to listen on"`
	AppendRate float64       `arg:"--append-rate" default:"300" help:"limit of appends a second; 0 for no limit"`
	Retention  time.Duration `arg:"--retention" default:"0s" help:"time for which records are kept; 0 for no limit"`
}

type simEngineCommand struct {
	Listen   string        `arg:"required,--listen" help:"address to listen on"`
	Model    string        `arg:"required,--model" help:"name of the model"`
	Step     time.Duration `default:"8ms" help:"minimum time of a step, in which each request gets a token"`
	Version  string        `help:"version loaded at the start"`
	Checks   bool          `arg:"--checks-fencing" help:"refuse commands with an outdated fencing token"`
	LoadTime time.Duration `arg:"--load-time" default:"0s" help:"time to load a version"`
	Fails    string        `arg:"--fails-version" help:"version that cannot be loaded"`
	Marker   string        `arg:"--crash-marker" help:"exit on a request that contains this text; empty for never"`
}

func (cmd *simEngineCommand) run(ctx context.Context, std streams) error {
	grp := group.New(ctx, "simeng")
	mdl := simeng.DefaultModel(cmd.Model)
	mdl.StepBase = cmd.Step
	eng := simeng.New(grp, mdl, timer.New())
	eng.SetCommands(simeng.CommandOptions{
		Version: cmd.Version, ChecksFencing: cmd.Checks, LoadTime: cmd.LoadTime, FailingVersion: cmd.Fails,
	})
	if cmd.Marker != "" {
		eng.CrashOn(cmd.Marker, func() { os.Exit(exitFailed) })
	}
	return serve(grp, cmd.Listen, eng.Handler(), std.err)
}

// serve runs the HTTP server of a simulator until grp stops.
func serve(grp *group.Group, addr string, hdl http.Handler, errOut io.Writer) error {
	srv, err := httpd.Serve(grp, "sim", addr, hdl)
	if err != nil {
		return err
	}
	logs.New(errOut, false).Info("sim: listening", "address", srv.Address())
	return grp.Wait()
}

func (cmd *simLogCommand) run(ctx context.Context, std streams) error {
	grp := group.New(ctx, "simlog")
	log := simlog.New(simlog.Options{AppendRate: cmd.AppendRate, Retention: cmd.Retention, Clock: timer.New()})
	return serve(grp, cmd.Listen, log.Handler(), std.err)
}

type simSvcCommand struct {
	Listen string        `arg:"required,--listen" help:"address to listen on"`
	Delay  time.Duration `arg:"--delay" default:"0s" help:"time that each call takes"`
}

func (cmd *simSvcCommand) run(ctx context.Context, std streams) error {
	grp := group.New(ctx, "simsvc")
	svc := simsvc.New(timer.New())
	svc.SetDelay(cmd.Delay)
	return serve(grp, cmd.Listen, svc.Handler(), std.err)
}

type simWeightsCommand struct {
	Listen   string  `arg:"required,--listen" help:"address to listen on"`
	Rate     float64 `default:"10" help:"load permits granted a second"`
	Versions string  `arg:"--versions" help:"known versions, separated by commas"`
}

func (cmd *simWeightsCommand) run(ctx context.Context, std streams) error {
	grp := group.New(ctx, "simwgt")
	return serve(grp, cmd.Listen, simwgt.New(cmd.Rate, strings.Split(cmd.Versions, ",")).Handler(), std.err)
}
