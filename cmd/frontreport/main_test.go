package main

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
)

const logLine = `time=2031-05-06T00:00:00Z level=INFO msg="relay: call ended" process=f1 call=c status=503 ` +
	`reason=overload took=5ms attempts=0 events=0 prompt-tokens=9 first-event=0s replica="" ` +
	`predicted-first-event=0s summary-age=0s`

// Guards against wrong exit codes, and against a page that is written although a file cannot be read.
func TestRun(t *testing.T) {
	for _, tst := range []struct {
		name, in string
		args     []string
		code     int
		written  bool
	}{
		{"log on standard input", logLine, []string{"-"}, exitOK, true},
		{"no logs", "", nil, exitUsage, false},
		{"unknown flag", "", []string{"-", "--colour", "red"}, exitUsage, false},
		{"no calls", "", []string{"-"}, exitFailed, false},
		{"missing log", "", []string{"missing.log"}, exitFailed, false},
		{"malformed metrics", logLine, []string{"-", "--metrics", "main.go"}, exitFailed, false},
	} {
		t.Run(tst.name, func(t *testing.T) {
			is := is.New(t)
			file := filepath.Join(t.TempDir(), "page.html")
			var out, errOut bytes.Buffer
			is.Equal(run(append(tst.args, "--out", file), strings.NewReader(tst.in), &out, &errOut), tst.code)
			is.Equal(errOut.Len() == 0, tst.code == exitOK)
			_, err := os.Stat(file)
			is.Equal(err == nil, tst.written)
		})
	}
}
