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

const frontSettings = "[process]\nname = f\ndata-centre = z\nlisten = 127.0.0.1:8001\n" +
	"[front]\nready = 127.0.0.1:8002\nstore = 127.0.0.1:8003\n"

// TestCheckFrontSettings guards against a check command that wants a secrets file for a front, or accepts invalid
// settings.
func TestCheckFrontSettings(t *testing.T) {
	iis := is.New(t)
	file := filepath.Join(t.TempDir(), "front.ini")
	check := func(text string) (code int, errText string) {
		iis.NoErr(os.WriteFile(file, []byte(text), 0o600))
		var out, errOut bytes.Buffer
		code = run(context.Background(), []string{"check", "--role", "front", "--settings", file}, &out, &errOut)
		return code, errOut.String()
	}
	code, _ := check(frontSettings)
	iis.Equal(code, exitOK)
	code, text := check(strings.Replace(frontSettings, "store = 127.0.0.1:8003\n", "", 1))
	iis.Equal(code, exitUsage)
	iis.True(strings.Contains(text, "store"))
}
