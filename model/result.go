package model

import (
	"slices"
	"time"
)

// Result holds the outcomes of the short calls and of the long ones.
type Result struct {
	short, long []outcome
}

// outcome is what became of a call.
type outcome struct {
	refused    bool
	firstEvent time.Duration // time to the first event
	target     time.Duration
	late       time.Duration // by which the first event came after its prediction; may be negative
}

func (res *Result) add(cal *modelCall, out outcome) {
	out.target = cal.latencyTarget()
	out.late = out.firstEvent - cal.predicted
	if cal.long {
		res.long = append(res.long, out)
		return
	}
	res.short = append(res.short, out)
}

// Summary describes the calls of one kind.
type Summary struct {
	Calls        int
	RefusedShare float64
	MissedShare  float64 // of the calls that began, those that missed their latency target
	FirstEvent   time.Duration
	ErrorP50     time.Duration // of the prediction of the first event
	ErrorP95     time.Duration
}

// Short describes the calls with a short prompt.
func (res *Result) Short() Summary { return summarize(res.short) }

// Long describes the calls with a long prompt.
func (res *Result) Long() Summary { return summarize(res.long) }

func summarize(list []outcome) Summary {
	sum := Summary{Calls: len(list)}
	var first, late []time.Duration
	missed := 0
	for _, out := range list {
		if out.refused {
			continue
		}
		first, late = append(first, out.firstEvent), append(late, out.late)
		if out.firstEvent > out.target {
			missed++
		}
	}
	sum.RefusedShare = share(len(list)-len(first), len(list))
	sum.MissedShare = share(missed, len(first))
	sum.FirstEvent = quantile(first, 0.5)
	sum.ErrorP50, sum.ErrorP95 = quantile(late, 0.5), quantile(late, 0.95)
	return sum
}

func share(num, of int) float64 {
	if of == 0 {
		return 0
	}
	return float64(num) / float64(of)
}

// quantile returns a quantile of the values, 0 if there are none. It sorts them.
func quantile(list []time.Duration, share float64) time.Duration {
	if len(list) == 0 {
		return 0
	}
	slices.Sort(list)
	return list[min(int(share*float64(len(list))), len(list)-1)]
}

// Merge adds the outcomes of another run.
func (res *Result) Merge(other *Result) {
	res.short = append(res.short, other.short...)
	res.long = append(res.long, other.long...)
}
