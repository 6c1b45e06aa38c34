package main

import (
	"context"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/gravitational/trace"

	"github.com/tarragonwheel/tarragonwheel/demo"
	"github.com/tarragonwheel/tarragonwheel/load"
	"github.com/tarragonwheel/tarragonwheel/timer"
)

type demoCommand struct {
	Seed uint64 `arg:"--seed" default:"1" help:"seed of the arrivals"`
}

func (cmd *demoCommand) run(ctx context.Context, std streams) error {
	return demo.Run(ctx, demo.Options{Seed: cmd.Seed}, std.out)
}

type loadCommand struct {
	Targets   []string      `arg:"--target,separate,required" help:"entry as NAME=ADDRESS; repeat to compare several"`
	KeyFiles  []string      `arg:"--key-file,separate,required" help:"account's key file as NAME=PATH; may be repeated"`
	Model     string        `arg:"required" help:"model to ask for"`
	Seed      uint64        `default:"1" help:"seed of the arrivals"`
	Rate      float64       `default:"20" help:"requests sent a second"`
	Duration  time.Duration `default:"30s" help:"time during which requests are sent"`
	Mix       string        `help:"prompt tokens, LOW-HIGH:WEIGHT separated by commas; default: the deployments' mix"`
	MaxTokens int           `arg:"--max-tokens" default:"32" help:"output tokens of a request"`
	TimeLimit time.Duration `arg:"--time-limit" default:"60s" help:"time limit of a request"`
	Alone     int           `default:"10000" help:"longest prompt of the baseline run for the slowdown; 0 for none"`
	Format    string        `default:"table" help:"table, csv or json"`
}

func (cmd *loadCommand) run(ctx context.Context, std streams) error {
	pln, err := cmd.plan()
	if err != nil {
		return err
	}
	var reps []load.ClassReport
	for _, target := range cmd.Targets {
		name, addr, found := strings.Cut(target, "=")
		if !found {
			return trace.BadParameter("--target %q does not have the form NAME=ADDRESS", target)
		}
		run := load.NewRunner(addr, timer.New())
		var alone []load.Sample
		if cmd.Alone > 0 {
			short := pln
			short.MaxPrompt = cmd.Alone
			alone = run.Run(ctx, short)
		}
		reps = append(reps, load.Summarize(name, run.Run(ctx, pln), alone, pln.Duration)...)
	}
	switch cmd.Format {
	case "json":
		return load.WriteJSON(std.out, reps)
	case "csv":
		return load.WriteCSV(std.out, reps)
	default:
		return load.WriteTable(std.out, reps)
	}
}

func (cmd *loadCommand) plan() (load.Plan, error) {
	mix, err := load.ParseMix(cmd.Mix)
	if err != nil {
		return load.Plan{}, err
	}
	if !(cmd.Rate > 0) || cmd.Duration <= 0 || cmd.TimeLimit <= 0 || cmd.MaxTokens <= 0 {
		return load.Plan{}, trace.BadParameter("rate, duration, time limit and tokens must be positive")
	}
	pln := load.Plan{
		Seed: cmd.Seed, Rate: cmd.Rate, Duration: cmd.Duration, Mix: mix, Model: cmd.Model, MaxTokens: cmd.MaxTokens,
		TimeLimit: cmd.TimeLimit,
	}
	for _, text := range cmd.KeyFiles {
		name, file, found := strings.Cut(text, "=")
		if !found {
			return load.Plan{}, trace.BadParameter("--key-file %q does not have the form NAME=PATH", text)
		}
		raw, err := os.ReadFile(file) //nolint:gosec // The operator names the file.
		if err != nil {
			return load.Plan{}, fmt.Errorf("read key file: %w", trace.BadParameter("%v", err))
		}
		pln.Accounts = append(pln.Accounts, load.Account{Name: name, Key: strings.TrimSpace(string(raw))})
	}
	return pln, nil
}
