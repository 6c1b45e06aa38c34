// Command tarragonwheel runs the processes of the serving layer and its operator commands.
//
// Exit codes: 0 success, 1 failure, 2 invalid usage or settings.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/alexflint/go-arg"
	"github.com/gravitational/trace"
)

// Exit codes.
const (
	exitOK     = 0
	exitFailed = 1
	exitUsage  = 2
)

// command holds the subcommands of the program.
type command struct {
	Entry   *entryCommand   `arg:"subcommand:entry" help:"run an entry, which serves callers"`
	Agent   *agentCommand   `arg:"subcommand:agent" help:"run an agent, which manages one upstream"`
	Front   *frontCommand   `arg:"subcommand:front" help:"run a front, which serves callers on the users' platform"`
	Check   *checkCommand   `arg:"subcommand:check" help:"check a settings file"`
	Config  *configCommand  `arg:"subcommand:config" help:"commands for configurations of fronts"`
	Sim     *simCommand     `arg:"subcommand:sim" help:"run a simulator of an external system"`
	Plan    *planCommand    `arg:"subcommand:plan" help:"show what a declaration would change; changes nothing"`
	Confirm *confirmCommand `arg:"subcommand:confirm" help:"apply a saved plan"`
	Outcome *outcomeCommand `arg:"subcommand:outcome" help:"show whether a confirmed plan was applied"`
	Undo    *undoCommand    `arg:"subcommand:undo" help:"show the plan that undoes an earlier plan; changes nothing"`
	Status  *statusCommand  `arg:"subcommand:status" help:"show the configuration and which process has which version"`
	History *historyCommand `arg:"subcommand:history" help:"list confirmed plans, applied or refused"`
	Explain *explainCommand `arg:"subcommand:explain" help:"show who set an object, when and with which plan"`

	Suspects *suspectsCommand `arg:"subcommand:suspects" help:"list requests that ran on crashed engines"`
	Unblock  *unblockCommand  `arg:"subcommand:unblock" help:"let a suspected or blocked request run again"`

	Load *loadCommand `arg:"subcommand:load" help:"send a reproducible mix of requests and report latencies"`
	Demo *demoCommand `arg:"subcommand:demo" help:"run entries, agents and engine simulators in one process"`
	Soak *soakCommand `arg:"subcommand:soak" help:"inject random faults into fronts and check the system's invariants"`
}

// Description implements arg.Described.
func (command) Description() string {
	return "Serving layer for prompts of very different lengths.\n" +
		"Exit codes: 0 success, 1 failure, 2 invalid usage or settings."
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	context.AfterFunc(ctx, stop) // A second signal ends the process at once.
	code := run(ctx, os.Args[1:], os.Stdout, os.Stderr)
	stop()
	os.Exit(code)
}

// run parses the arguments, runs the chosen subcommand and returns the exit code.
func run(ctx context.Context, args []string, out, errOut io.Writer) int {
	var cmd command
	par, err := arg.NewParser(arg.Config{Program: "tarragonwheel", Out: errOut}, &cmd)
	if err != nil {
		_, _ = fmt.Fprintln(errOut, err)
		return exitFailed
	}
	err = par.Parse(args)
	switch {
	case errors.Is(err, arg.ErrHelp):
		_ = par.WriteHelpForSubcommand(out, par.SubcommandNames()...)
		return exitOK
	case err != nil:
		_, _ = fmt.Fprintln(errOut, "error:", err)
		_ = par.WriteUsageForSubcommand(errOut, par.SubcommandNames()...)
		return exitUsage
	case par.Subcommand() == nil:
		par.WriteHelp(errOut)
		return exitUsage
	}
	sub, ok := par.Subcommand().(runnable)
	if !ok {
		_, _ = fmt.Fprintln(errOut, "error: a subcommand is missing")
		_ = par.WriteHelpForSubcommand(errOut, par.SubcommandNames()...)
		return exitUsage
	}
	return exitCode(sub.run(ctx, streams{out: out, err: errOut}), errOut)
}

// streams are the outputs of a subcommand.
type streams struct {
	out io.Writer
	err io.Writer
}

// runnable is a subcommand. It is an interface because go-arg returns the chosen subcommand as any.
type runnable interface {
	run(ctx context.Context, std streams) error
}

func exitCode(err error, errOut io.Writer) int {
	if err == nil {
		return exitOK
	}
	_, _ = fmt.Fprintln(errOut, "error:", err)
	if trace.IsBadParameter(err) {
		return exitUsage
	}
	return exitFailed
}
