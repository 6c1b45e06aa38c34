package config_test

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/gravitational/trace"
	"github.com/matryer/is"

	"github.com/tarragonwheel/tarragonwheel/config"
)

var update = flag.Bool("update", false, "rewrite docs/SETTINGS.md")

const goodEntry = `
[process]
name = entry-1
data-centre = dc1
listen = 127.0.0.1:8080
secrets = secrets.ini
`

func ExampleKey_Of() {
	set, err := config.Parse(goodEntry+"[entry]\ntime-limit = 30s\n", "entry")
	if err != nil {
		panic(err)
	}
	fmt.Println(config.ProcessName.Of(set), config.EntryTimeLimit.Of(set))
	// Output: entry-1 30s
}

// Guards against a settings page that does not match the keys the program reads.
func TestSettingsPage(t *testing.T) {
	is := is.New(t)
	page := filepath.Join("..", "docs", "SETTINGS.md")
	if *update {
		is.NoErr(os.WriteFile(page, []byte(config.Document()), 0o600))
	}
	got, err := os.ReadFile(page)
	is.NoErr(err)
	is.Equal(string(got), config.Document()) // rewrite with go test ./config -run TestSettingsPage -update
}

// Guards against settings that are accepted although a key is unknown, malformed, out of range or missing.
func TestBadSettingsNameTheKey(t *testing.T) {
	for name, tst := range map[string]struct{ text, want string }{
		"unknown key":     {goodEntry + "[entry]\ntime-limits = 1s\n", "[entry] time-limits: unknown key"},
		"unknown section": {goodEntry + "[entrance]\nx = 1\n", "[entrance] x: unknown key"},
		"missing":         {"[process]\nname = a\n", "[process] listen: missing"},
		"not an IP":       {strings.Replace(goodEntry, "127.0.0.1", "host", 1), `"host" is not an IP address`},
		"not a duration":  {goodEntry + "[entry]\ntime-limit = 30\n", "[entry] time-limit: \"30\" is not a duration"},
		"out of range":    {goodEntry + "[entry]\nmax-body = 1\n", "not a whole number from 1024"},
		"not a number":    {goodEntry + "[agent]\nshort-bias = NaN\n", "is not a number"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			_, err := config.Parse(tst.text, "entry")
			is.True(trace.IsBadParameter(err))
			is.True(strings.Contains(err.Error(), tst.want)) // names key and reason
		})
	}
}

// Guards against a fault of one section hiding the faults of another.
func TestAllFaultsAreReported(t *testing.T) {
	is := is.New(t)
	_, err := config.Parse("[entry]\nmax-body = x\ntime-limit = y\n", "entry")
	is.True(strings.Contains(err.Error(), "max-body"))
	is.True(strings.Contains(err.Error(), "time-limit"))
}

// Guards against a default that its own range would refuse.
func TestDefaultsAreValid(t *testing.T) {
	is := is.New(t)
	set, err := config.Parse(goodEntry, "entry")
	is.NoErr(err)
	is.Equal(config.EntryTimeLimit.Of(set), 120*time.Second)
}

// Guards against a key that leaks through an error message, and against short or shared keys.
func TestBadSecretsAreRefusedWithoutShowingThem(t *testing.T) {
	is := is.New(t)
	base := "[deployment]\nsecret = 0123456789abcdef\n"
	for _, text := range []string{
		"[deployment]\nsecret = tooshort\n",
		base + "[accounts]\nhuellas = tooshort\n",
		base + "[accounts]\na = same-key-0123456789\nb = same-key-0123456789\n",
	} {
		_, err := config.ParseSecrets(text)
		is.True(trace.IsBadParameter(err))
		is.True(!strings.Contains(err.Error(), "tooshort"))
		is.True(!strings.Contains(err.Error(), "same-key"))
	}
	sec, err := config.ParseSecrets(base + "[accounts]\nhuellas = same-key-0123456789\n")
	is.NoErr(err)
	name, ok := sec.Account("same-key-0123456789")
	is.True(ok)
	is.Equal(name, "huellas")
	_, ok = sec.Operator("same-key-0123456789")
	is.True(!ok)
}

// Guards against example settings that the program refuses.
func TestExampleSettingsAreValid(t *testing.T) {
	is := is.New(t)
	for _, role := range []string{"entry", "agent"} {
		_, err := config.Load(filepath.Join("..", "examples", "local", role+".ini"), role)
		is.NoErr(err)
	}
	_, err := config.LoadSecrets(filepath.Join("..", "examples", "local", "secrets.ini"))
	is.NoErr(err)
}
