package main

import (
	"context"
	"fmt"
	"strings"

	"github.com/gravitational/trace"

	"github.com/tarragonwheel/tarragonwheel/fault"
	"github.com/tarragonwheel/tarragonwheel/group"
	"github.com/tarragonwheel/tarragonwheel/timer"
)

type simFaultCommand struct {
	Listen string   `arg:"required,--listen" help:"address of the control API"`
	Routes []string `arg:"--route,separate" help:"route as NAME=LISTEN>TARGET; may be repeated"`
}

func (cmd *simFaultCommand) run(ctx context.Context, std streams) error {
	grp := group.New(ctx, "fault")
	prx := fault.New(grp, timer.New())
	for _, text := range cmd.Routes {
		if err := addRoute(prx, text); err != nil {
			_ = grp.Stop()
			return fmt.Errorf("route %q: %w", text, err)
		}
	}
	return serve(grp, cmd.Listen, prx.Handler(), std.err)
}

// addRoute adds a route given as NAME=LISTEN>TARGET.
func addRoute(prx *fault.Proxy, text string) error {
	name, rest, hasName := strings.Cut(text, "=")
	listen, target, hasTarget := strings.Cut(rest, ">")
	if !hasName || !hasTarget {
		return trace.BadParameter("it must have the form NAME=LISTEN>TARGET")
	}
	_, err := prx.Add(name, listen, target)
	return err
}
