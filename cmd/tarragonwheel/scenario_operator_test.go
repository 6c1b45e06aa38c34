package main

import (
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
)

var adminAddress = regexp.MustCompile(`listening.* admin=(\S+)`)

// operatorRun is a started operator command.
type operatorRun struct {
	done chan struct{}
	text string
	code int
}

// startOperator runs an operator command with the entry's address and a key: ENTRY COMMAND [WORD...] [as=NAME] and the
// options of checkOperator. With as=NAME it runs in the background under that name.
func startOperator(scn *scenario, args []string) error {
	words, opts := splitOptions(args)
	if len(words) < 2 || scn.processes[words[0]] == nil {
		return errors.New("usage: operator ENTRY COMMAND [WORD...] [as=NAME] [code=N] [body=REGEXP]")
	}
	addr := adminAddress.FindStringSubmatch(scn.processes[words[0]].text())
	if addr == nil || addr[1] == "" {
		return fmt.Errorf("%s has no operator API", words[0])
	}
	words = append(words[1:], "--entry", addr[1], "--key-file", "ops.key")
	cmd := exec.Command("tarragonwheel", words...)
	cmd.Dir = scn.dir
	run := &operatorRun{done: make(chan struct{})}
	go func() {
		defer close(run.done)
		raw, _ := cmd.CombinedOutput()
		run.text, run.code = string(raw), cmd.ProcessState.ExitCode()
	}()
	if name := takeOption(opts, "as", ""); name != "" {
		scn.operatorRuns[name] = run
		return nil
	}
	return run.check(opts)
}

// checkOperator waits for an operator command in the background and checks its exit code and output: NAME [code=N]
// [body=REGEXP].
func checkOperator(scn *scenario, args []string) error {
	words, opts := splitOptions(args)
	if len(words) != 1 || scn.operatorRuns[words[0]] == nil {
		return errors.New("usage: operated NAME [code=N] [body=REGEXP]")
	}
	return scn.operatorRuns[words[0]].check(opts)
}

func (run *operatorRun) check(opts map[string]string) error {
	<-run.done
	exp, err := regexp.Compile("(?s)" + takeOption(opts, "body", ""))
	if err != nil {
		return err
	}
	want := takeOption(opts, "code", "0")
	if want != "any" && want != strconv.Itoa(run.code) || !exp.MatchString(run.text) {
		return fmt.Errorf("exit code %d: %s", run.code, run.text)
	}
	for key := range opts {
		return fmt.Errorf("unknown word %q", key)
	}
	return nil
}

// checkOneApplied checks that exactly one of two confirms was applied and the other one was refused as a conflict: NAME
// NAME.
func checkOneApplied(scn *scenario, args []string) error {
	if len(args) != 2 {
		return errors.New("usage: one-in-force NAME NAME")
	}
	won := 0
	for _, name := range args {
		if checkOperator(scn, []string{name, "code=0", `body=: in-force`}) == nil {
			won++
			continue
		}
		if err := checkOperator(scn, []string{name, "code=1", `body=objects-have-moved`}); err != nil {
			return err
		}
	}
	if won != 1 {
		return fmt.Errorf("%d of 2 confirms took effect, want 1", won)
	}
	return nil
}

// writeDeclaration writes a declaration file with one section: FILE SECTION KEY=VALUE...
func writeDeclaration(scn *scenario, args []string) error {
	if len(args) < 3 {
		return errors.New("usage: declare FILE SECTION KEY=VALUE [KEY=VALUE]")
	}
	lines := strings.Join(args[2:], "\n")
	text := fmt.Sprintf("[%s]\n%s\n[end]\n", args[1], lines)
	return os.WriteFile(filepath.Join(scn.dir, args[0]), []byte(text), 0o600)
}
