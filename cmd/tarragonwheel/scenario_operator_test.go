package main

import (
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
)

const operatorKeyFile = "operator.key"

var operatorAddress = regexp.MustCompile(`entry: listening.* admin=(\S+)`)

// runOperator runs an operator command against an entry: ENTRY COMMAND WORDS... [code=N] [body=REGEXP].
func runOperator(scn *scenario, args []string) error {
	words, opts := options(args)
	if len(words) < 2 {
		return errors.New("usage: operator ENTRY COMMAND WORDS... [code=N] [body=REGEXP]")
	}
	prc := scn.processes[words[0]]
	if prc == nil {
		return fmt.Errorf("no process %q", words[0])
	}
	found := operatorAddress.FindStringSubmatch(prc.text())
	if found == nil {
		return fmt.Errorf("%s has no operator API", words[0])
	}
	key := filepath.Join(scn.dir, operatorKeyFile)
	if err := os.WriteFile(key, []byte("scenario-key-of-ops"), 0o600); err != nil {
		return err
	}
	cmd := exec.Command("tarragonwheel", append(words[1:], "--entry", found[1], "--key-file", operatorKeyFile)...)
	cmd.Dir = scn.dir
	text, err := cmd.CombinedOutput()
	var exit *exec.ExitError
	if err != nil && !errors.As(err, &exit) {
		return err
	}
	if code, want := strconv.Itoa(cmd.ProcessState.ExitCode()), take(opts, "code", "0"); code != want {
		return fmt.Errorf("exit code %s, want %s: %s", code, want, text)
	}
	body, err := regexp.Compile("(?s)" + take(opts, "body", ""))
	if err != nil {
		return err
	}
	if !body.Match(text) {
		return fmt.Errorf("no match of %q in: %s", body, text)
	}
	return nil
}
