package soak_test

import (
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tarragonwheel/tarragonwheel/soak"
)

// TestSoak runs a short soak with processes of the real program.
func TestSoak(t *testing.T) {
	if testing.Short() {
		t.Skip("runs processes for three quarters of a minute")
	}
	iis := is.New(t)
	dir := t.TempDir()
	program := filepath.Join(dir, "tarragonwheel")
	out, err := exec.CommandContext(t.Context(), "go", "build", "-o", program, "../cmd/tarragonwheel").CombinedOutput()
	if err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	var text strings.Builder
	err = soak.Run(t.Context(), soak.Options{
		Seed: 1, Duration: 18 * time.Second, Fronts: 2, Clients: 8, Program: program, Dir: dir, Out: &text,
	})
	t.Log(text.String())
	iis.NoErr(err)
	iis.True(strings.Contains(text.String(), "all invariants held"))
}
