package main

import (
	"context"
	"os"
	"strings"

	"github.com/gravitational/trace"

	"github.com/tarragonwheel/tarragonwheel/check"
	"github.com/tarragonwheel/tarragonwheel/platform"
)

// configCommand holds the subcommands for configurations of fronts.
type configCommand struct {
	Check *configCheckCommand `arg:"subcommand:check" help:"check a configuration before it is sent; changes nothing"`
}

type configCheckCommand struct {
	File    string `arg:"positional,required" help:"configuration (JSON), as it is sent to the platform"`
	Against string `arg:"--against" help:"configuration in force; its differences are listed"`
}

func (cmd *configCheckCommand) run(_ context.Context, std streams) error {
	dft, err := readDraft(cmd.File)
	if err != nil {
		return err
	}
	found := check.Draft(dft)
	var out strings.Builder
	if cmd.Against != "" {
		inForce, err := readDraft(cmd.Against)
		if err != nil {
			return err
		}
		found = check.Sort(append(found, check.Against(&inForce.Spec, &dft.Spec)...))
		changes := check.Changes(&inForce.Spec, &dft.Spec)
		line(&out, "version %d changes %d entries of version %d", dft.Spec.Version, len(changes), inForce.Spec.Version)
		for _, chg := range changes {
			line(&out, "  %s", chg)
		}
	}
	for _, fnd := range found {
		line(&out, "%s", fnd)
	}
	if len(found) == 0 {
		line(&out, "configuration is valid")
	}
	if _, err := std.out.Write([]byte(out.String())); err != nil {
		return trace.Wrap(err, "write findings")
	}
	if len(found) > 0 {
		return trace.CompareFailed("%s has %d findings", cmd.File, len(found))
	}
	return nil
}

// readDraft reads a configuration. It returns a trace.BadParameter error if the file cannot be read or decoded.
func readDraft(file string) (*platform.Draft, error) {
	body, err := os.ReadFile(file) //nolint:gosec // The operator names the file.
	if err != nil {
		return nil, trace.BadParameter("configuration: %v", err)
	}
	dft, err := platform.ReadDraft(body)
	if err != nil {
		return nil, trace.Wrap(err, file)
	}
	return dft, nil
}
