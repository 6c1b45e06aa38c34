package place

import (
	"math"
	"slices"
	"time"

	"github.com/tarragonwheel/tarragonwheel/cost"
	"github.com/tarragonwheel/tarragonwheel/fleet"
)

// choice is the state of one decision.
type choice struct {
	job        Request
	eng        *cost.Engine
	views      []fleet.View
	value      float64
	pass       []time.Duration // of each view, without reading
	short      []bool          // whether each view is meant for short calls
	shortRanks int             // views meant for short calls
	// aheadLoad is the share of the time in which replicas for long prompts read parts, which go before whole prompts.
	aheadLoad float64
}

// markShort marks the replicas that are meant for short calls: the first sound ones in rank, as many as the short calls
// fill to a share of their slots. The rest is left to long prompts, whose reading would delay the short ones. All are
// meant for short calls while their number is not known.
func (chc *choice) markShort() {
	const (
		density   = 0.6 // share of the slots that short calls may fill
		soundRisk = 0.25
		soundPace = 1.6
	)
	short := 1
	for idx := range chc.views {
		for _, wrk := range chc.views[idx].Tasks {
			if !wrk.IsPart && wrk.PrefillTime < fleet.LongPrefill {
				short++
			}
		}
	}
	chc.short = make([]bool, len(chc.views))
	num := len(chc.views)
	if !chc.job.LoadUnknown {
		num = int(math.Ceil(float64(short) / (density * float64(max(chc.eng.Slots, 1)))))
	}
	for idx := range chc.views {
		vie := &chc.views[idx]
		if chc.shortRanks < num && vie.FailureRate < soundRisk && vie.LatencyRatio < soundPace {
			chc.short[idx] = true
			chc.shortRanks++
		}
	}
}

// leastPart is the shortest part of a prompt, in tokens, that is worth a helper.
const leastPart = 5000

// mostParts bounds the number of engines that read one prompt.
const mostParts = 16

// partCounts returns into how many parts the prompt may be split.
func (chc *choice) partCounts() []int {
	list := []int{1}
	for _, num := range []int{2, 3, 4, 5, 6, 8, 10, 12, 14, mostParts} {
		if num <= len(chc.views) && chc.job.PromptTokens/num >= leastPart {
			list = append(list, num)
		}
	}
	return list
}

// option is a replica that may take a part.
type option struct {
	idx    int
	loss   float64 // of the others on the replica, and its risk
	harm   float64 // of the others on the replica
	finish time.Duration
}

// split plans the prompt in so many parts and returns the value that is lost.
func (chc *choice) split(parts int) (pln Placement, loss float64, ok bool) {
	read := chc.eng.PrefillTime(chc.job.PromptTokens) / time.Duration(parts)
	opts := chc.options(read, parts)
	holder := chc.holder(opts, parts)
	if holder >= 0 {
		opt := opts[holder]
		opts = slices.Insert(slices.Delete(opts, holder, holder+1), 0, opt)
	}
	if len(opts) < parts {
		return Placement{}, 0, false
	}
	opts = opts[:parts]
	pln.Primary = chc.views[opts[0].idx]
	pln.PrefillTime = read
	for num, opt := range opts {
		loss += opt.loss
		pln.harm += opt.harm
		pln.FirstEvent = max(pln.FirstEvent, opt.finish)
		if num > 0 {
			pln.Helpers = append(pln.Helpers, HelperPart{View: chc.views[opt.idx]})
		}
	}
	if holder < 0 && !chc.reserve(&pln) {
		return Placement{}, 0, false
	}
	loss += chc.value * lateLoss * late(pln.FirstEvent, chc.job.LatencyTarget)
	loss += chc.value * chc.waiting(pln.FirstEvent)
	loss += chc.value * helperLoss * float64(parts-1)
	return pln, loss, true
}

func (chc *choice) options(read time.Duration, parts int) []option {
	opts := make([]option, len(chc.views))
	short := chc.eng.PrefillTime(chc.job.PromptTokens) < fleet.LongPrefill
	for idx := range chc.views {
		vie := &chc.views[idx]
		opt := option{idx: idx, finish: chc.first(idx, read, parts)}
		opt.harm = chc.harm(idx, read, parts > 1)
		opt.loss = opt.harm + chc.value*failLoss*vie.FailureRate
		opt.loss += slotLoss*float64(seats(vie))/float64(max(vie.Slots, 1)) + chc.job.jitter()
		if vie.DataCentre != chc.job.DataCentre {
			opt.loss += farLoss
		}
		if short && !chc.short[idx] {
			opt.loss += longZoneLoss
		}
		if parts == 1 && chc.job.GapTarget > 0 {
			opt.loss += chc.value * lateLoss * late(chc.pass[idx]+scale(vie.PrefillBacklog, vie.LatencyRatio),
				chc.job.GapTarget)
		}
		opts[idx] = opt
	}
	slices.SortFunc(opts, func(one, two option) int { return sign(chc.rate(one) - chc.rate(two)) })
	return opts
}

// rate orders the options: what a replica loses alone, and how late it makes the whole call.
func (chc *choice) rate(opt option) float64 {
	return opt.loss + chc.value*(lateLoss*late(opt.finish, chc.job.LatencyTarget)+chc.waiting(opt.finish))
}

// waiting returns the share of a call's value that is lost by waiting so long for the first event, besides its being
// late.
func (chc *choice) waiting(takes time.Duration) float64 {
	ratio := float64(takes) / float64(max(chc.job.LatencyTarget, shortestGoal))
	return earlyLoss*min(ratio, 1) + overdueLoss*max(ratio-1, 0)
}

func sign(num float64) int {
	switch {
	case num < 0:
		return -1
	case num > 0:
		return 1
	}
	return 0
}
