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

const validEntry = `
[process]
name = entry-1
data-centre = dc1
listen = 127.0.0.1:8080
secrets = secrets.ini
`

func ExampleKey_Of() {
	set, err := config.Parse(validEntry+"[entry]\ntime-limit = 30s\n", "entry")
	if err != nil {
		panic(err)
	}
	fmt.Println(config.ProcessName.Of(set), config.EntryTimeLimit.Of(set))
	// Output: entry-1 30s
}

// TestSettingsPage guards against a docs/SETTINGS.md that does not match the declared keys.
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

// TestBadSettingsNameTheKey guards against settings that are accepted although a key is unknown, malformed, out of
// range or missing, and against errors that do not name the key.
func TestBadSettingsNameTheKey(t *testing.T) {
	for name, tst := range map[string]struct{ text, want string }{
		"unknown key":     {validEntry + "[entry]\ntime-limits = 1s\n", "[entry] time-limits: unknown key"},
		"unknown section": {validEntry + "[entrance]\nx = 1\n", "[entrance] x: unknown key"},
		"missing":         {"[process]\nname = a\n", "[process] listen: missing"},
		"not an IP":       {strings.Replace(validEntry, "127.0.0.1", "host", 1), `"host" is not an IP address`},
		"not a duration":  {validEntry + "[entry]\ntime-limit = 30\n", "[entry] time-limit: \"30\" is not a duration"},
		"out of range":    {validEntry + "[entry]\nmax-body = 1\n", "not a whole number from 1024"},
		"no region":       {validEntry + "[front]\nregions = dc-1:r,dc-2\n", `[front] regions: "dc-2" is not DATA`},
		"empty region":    {validEntry + "[front]\nregions = dc-1:\n", `"dc-1:" is not DATA-CENTRE:REGION`},
		"empty pair":      {validEntry + "[front]\nregions = dc-1:r,\n", `"" is not DATA-CENTRE:REGION`},
		"two regions":     {validEntry + "[front]\nregions = dc-1:r:s\n", `"dc-1:r:s" is not DATA-CENTRE:REGION`},
		"same twice":      {validEntry + "[front]\nregions = dc-1:r,dc-1:s\n", `"dc-1" is given twice`},
		"not a number":    {validEntry + "[agent]\nshort-bias = NaN\n", "is not a number"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			_, err := config.Parse(tst.text, "entry")
			is.True(trace.IsBadParameter(err))
			is.True(strings.Contains(err.Error(), tst.want)) // names key and reason
		})
	}
}

// TestAllFaultsAreReported guards against an error that hides further ones.
func TestAllFaultsAreReported(t *testing.T) {
	is := is.New(t)
	_, err := config.Parse("[entry]\nmax-body = x\ntime-limit = y\n", "entry")
	is.True(strings.Contains(err.Error(), "max-body"))
	is.True(strings.Contains(err.Error(), "time-limit"))
}

// TestDefaultsAreValid guards against a default value outside the allowed range of its key.
func TestDefaultsAreValid(t *testing.T) {
	is := is.New(t)
	set, err := config.Parse(validEntry, "entry")
	is.NoErr(err)
	is.Equal(config.EntryTimeLimit.Of(set), 120*time.Second)
}

// TestRegions guards against regions that are lost or confused, and against an error for a deployment without any,
// whose template renders an empty value.
func TestRegions(t *testing.T) {
	for text, want := range map[string]map[string]string{
		"":                                     {},
		"[front]\nregions = \n":                {},
		"[front]\nregions = dc-1:r\n":          {"dc-1": "r"},
		"[front]\nregions = dc-1:r, dc-2:s \n": {"dc-1": "r", "dc-2": "s"},
	} {
		is := is.New(t)
		set, err := config.Parse(validEntry+text, "entry")
		is.NoErr(err)
		is.Equal(config.FrontRegions.Of(set), want)
	}
}

// TestBadSecretsAreRefusedWithoutShowingThem guards against bearer keys that appear in an error message, that are too
// short, or that belong to two accounts.
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

// TestExampleSettingsAreValid guards against example settings that are refused.
func TestExampleSettingsAreValid(t *testing.T) {
	is := is.New(t)
	for _, role := range []string{"entry", "agent"} {
		_, err := config.Load(filepath.Join("..", "examples", "local", role+".ini"), role)
		is.NoErr(err)
	}
	_, err := config.LoadSecrets(filepath.Join("..", "examples", "local", "secrets.ini"))
	is.NoErr(err)
}
