package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"

	"github.com/tarragonwheel/tarragonwheel/admin"
)

// checkEnded checks how many of the named processes have ended: COUNT NAME...
func checkEnded(scn *scenario, args []string) error {
	if len(args) < 2 {
		return errors.New("usage: ended COUNT NAME")
	}
	ended := 0
	for _, name := range args[1:] {
		prc := scn.processes[name]
		if prc == nil {
			return fmt.Errorf("no process %q", name)
		}
		select {
		case <-prc.done:
			ended++
		default:
		}
	}
	if strconv.Itoa(ended) != args[0] {
		return fmt.Errorf("%d have ended, want %s", ended, args[0])
	}
	return nil
}

var operatorAddress = regexp.MustCompile(`admin=(\S+)`)

// queryOperator runs an operator command against an entry and decodes the JSON that it prints.
func (scn *scenario) queryOperator(name string, into any, words ...string) error {
	prc := scn.processes[name]
	if prc == nil {
		return fmt.Errorf("no process %q", name)
	}
	addr := operatorAddress.FindStringSubmatch(prc.text())
	if addr == nil {
		return fmt.Errorf("%s has no operator API; set admin.listen", name)
	}
	key := filepath.Join(scn.dir, "operator.key")
	if err := os.WriteFile(key, []byte("scenario-key-of-ops"), 0o600); err != nil {
		return err
	}
	words = append(words, "--json", "--entry", addr[1], "--key-file", key)
	out, err := exec.Command("tarragonwheel", words...).Output()
	if err != nil {
		return fmt.Errorf("%v: %w", words, err)
	}
	return json.Unmarshal(out, into)
}

// checkSuspects checks how many blocked requests and unblocks an entry shows to operators: ENTRY blocked=N unblocks=N.
func checkSuspects(scn *scenario, args []string) error {
	words, opts := splitOptions(args)
	if len(words) != 1 {
		return errors.New("usage: suspects ENTRY blocked=N unblocks=N")
	}
	var sus admin.Suspects
	if err := scn.queryOperator(words[0], &sus, "suspects"); err != nil {
		return err
	}
	got := fmt.Sprint(len(sus.Blocked), " ", len(sus.Unblocks))
	if want := opts["blocked"] + " " + opts["unblocks"]; got != want {
		return fmt.Errorf("blocked and unblocks are %s, want %s", got, want)
	}
	return nil
}

// unblockAll unblocks every request that an entry blocks: ENTRY.
func unblockAll(scn *scenario, args []string) error {
	if len(args) != 1 {
		return errors.New("usage: unblock ENTRY")
	}
	var sus admin.Suspects
	if err := scn.queryOperator(args[0], &sus, "suspects"); err != nil {
		return err
	}
	for _, blk := range sus.Blocked {
		var out admin.UnblockOutcome
		if err := scn.queryOperator(args[0], &out, "unblock", blk.Fingerprint.String()); err != nil {
			return err
		}
	}
	return nil
}
