// Package place decides which replicas work on a call. It is pure: given equal views it decides equally, and it neither
// waits nor sends.
//
// For a model engine it predicts when the first event of the call comes and how the call delays the others on the same
// engines, and takes the choice that loses the least value. Prompts are read in parts by several engines where that
// loses less than one long read.
package place

import (
	"math"
	"slices"
	"time"

	"github.com/tarragonwheel/tarragonwheel/cost"
	"github.com/tarragonwheel/tarragonwheel/fleet"
)

// Job is a call to be placed.
type Job struct {
	Now        time.Time
	Tokens     int           // of the prompt; 0 at plain services
	Output     int           // predicted output in tokens
	Goal       time.Duration // until the first event or the answer is due; negative if it is past
	GapGoal    time.Duration // longest pause between events that is on time; 0 for none
	TimeLeft   time.Duration // until the client gives up
	DataCentre string        // of this process
	Avoid      []string      // IDs of replicas that have failed this call
	// Jitter returns numbers in [0, 1) that part equal choices, so that processes that decide at the same moment do
	// not all take the same replica; nil for none.
	Jitter func() float64
}

// jitter returns a small random loss.
func (job *Job) jitter() float64 {
	if job.Jitter == nil {
		return 0
	}
	return jitterLoss * job.Jitter()
}

// Plan is where a call is to run.
type Plan struct {
	First    fleet.View
	Helpers  []Part
	Read     time.Duration // reading time of each part
	Expected time.Duration // predicted time to the first event
	Pass     time.Duration // predicted pause between events, if the replica is not slow and reads nothing
	Value    float64
	Loss     float64       // of this and other calls, in units of value
	Slack    time.Duration // time that a long prompt can wait for a better choice and still be on time
	// ShortRanks is the number of replicas that are meant for short calls.
	ShortRanks int
}

// Part is a share of a prompt that a helper reads.
type Part struct {
	View    fleet.View
	Reserve int // memory in tokens that the part takes at the helper; 0 if the first replica holds it
}

// Value returns what a call with a prompt of so many tokens is worth, in units of a very short one.
func Value(tokens int) float64 {
	return 1 + float64(tokens)/valueTokens
}

// Weights of the choice, as shares of a call's value unless stated otherwise.
const (
	// PartValue is the share of a call's value that is lost when one of its parts is late.
	PartValue = 0.4

	valueTokens = 10000 // tokens that double the value of a very short prompt
	// lateLoss is the share of its value that a late call loses.
	lateLoss = 0.75
	// failLoss is lost when a replica fails the call, which is then tried elsewhere.
	failLoss = 0.8
	// farLoss stands for the price of bytes between data centres.
	farLoss = 0.01
	// jitterLoss is the largest random loss.
	jitterLoss = 0.08
	// slotLoss is lost for each share of a replica's slots in use, so that equal choices spread.
	slotLoss = 0.06
	// longZoneLoss keeps short calls off the replicas that long prompts need.
	longZoneLoss = 0.5
	// helperLoss is the risk that each further helper adds.
	helperLoss = 0.0015
	// earlyLoss prefers the earlier of two choices that are both on time.
	earlyLoss = 0.15
	// deferLoss is the loss above which a long prompt waits for a better choice.
	deferLoss = 0.5
	// overdueLoss is lost for each span as long as the goal by which the first event is late.
	overdueLoss = 0.06
)

// Lateness is predicted with a margin: it begins below the goal and is certain above it.
const (
	lateFrom  = 0.5
	lateUntil = 1.0
)

// shortestGoal bounds the loss of calls whose goal is past.
const shortestGoal = 100 * time.Millisecond

// late returns the predicted probability that something that takes so long misses its goal.
func late(takes, goal time.Duration) float64 {
	if goal <= 0 {
		return 1
	}
	ratio := float64(takes) / float64(goal)
	return min(max((ratio-lateFrom)/(lateUntil-lateFrom), 0), 1)
}

// startShare is the share of the time left within which the first event must be predicted. The rest is left for the
// other events.
const startShare = 0.8

// Engine places a call to a model engine. It returns false if no replica can take it before the client gives up.
func Engine(job Job, eng *cost.Engine, views []fleet.View, longLoad float64) (Plan, bool) {
	chc := &choice{job: job, eng: eng, views: usable(job, views), value: Value(job.Tokens)}
	if len(chc.views) == 0 {
		return Plan{}, false
	}
	chc.measure()
	chc.markShort()
	chc.aheadLoad = aheadLoad(len(chc.views)-chc.shortRanks, longLoad)
	var best Plan
	least := math.Inf(1)
	for _, parts := range chc.partCounts() {
		pln, loss, ok := chc.split(parts)
		if ok && loss < least && pln.Expected <= scale(job.TimeLeft, startShare) {
			best, least = pln, loss
		}
	}
	if math.IsInf(least, 1) {
		return Plan{}, false
	}
	best.Pass = eng.Pass(best.First.Writers+1, best.First.Context+job.Tokens)
	best.Value, best.Loss, best.Slack = chc.value, least, chc.slack()
	best.ShortRanks = chc.shortRanks
	return best, true
}

func usable(job Job, views []fleet.View) []fleet.View {
	return slices.DeleteFunc(views, func(vie fleet.View) bool { return slices.Contains(job.Avoid, vie.ID) })
}

// markShort marks the replicas that are meant for short calls: the first sound ones in rank, as many as the short calls
// fill to a share of their slots. The rest is left to long prompts, whose reading would delay the short ones.
func (chc *choice) markShort() {
	const (
		density   = 0.6 // share of the slots that short calls may fill
		soundRisk = 0.25
		soundPace = 1.6
	)
	short := 1
	for idx := range chc.views {
		for _, wrk := range chc.views[idx].Works {
			if !wrk.Part && wrk.Read < fleet.LongRead {
				short++
			}
		}
	}
	chc.short = make([]bool, len(chc.views))
	num := int(math.Ceil(float64(short) / (density * float64(max(chc.eng.Slots, 1)))))
	for idx := range chc.views {
		vie := &chc.views[idx]
		if chc.shortRanks < num && vie.Risk < soundRisk && vie.Pace < soundPace {
			chc.short[idx] = true
			chc.shortRanks++
		}
	}
}

// Defer tells whether a long prompt should wait for a better choice: it would do much harm now, or be late, and streams
// that are in its way end within its slack.
func (pln *Plan) Defer() bool {
	return pln.Slack > 0 && pln.Loss > deferLoss*pln.Value
}

// slack returns how long a long prompt can wait and still be on time, if then many engines read it.
func (chc *choice) slack() time.Duration {
	read := chc.eng.Reading(chc.job.Tokens)
	if read < fleet.LongRead {
		return 0
	}
	parts := min(mostParts, len(chc.views), max(chc.job.Tokens/leastPart, 1))
	return scale(chc.job.Goal, lateFrom) - read/time.Duration(parts) - slackMargin
}

// slackMargin is the time that a prompt takes besides its reading, on engines with streams.
const slackMargin = 150 * time.Millisecond

// choice is the state of one decision.
type choice struct {
	job        Job
	eng        *cost.Engine
	views      []fleet.View
	value      float64
	pass       []time.Duration // of each view, without reading
	short      []bool          // whether each view is meant for short calls
	shortRanks int             // views meant for short calls
	// aheadLoad is the share of the time in which replicas for long prompts read parts, which go before whole prompts.
	aheadLoad float64
}

// mostAheadLoad bounds the predicted share of the time that parts take, so that whole prompts are not predicted to wait
// forever.
const mostAheadLoad = 0.75

func aheadLoad(replicas int, longLoad float64) float64 {
	return min(longLoad/float64(max(replicas, 1)), mostAheadLoad)
}

func (chc *choice) measure() {
	chc.pass = make([]time.Duration, len(chc.views))
	for idx := range chc.views {
		vie := &chc.views[idx]
		chc.pass[idx] = scale(chc.eng.Pass(vie.Writers, vie.Context), vie.Pace)
	}
}

func scale(dur time.Duration, factor float64) time.Duration {
	return time.Duration(float64(dur) * factor)
}

// leastPart is the shortest part of a prompt, in tokens, that is worth a helper.
const leastPart = 5000

// mostParts bounds the number of engines that read one prompt.
const mostParts = 16

// partCounts returns into how many parts the prompt may be split.
func (chc *choice) partCounts() []int {
	list := []int{1}
	for _, num := range []int{2, 3, 4, 5, 6, 8, 10, 12, 14, mostParts} {
		if num <= len(chc.views) && chc.job.Tokens/num >= leastPart {
			list = append(list, num)
		}
	}
	return list
}

// first returns the predicted time to the first event if the replica reads for so long.
func (chc *choice) first(idx int, read time.Duration, parts int) time.Duration {
	vie := &chc.views[idx]
	reading := vie.Ahead + read
	if parts == 1 {
		reading = vie.Unread + read
		if !chc.short[idx] { // Parts that come meanwhile are read first.
			reading = scale(reading, 1/(1-chc.aheadLoad))
		}
	}
	takes := scale(reading, vie.Pace) + chc.pass[idx]
	if vie.Writers > 0 {
		takes += chc.pass[idx] / 2 // The pass in progress is over before the prompt is read.
	}
	return takes + chc.slotWait(vie)
}

// slotWait returns the predicted time until a slot is free for one more call.
func (chc *choice) slotWait(vie *fleet.View) time.Duration {
	slots := max(vie.Slots, 1)
	over := seats(vie) + 1 - slots
	if over <= 0 {
		return 0
	}
	context := vie.Tokens * slots / (slots + over)
	passes := max(chc.job.Output, leastOutput) / max(chc.eng.Stride, 1)
	stream := scale(chc.eng.Pass(slots, context), vie.Pace) * time.Duration(passes)
	return stream * time.Duration(over) / time.Duration(slots)
}

// leastOutput is the output in tokens that other streams are taken to have at least.
const leastOutput = 1000

// seats returns the number of slots that are taken or waited for. Parts of prompts take none.
func seats(vie *fleet.View) int {
	num := 0
	for idx := range vie.Works {
		if !vie.Works[idx].Part {
			num++
		}
	}
	return num
}

// harm returns the value that the other works on a replica lose if it reads for so long more. A part of a split prompt
// is read beside other parts and before whole prompts, so that it delays both.
func (chc *choice) harm(idx int, read time.Duration, part bool) float64 {
	vie := &chc.views[idx]
	read = scale(read, vie.Pace)
	before := chc.pass[idx] + scale(vie.Unread, vie.Pace)
	loss := 0.0
	for widx := range vie.Works {
		wrk := &vie.Works[widx]
		goal := wrk.GapGoal
		if wrk.Stage == fleet.Reading {
			goal = wrk.Goal.Sub(chc.job.Now)
		}
		if wrk.Late || goal <= 0 || (wrk.Ahead && !part) {
			continue
		}
		loss += wrk.Value * (late(before+read, goal) - late(before, goal))
	}
	return loss * lateLoss
}

// option is a replica that may take a part.
type option struct {
	idx    int
	loss   float64 // of the others on the replica, and its risk
	finish time.Duration
}

// split plans the prompt in so many parts and returns the value that is lost.
func (chc *choice) split(parts int) (pln Plan, loss float64, ok bool) {
	read := chc.eng.Reading(chc.job.Tokens) / time.Duration(parts)
	opts := chc.options(read, parts)
	holder := chc.holder(opts, parts)
	if holder >= 0 {
		opt := opts[holder]
		opts = slices.Insert(slices.Delete(opts, holder, holder+1), 0, opt)
	}
	if len(opts) < parts {
		return Plan{}, 0, false
	}
	opts = opts[:parts]
	pln.First = chc.views[opts[0].idx]
	pln.Read = read
	for num, opt := range opts {
		loss += opt.loss
		pln.Expected = max(pln.Expected, opt.finish)
		if num > 0 {
			pln.Helpers = append(pln.Helpers, Part{View: chc.views[opt.idx]})
		}
	}
	if holder < 0 && !chc.reserve(&pln) {
		return Plan{}, 0, false
	}
	loss += chc.value * lateLoss * late(pln.Expected, chc.job.Goal)
	loss += chc.value * chc.waiting(pln.Expected)
	loss += chc.value * helperLoss * float64(parts-1)
	return pln, loss, true
}

func (chc *choice) options(read time.Duration, parts int) []option {
	opts := make([]option, len(chc.views))
	short := chc.eng.Reading(chc.job.Tokens) < fleet.LongRead
	for idx := range chc.views {
		vie := &chc.views[idx]
		opt := option{idx: idx, finish: chc.first(idx, read, parts)}
		opt.loss = chc.harm(idx, read, parts > 1) + chc.value*failLoss*vie.Risk
		opt.loss += slotLoss*float64(seats(vie))/float64(max(vie.Slots, 1)) + chc.job.jitter()
		if vie.DataCentre != chc.job.DataCentre {
			opt.loss += farLoss
		}
		if short && !chc.short[idx] {
			opt.loss += longZoneLoss
		}
		if parts == 1 && chc.job.GapGoal > 0 {
			opt.loss += chc.value * lateLoss * late(chc.pass[idx]+scale(vie.Unread, vie.Pace), chc.job.GapGoal)
		}
		opts[idx] = opt
	}
	slices.SortFunc(opts, func(one, two option) int { return sign(chc.rate(one) - chc.rate(two)) })
	return opts
}

// rate orders the options: what a replica loses alone, and how late it makes the whole call.
func (chc *choice) rate(opt option) float64 {
	return opt.loss + chc.value*(lateLoss*late(opt.finish, chc.job.Goal)+chc.waiting(opt.finish))
}

// waiting returns the share of a call's value that is lost by waiting so long for the first event, besides its being
// late.
func (chc *choice) waiting(takes time.Duration) float64 {
	ratio := float64(takes) / float64(max(chc.job.Goal, shortestGoal))
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
