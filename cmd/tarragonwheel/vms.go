package main

import (
	"context"
	"time"

	"github.com/tarragonwheel/tarragonwheel/group"
	"github.com/tarragonwheel/tarragonwheel/simvms"
	"github.com/tarragonwheel/tarragonwheel/timer"
)

type simVMsCommand struct {
	Listen string        `arg:"required,--listen" help:"address to listen on"`
	Lag    time.Duration `arg:"--lag" default:"0s" help:"delay until a change becomes visible"`
}

func (cmd *simVMsCommand) run(ctx context.Context, std streams) error {
	grp := group.New(ctx, "simvms")
	return serve(grp, cmd.Listen, simvms.New(timer.New(), cmd.Lag).Handler(), std.err)
}
