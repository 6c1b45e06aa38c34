package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"github.com/gravitational/trace"

	"github.com/tarragonwheel/tarragonwheel/admin"
	"github.com/tarragonwheel/tarragonwheel/intent"
)

// operatorFlags are the flags that all operator commands have.
type operatorFlags struct {
	Entry   string `arg:"required,--entry" help:"address of an entry's operator API"`
	KeyFile string `arg:"required,--key-file" help:"file that holds the operator's key"`
	JSON    bool   `arg:"--json" help:"print JSON"`
}

type planCommand struct {
	operatorFlags
	File string `arg:"required,-f,--file" help:"declaration (INI)"`
	Save string `arg:"--save" help:"file for the plan [default: PLAN.plan in the current directory]"`
}

type undoCommand struct {
	operatorFlags
	Plan string `arg:"positional,required" help:"ID of the plan to undo"`
	Save string `arg:"--save" help:"file for the new plan [default: PLAN.plan in the current directory]"`
}

type confirmCommand struct {
	operatorFlags
	Plan string `arg:"positional,required" help:"saved plan: its file, or its ID if it is in the current directory"`
}

type outcomeCommand struct {
	operatorFlags
	Plan string `arg:"positional,required" help:"saved plan: its file, or its ID if it is in the current directory"`
}

type statusCommand struct{ operatorFlags }

type historyCommand struct{ operatorFlags }

type explainCommand struct {
	operatorFlags
	Name string `arg:"positional,required" help:"name of an upstream, account, model, service or planned stop"`
}

func (opr operatorFlags) client() (*admin.Client, error) {
	raw, err := os.ReadFile(opr.KeyFile)
	if err != nil {
		return nil, trace.BadParameter("key file: %v", err)
	}
	return admin.NewClient(opr.Entry, strings.TrimSpace(string(raw))), nil
}

// print writes val as JSON, or else the text that the function text makes of it.
func (opr operatorFlags) print(std streams, val any, text func(out *strings.Builder)) error {
	if opr.JSON {
		enc := json.NewEncoder(std.out)
		enc.SetIndent("", "  ")
		return enc.Encode(val)
	}
	var out strings.Builder
	text(&out)
	_, err := fmt.Fprint(std.out, out.String())
	return err
}

// runQuery sends a query to the operator API and prints the result.
func runQuery[T any](
	ctx context.Context, opr operatorFlags, std streams, query func(cli *admin.Client, ctx context.Context) (T, error),
	write func(out *strings.Builder, val T),
) error {
	cli, err := opr.client()
	if err != nil {
		return err
	}
	val, err := query(cli, ctx)
	if err != nil {
		return err
	}
	return opr.print(std, val, func(out *strings.Builder) { write(out, val) })
}

func (cmd *planCommand) run(ctx context.Context, std streams) error {
	cli, err := cmd.client()
	if err != nil {
		return err
	}
	text, err := os.ReadFile(cmd.File)
	if err != nil {
		return trace.BadParameter("declaration: %v", err)
	}
	pla, err := cli.Plan(ctx, admin.Declaration{File: filepath.Base(cmd.File), Text: string(text)})
	if err != nil {
		return err
	}
	return cmd.showPlan(std, pla, cmd.Save)
}

func (cmd *undoCommand) run(ctx context.Context, std streams) error {
	cli, err := cmd.client()
	if err != nil {
		return err
	}
	pla, err := cli.Undo(ctx, cmd.Plan)
	if err != nil {
		return err
	}
	return cmd.showPlan(std, pla, cmd.Save)
}

// showPlan saves a plan to a file and prints it.
func (opr operatorFlags) showPlan(std streams, pla intent.Plan, file string) error {
	if file == "" {
		file = pla.ID + ".plan"
	}
	raw, err := json.MarshalIndent(pla, "", "  ")
	if err != nil {
		return fmt.Errorf("encode plan: %w", err)
	}
	if err := os.WriteFile(file, raw, 0o600); err != nil {
		return fmt.Errorf("save plan: %w", err)
	}
	return opr.print(std, pla, func(out *strings.Builder) {
		writePlan(out, pla)
		line(out, "Nothing has changed yet. To apply this plan:")
		line(out, "  tarragonwheel confirm %s --entry %s --key-file %s", file, opr.Entry, opr.KeyFile)
	})
}

// readPlan reads a saved plan by file name or ID.
func readPlan(name string) (intent.Plan, error) {
	raw, err := os.ReadFile(filepath.Clean(name))
	if os.IsNotExist(err) {
		raw, err = os.ReadFile(filepath.Clean(name + ".plan"))
	}
	if err != nil {
		return intent.Plan{}, trace.BadParameter("plan: %v", err)
	}
	return intent.ParsePlan(raw)
}

// openPlan reads a saved plan and returns it with the client of the entry.
func (opr operatorFlags) openPlan(file string) (intent.Plan, *admin.Client, error) {
	pla, err := readPlan(file)
	if err != nil {
		return pla, nil, err
	}
	cli, err := opr.client()
	return pla, cli, err
}

func (cmd *confirmCommand) run(ctx context.Context, std streams) error {
	pla, cli, err := cmd.openPlan(cmd.Plan)
	if err != nil {
		return err
	}
	out, err := cli.Confirm(ctx, pla)
	if trace.IsConnectionProblem(err) {
		// The entry may have appended the record to the log before the connection failed.
		out, err = admin.Outcome{Outcome: admin.OutcomeUnknown, Plan: pla.ID, Detail: err.Error()}, nil
	}
	if err != nil {
		return err
	}
	return cmd.showOutcome(std, out, cmd.Plan)
}

func (cmd *outcomeCommand) run(ctx context.Context, std streams) error {
	pla, cli, err := cmd.openPlan(cmd.Plan)
	if err != nil {
		return err
	}
	out, err := cli.Outcome(ctx, pla)
	if err != nil {
		return err
	}
	return cmd.showOutcome(std, out, cmd.Plan)
}

// showOutcome prints the outcome of a confirm. It returns an error unless the plan is active.
func (opr operatorFlags) showOutcome(std streams, out admin.Outcome, file string) error {
	err := opr.print(std, out, func(txt *strings.Builder) {
		writeOutcome(txt, out)
		if out.Outcome == admin.OutcomeUnknown {
			line(txt, "Ask again (this changes nothing):")
			line(txt, "  tarragonwheel outcome %s --entry %s --key-file %s", file, opr.Entry, opr.KeyFile)
		}
	})
	if err != nil || out.Outcome == admin.OutcomeActive {
		return err
	}
	return trace.CompareFailed("plan %s is %s", out.Plan, out.Outcome)
}

func (cmd *statusCommand) run(ctx context.Context, std streams) error {
	return runQuery(ctx, cmd.operatorFlags, std, (*admin.Client).Status, writeStatus)
}

func (cmd *historyCommand) run(ctx context.Context, std streams) error {
	return runQuery(ctx, cmd.operatorFlags, std, (*admin.Client).History, writeHistory)
}

func (cmd *explainCommand) run(ctx context.Context, std streams) error {
	explain := func(cli *admin.Client, ctx context.Context) (admin.Explanation, error) {
		return cli.Explain(ctx, cmd.Name)
	}
	return runQuery(ctx, cmd.operatorFlags, std, explain, writeExplanation)
}
