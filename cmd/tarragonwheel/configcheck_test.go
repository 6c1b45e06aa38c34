package main

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
)

const soundConfig = `{"Version":2,"Routes":[{"Name":"r","Host":"h.example","PathPrefix":"/","Kind":"safe",` +
	`"Service":"s"}],"Services":[{"Name":"s"}],"Tenants":[{"Name":"n","ApiKeys":["secret"]}]}`

// TestConfigCheck guards against an exit status by which a script sends a faulty configuration, and against a key in
// the output.
func TestConfigCheck(t *testing.T) {
	faulty := strings.Replace(soundConfig, `"Kind":"safe"`, `"Kind":"safe","TimeoutMs":1,"GoalMs":2`, 1)
	noService := strings.Replace(soundConfig, `"Service":"s"`, `"A":"s"`, 1)
	newer := strings.Replace(soundConfig, `"Version":2`, `"Version":3`, 1)
	newer = strings.Replace(newer, "secret", "changed", 1)
	for name, tst := range map[string]struct {
		text, against string // empty for none
		wantCode      int
		wantText      string
	}{
		"sound":              {soundConfig, "", exitOK, "configuration is valid"},
		"faulty":             {faulty, "", exitFailed, "error: route r: calls are ended after 1ms"},
		"invalid route":      {noService, "", exitFailed, "error: route r: "},
		"malformed":          {"{", "", exitUsage, "read configuration"},
		"no version":         {"{}", "", exitUsage, "no version"},
		"newer":              {newer, soundConfig, exitOK, "account n: changed: keys (1 before, 1 now)"},
		"not newer":          {soundConfig, soundConfig, exitFailed, "processes ignore version 2"},
		"malformed in force": {soundConfig, "[", exitUsage, "read configuration"},
	} {
		t.Run(name, func(t *testing.T) {
			iis := is.New(t)
			dir := t.TempDir()
			file, inForce := filepath.Join(dir, "config.json"), filepath.Join(dir, "in-force.json")
			iis.NoErr(os.WriteFile(file, []byte(tst.text), 0o600))
			args := []string{"config", "check", file}
			if tst.against != "" {
				iis.NoErr(os.WriteFile(inForce, []byte(tst.against), 0o600))
				args = append(args, "--against", inForce)
			}
			var out bytes.Buffer
			iis.Equal(run(context.Background(), args, &out, &out), tst.wantCode)
			iis.True(strings.Contains(out.String(), tst.wantText)) // wrong text
			iis.True(!strings.Contains(out.String(), "secret"))
		})
	}
	iis := is.New(t)
	var out bytes.Buffer
	iis.Equal(run(context.Background(), []string{"config", "check", "no-such-file"}, &out, &out), exitUsage)
	iis.Equal(run(context.Background(), []string{"config"}, &out, &out), exitUsage)
}
