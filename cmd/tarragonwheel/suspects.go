package main

import (
	"context"
	"strings"

	"github.com/gravitational/trace"

	"github.com/tarragonwheel/tarragonwheel/admin"
	"github.com/tarragonwheel/tarragonwheel/crash"
	"github.com/tarragonwheel/tarragonwheel/proto"
)

type suspectsCommand struct{ operatorFlags }

type unblockCommand struct {
	operatorFlags
	Fingerprint string `arg:"positional,required" help:"fingerprint, as shown by the suspects command"`
}

func (cmd *suspectsCommand) run(ctx context.Context, std streams) error {
	cli, err := cmd.client()
	if err != nil {
		return err
	}
	sus, err := cli.Suspects(ctx)
	if err != nil {
		return err
	}
	return cmd.print(std, sus, func(out *strings.Builder) {
		writeSuspicions(out, "Blocked, each crashed two engines", sus.Blocked)
		writeSuspicions(out, "Suspected, run one at a time on an engine", sus.Suspects)
		line(out, "Unblocked: %d", len(sus.Unblocks))
		for _, unb := range sus.Unblocks {
			line(out, "  %s  by %s at %s", unb.Fingerprint, unb.Operator, formatTime(unb.At))
		}
	})
}

func writeSuspicions(out *strings.Builder, title string, list []crash.Suspicion) {
	line(out, "%s: %d", title, len(list))
	for _, sus := range list {
		line(out, "  %s  crash %s at %s, upstream %s, %d other requests; until %s", sus.Fingerprint, sus.Crash,
			formatTime(sus.At), sus.Upstream, sus.Others, formatTime(sus.Until))
	}
}

func (cmd *unblockCommand) run(ctx context.Context, std streams) error {
	fpr, err := proto.ParseFingerprint(cmd.Fingerprint)
	if err != nil {
		return err
	}
	cli, err := cmd.client()
	if err != nil {
		return err
	}
	out, err := cli.Unblock(ctx, fpr)
	if err != nil {
		return err
	}
	err = cmd.print(std, out, func(txt *strings.Builder) {
		line(txt, "Unblocking of %s (was %s): %s", out.Fingerprint, out.Before, out.Outcome)
		if out.Detail != "" {
			line(txt, "%s", out.Detail)
		}
	})
	if err != nil || out.Outcome == admin.OutcomeActive {
		return err
	}
	return trace.CompareFailed("the unblocking is %s", out.Outcome)
}
