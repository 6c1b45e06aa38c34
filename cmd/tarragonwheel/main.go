// Command tarragonwheel runs the processes of the serving layer and its operator commands.
//
// Exit codes: 0 well, 1 failed, 2 bad usage or settings.
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
	exitWell   = 0
	exitFailed = 1
	exitUsage  = 2
)

// command is the command line.
type command struct {
	Entry   *entryCommand   `arg:"subcommand:entry" help:"run an entry, which serves callers"`
	Agent   *agentCommand   `arg:"subcommand:agent" help:"run an agent, beside an upstream"`
	Front   *frontCommand   `arg:"subcommand:front" help:"run a front, which serves callers on the users' platform"`
	Check   *checkCommand   `arg:"subcommand:check" help:"check a settings file"`
	Sim     *simCommand     `arg:"subcommand:sim" help:"run a stand-in for an outside system"`
	Plan    *planCommand    `arg:"subcommand:plan" help:"show what a declaration would change; changes nothing"`
	Confirm *confirmCommand `arg:"subcommand:confirm" help:"put a saved plan in force"`
	Outcome *outcomeCommand `arg:"subcommand:outcome" help:"ask what became of a confirm"`
	Undo    *undoCommand    `arg:"subcommand:undo" help:"show the plan that undoes an earlier plan; changes nothing"`
	Status  *statusCommand  `arg:"subcommand:status" help:"show the configuration and who has which version"`
	History *historyCommand `arg:"subcommand:history" help:"list confirms"`
	Explain *explainCommand `arg:"subcommand:explain" help:"show who made an object as it is"`

	Suspects *suspectsCommand `arg:"subcommand:suspects" help:"list requests that ran on crashed engines"`
	Unblock  *unblockCommand  `arg:"subcommand:unblock" help:"let a request run again that was suspected or refused"`

	Load *loadCommand `arg:"subcommand:load" help:"offer a reproducible mix of requests and report"`
	Demo *demoCommand `arg:"subcommand:demo" help:"run the whole path in one process and show a table"`
	Soak *soakCommand `arg:"subcommand:soak" help:"disturb fronts at random and check the promises to callers"`
}

// Description implements arg.Described.
func (command) Description() string {
	return "Serving layer for prompts of very different lengths.\n" +
		"Exit codes: 0 well, 1 failed, 2 bad usage or settings."
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	context.AfterFunc(ctx, stop) // A second signal ends the process at once.
	code := run(ctx, os.Args[1:], os.Stdout, os.Stderr)
	stop()
	os.Exit(code)
}

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
		return exitWell
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
		_, _ = fmt.Fprintln(errOut, "error: a further subcommand is needed")
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

// runnable is a subcommand. It is an interface, because go-arg hands the chosen subcommand over as any.
type runnable interface {
	run(ctx context.Context, std streams) error
}

func exitCode(err error, errOut io.Writer) int {
	if err == nil {
		return exitWell
	}
	_, _ = fmt.Fprintln(errOut, "error:", err)
	if trace.IsBadParameter(err) {
		return exitUsage
	}
	return exitFailed
}
