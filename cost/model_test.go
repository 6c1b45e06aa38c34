package cost_test

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tarragonwheel/tarragonwheel/cost"
)

// TestModelFollowsObservation guards against predictions that keep to the rate that the engine reports, or that jump to
// a single outlier.
func TestModelFollowsObservation(t *testing.T) {
	is := is.New(t)
	mdl := cost.NewModel()
	mdl.SetReportedRate(40_000)
	mdl.ObservePrefill(10, time.Minute) // Too short to derive a rate from.
	is.Equal(mdl.PrefillTime(40_000), time.Second)
	mdl.ObservePrefill(10_000, time.Hour)
	is.True(mdl.Rate() > 30_000)
	for range 50 {
		mdl.ObservePrefill(10_000, time.Second)
		mdl.ObserveUsage(1000, 2000, 100, 50)
		mdl.ObserveDecode(100, time.Second)
	}
	mdl.SetReportedRate(40_000)
	is.True(math.Abs(mdl.Rate()-10_000) < 100)
	is.True(mdl.CorrectPromptTokens(1000) >= 1990 && mdl.CorrectPromptTokens(1000) <= 2000)
	is.True(math.Abs(mdl.DecodeTime(100).Seconds()-0.5) < 0.01)
}

// TestDecodeCoversVariation guards against admitted requests that miss their deadline because the prediction is the
// average time per token, without a margin.
func TestDecodeCoversVariation(t *testing.T) {
	is := is.New(t)
	mdl := cost.NewModel()
	for range 50 {
		mdl.ObserveDecode(100, time.Second)
		mdl.ObserveDecode(100, 10*time.Second)
	}
	is.True(mdl.DecodeTime(100) >= 10*time.Second)
}
