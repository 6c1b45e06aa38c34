package intent_test

import (
	"testing"

	"github.com/tarragonwheel/tarragonwheel/intent"
)

// Guards against a panic of an entry on a malformed declaration or saved plan.
func FuzzParse(f *testing.F) {
	f.Add("[model m]\nversion = v1\nreplicas = 2\n[account a]\nmodels = m\nlimit = 5\n[end]\n")
	f.Add("[planned-stop s]\nupstreams = a, b\nat = 2026-12-06T22:00:00Z\n[end]\n")
	f.Add(`{"plan":"x","operations":[{"object":{"kind":"model","name":"m"},"value":{}}]}`)
	f.Fuzz(func(_ *testing.T, text string) {
		_, _ = intent.Parse("f", text)
		_, _ = intent.ParsePlan([]byte(text))
	})
}
