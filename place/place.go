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
	Patience   time.Duration // until the client gives up unless an event has come; 0 if it waits to the end
	DataCentre string        // of this process
	Avoid      []string      // IDs of replicas that have failed this call
	// Unsure tells that the process does not know yet what others have given to the replicas.
	Unsure bool
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
	Net      float64       // value that the call is predicted to earn, less what it takes from others
	Slack    time.Duration // time that a long prompt can wait for a better choice and still be on time
	// ShortRanks is the number of replicas that are meant for short calls.
	ShortRanks int
	harm       float64 // value that others on the same engines lose
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

// startShare is the share of the time left within which the first event must be predicted. The rest is left for the
// other events.
const startShare = 0.8

// patienceShare is the share of the client's patience within which the first event must be predicted. The rest is left
// for errors of the prediction.
const patienceShare = 0.85

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
		if ok && loss < least && pln.Expected <= chc.limit() {
			best, least = pln, loss
		}
	}
	if math.IsInf(least, 1) {
		return Plan{}, false
	}
	best.Pass = eng.Pass(best.First.DecodeStreams+1, best.First.DecodeTokens+job.Tokens)
	best.Value, best.Loss, best.Slack = chc.value, least, chc.slack()
	best.ShortRanks = chc.shortRanks
	best.Net = chc.net(&best)
	return best, true
}

// limit returns the time within which the first event must be predicted.
func (chc *choice) limit() time.Duration {
	limit := scale(chc.job.TimeLeft, startShare)
	if chc.job.Patience > 0 {
		limit = min(limit, scale(chc.job.Patience, patienceShare))
	}
	return limit
}

func usable(job Job, views []fleet.View) []fleet.View {
	return slices.DeleteFunc(views, func(vie fleet.View) bool { return slices.Contains(job.Avoid, vie.ID) })
}

// Defer tells whether a long prompt should wait for a better choice: it would do much harm now, or be late, and streams
// that are in its way end within its slack.
func (pln *Plan) Defer() bool {
	return pln.Slack > 0 && pln.Loss > deferLoss*pln.Value
}

// slack returns how long a long prompt can wait and still be on time, if then many engines read it.
func (chc *choice) slack() time.Duration {
	read := chc.eng.Reading(chc.job.Tokens)
	if read < fleet.LongPrefill {
		return 0
	}
	parts := min(mostParts, len(chc.views), max(chc.job.Tokens/leastPart, 1))
	return scale(chc.job.Goal, lateFrom) - read/time.Duration(parts) - slackMargin
}

// slackMargin is the time that a prompt takes besides its reading, on engines with streams.
const slackMargin = 150 * time.Millisecond
