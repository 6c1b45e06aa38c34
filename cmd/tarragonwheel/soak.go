package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/tarragonwheel/tarragonwheel/soak"
)

type soakCommand struct {
	Seed    uint64  `default:"1" help:"seed of the faults"`
	Minutes float64 `default:"0.5" help:"minutes during which faults are injected"`
	Fronts  int     `default:"3" help:"front processes into which faults are injected"`
	Clients int     `default:"24" help:"concurrent clients, each with one call at a time"`
	Dir     string  `help:"directory for settings and logs of the processes; a new temporary one if empty"`
}

func (cmd *soakCommand) run(ctx context.Context, std streams) error {
	if cmd.Minutes <= 0 || cmd.Fronts < 1 || cmd.Clients < 1 {
		return fmt.Errorf("soak: minutes, fronts and clients must be positive")
	}
	program, err := os.Executable()
	if err != nil {
		return fmt.Errorf("soak: find the path of this program: %w", err)
	}
	dir := cmd.Dir
	if dir == "" {
		if dir, err = os.MkdirTemp("", "tarragonwheel-soak-"); err != nil {
			return fmt.Errorf("soak: create a directory: %w", err)
		}
	}
	return soak.Run(ctx, soak.Options{
		Seed: cmd.Seed, Duration: time.Duration(cmd.Minutes * float64(time.Minute)), Fronts: cmd.Fronts,
		Clients: cmd.Clients, Program: program, Dir: dir, Out: std.out,
	})
}
