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

// Request describes a call to be placed.
type Request struct {
	Now               time.Time
	PromptTokens      int           // 0 at plain services
	OutputTokens      int           // predicted
	LatencyTarget     time.Duration // until the first event or the answer is due; negative if it is past
	GapTarget         time.Duration // longest pause between events that meets the target; 0 for none
	TimeLeft          time.Duration // until the client gives up
	ClientIdleTimeout time.Duration // until the client disconnects unless an event has come; 0 if it waits to the end
	DataCentre        string        // of this process
	ExcludeReplicas   []string      // IDs of replicas that have failed this call
	// LoadUnknown tells that the process has not yet learned the load that other processes put on the replicas.
	LoadUnknown bool
	// Jitter returns numbers in [0, 1) that part equal choices, so that processes that decide at the same moment do
	// not all take the same replica; nil for none.
	Jitter func() float64
}

// jitter returns a small random loss.
func (job *Request) jitter() float64 {
	if job.Jitter == nil {
		return 0
	}
	return jitterLoss * job.Jitter()
}

// Placement is the choice of replicas for a call, with the predictions behind it.
type Placement struct {
	Primary       fleet.View
	Helpers       []HelperPart
	PrefillTime   time.Duration // of each part
	FirstEvent    time.Duration // predicted time to the first event
	IterationTime time.Duration // predicted pause between events, if the replica is not slow and prefills nothing
	Value         float64
	Loss          float64       // of this and other calls, in units of value
	NetValue      float64       // value that the call is predicted to earn, less what it takes from others
	Slack         time.Duration // time that a long prompt can wait for a better choice and still be on time
	// ShortReplicas is the number of replicas that are meant for short calls.
	ShortReplicas int
	harm          float64 // value that others on the same engines lose
}

// HelperPart is a part of a prompt that a helper replica prefills.
type HelperPart struct {
	View          fleet.View
	ReserveTokens int // KV memory that the part takes at the helper; 0 if the primary replica holds it
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

// OnEngine places a call on a model engine. It returns false if no replica can take it before the client gives up.
func OnEngine(job Request, eng *cost.Engine, views []fleet.View, longLoad float64) (Placement, bool) {
	chc := &choice{job: job, eng: eng, views: usable(job, views), value: Value(job.PromptTokens)}
	if len(chc.views) == 0 {
		return Placement{}, false
	}
	chc.measure()
	chc.markShort()
	chc.aheadLoad = aheadLoad(len(chc.views)-chc.shortRanks, longLoad)
	var best Placement
	least := math.Inf(1)
	for _, parts := range chc.partCounts() {
		pln, loss, ok := chc.split(parts)
		if ok && loss < least && pln.FirstEvent <= chc.limit() {
			best, least = pln, loss
		}
	}
	if math.IsInf(least, 1) {
		return Placement{}, false
	}
	best.IterationTime = eng.IterationTime(best.Primary.DecodeStreams+1, best.Primary.DecodeTokens+job.PromptTokens)
	best.Value, best.Loss, best.Slack = chc.value, least, chc.slack()
	best.ShortReplicas = chc.shortRanks
	best.NetValue = chc.net(&best)
	return best, true
}

// limit returns the time within which the first event must be predicted.
func (chc *choice) limit() time.Duration {
	limit := scale(chc.job.TimeLeft, startShare)
	if chc.job.ClientIdleTimeout > 0 {
		limit = min(limit, scale(chc.job.ClientIdleTimeout, patienceShare))
	}
	return limit
}

func usable(job Request, views []fleet.View) []fleet.View {
	return slices.DeleteFunc(views, func(vie fleet.View) bool { return slices.Contains(job.ExcludeReplicas, vie.ID) })
}

// ShouldDefer tells whether a long prompt should wait for a better placement: now it would delay other calls much, or
// be late, and the streams that are in its way end within its slack.
func (pln *Placement) ShouldDefer() bool {
	return pln.Slack > 0 && pln.Loss > deferLoss*pln.Value
}

// slack returns how long a long prompt can wait and still be on time, if then many engines read it.
func (chc *choice) slack() time.Duration {
	read := chc.eng.PrefillTime(chc.job.PromptTokens)
	if read < fleet.LongPrefill {
		return 0
	}
	parts := min(mostParts, len(chc.views), max(chc.job.PromptTokens/leastPart, 1))
	return scale(chc.job.LatencyTarget, lateFrom) - read/time.Duration(parts) - slackMargin
}

// slackMargin is the time that a prompt takes besides its reading, on engines with streams.
const slackMargin = 150 * time.Millisecond
