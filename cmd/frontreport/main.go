// Command frontreport turns the logs and metrics of fronts into one HTML page with plots.
//
// It is a program of its own, so that the libraries for plots are no part of the program that runs on small machines.
//
// Exit codes: 0 success, 1 failure, 2 invalid usage.
package main

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/alexflint/go-arg"

	"github.com/tarragonwheel/tarragonwheel/report"
)

// Exit codes.
const (
	exitOK     = 0
	exitFailed = 1
	exitUsage  = 2
)

type arguments struct {
	Logs    []string `arg:"positional,required" help:"standard output of fronts; - reads standard input"`
	Metrics []string `arg:"--metrics,separate" help:"metrics that a front served at the end; may be repeated"`
	Out     string   `arg:"--out,required" help:"HTML file to write"`
	Title   string   `arg:"--title" default:"Report of the fronts" help:"title of the page"`
}

// Description implements arg.Described.
func (arguments) Description() string {
	return "Turns the logs and metrics of fronts into one HTML page with plots.\n" +
		"Exit codes: 0 success, 1 failure, 2 invalid usage."
}

func main() { os.Exit(run(os.Args[1:], os.Stdin, os.Stdout, os.Stderr)) }

// run parses the arguments, writes the page and returns the exit code.
func run(args []string, in io.Reader, out, errOut io.Writer) int {
	var cmd arguments
	par, err := arg.NewParser(arg.Config{Program: "frontreport", Out: errOut}, &cmd)
	if err != nil {
		_, _ = fmt.Fprintln(errOut, err)
		return exitFailed
	}
	err = par.Parse(args)
	switch {
	case errors.Is(err, arg.ErrHelp):
		par.WriteHelp(out)
		return exitOK
	case err != nil:
		_, _ = fmt.Fprintln(errOut, "error:", err)
		par.WriteUsage(errOut)
		return exitUsage
	}
	if err := cmd.writeReport(in); err != nil {
		_, _ = fmt.Fprintln(errOut, "error:", err)
		return exitFailed
	}
	return exitOK
}

// writeReport reads all files and writes the page. It writes nothing if a file cannot be read.
func (cmd *arguments) writeReport(in io.Reader) error {
	var rpt report.Run
	for _, name := range cmd.Logs {
		if err := readFile(name, in, rpt.ReadLog); err != nil {
			return err
		}
	}
	for _, name := range cmd.Metrics {
		if err := readFile(name, in, rpt.ReadMetrics); err != nil {
			return err
		}
	}
	var page bytes.Buffer
	if err := rpt.WritePage(&page, cmd.Title); err != nil {
		return err
	}
	if err := os.WriteFile(cmd.Out, page.Bytes(), 0o600); err != nil {
		return fmt.Errorf("write page: %w", err)
	}
	return nil
}

// readFile passes the contents of a file, or of in for the name "-", to read.
func readFile(name string, in io.Reader, read func(rd io.Reader) error) error {
	if name != "-" {
		fil, err := os.Open(name) //nolint:gosec // The operator names the file.
		if err != nil {
			return fmt.Errorf("open file: %w", err)
		}
		defer func() { _ = fil.Close() }()
		in = fil
	}
	if err := read(in); err != nil {
		return fmt.Errorf("%s: %w", name, err)
	}
	return nil
}
