package model_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/tarragonwheel/tarragonwheel/model"
)

// TestLateViewMakesPredictionsWrong reproduces what was seen at many fronts: when short calls take over from long
// prompts, predictions that rest on a late view are wrong for many of them, and calls meet at the same replicas. With a
// view as late as between the fronts of one cell, the tail of the error must be smaller.
func TestLateViewMakesPredictionsWrong(t *testing.T) {
	iis := is.New(t)
	run := func(delay time.Duration) (sum model.Summary) {
		for seed := range uint64(3) {
			opts := model.DefaultOptions()
			opts.Seed, opts.Fronts, opts.ViewDelay = seed, 20, delay
			res := model.Run(opts)
			one := res.Short()
			sum.ErrorP95 += one.ErrorP95
			sum.MissedShare += one.MissedShare
		}
		return sum
	}
	soon, late := run(20*time.Millisecond), run(300*time.Millisecond)
	iis.True(late.ErrorP95 > soon.ErrorP95)
	iis.True(late.MissedShare > soon.MissedShare)
}

// TestOneFrontKnowsItsLoad guards against a model whose engine differs from what placement predicts: one front knows
// all tasks, so that its predictions for short calls hold.
func TestOneFrontKnowsItsLoad(t *testing.T) {
	iis := is.New(t)
	opts := model.DefaultOptions()
	opts.Fronts = 1
	res := model.Run(opts)
	iis.True(res.Short().Calls > 100)
	iis.True(res.Short().ErrorP50 < 100*time.Millisecond)
}
