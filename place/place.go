// Package place decides which replicas run a call. It is a pure computation: the same input gives the same placement,
// except for the random numbers that the caller provides, and it neither blocks nor does any I/O.
//
// For each possible placement on model engines, it predicts the time to the first event and the interference with other
// calls on the same engines, and chooses the placement with the lowest penalty. Long prompts are split into parts that
// several engines prefill, where that has a lower penalty than prefill by a single engine.
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
	GapTarget         time.Duration // longest pause between events at which the call counts as on time; 0 for none
	TimeLeft          time.Duration // until the client gives up
	ClientIdleTimeout time.Duration // until the client disconnects unless an event has come; 0 if it waits to the end
	DataCentre        string        // of this process
	ExcludeReplicas   []string      // IDs of replicas that have failed this call
	// PriceFactor is multiplied by the price of prefill time while replicas are busy. It is above 1 if the client
	// account has more than its share of the recent work, and below 1 if it has less; 0 means 1.
	PriceFactor float64
	// LoadUnknown tells that the process has not yet learned the load that other processes put on the replicas.
	LoadUnknown bool
	// Jitter returns random numbers in [0, 1) that break ties, so that processes that place calls at the same moment do
	// not all choose the same replica; nil for none.
	Jitter func() float64
}

// jitterPenalty returns a small random penalty.
func (req *Request) jitterPenalty() float64 {
	if req.Jitter == nil {
		return 0
	}
	return maxJitterPenalty * req.Jitter()
}

// Placement names the replicas that run a call, and holds the predictions on which they were chosen.
type Placement struct {
	Primary       fleet.View
	Helpers       []HelperPart
	PrefillTime   time.Duration // of each part
	FirstEvent    time.Duration // predicted time to the first event
	IterationTime time.Duration // predicted pause between events, if the replica is not slow and prefills nothing
	Value         float64       // of the call, in units of a very short one
	Penalty       float64       // what this and other calls lose, in units of call value; the lowest is best
	NetValue      float64       // value that the call is predicted to earn, less what it costs others
	Slack         time.Duration // time that a long prompt can wait for a better placement and still be on time
	Price         float64       // value that a second of prefill costs this call; 0 unless replicas are busy
	BusyFor       time.Duration // predicted time until the mean prefill backlog is below the busy level
	// ShortReplicas is the number of replicas that are set aside for short calls.
	ShortReplicas int
	interference  float64 // value that other calls on the same engines lose
}

// HelperPart is a part of a prompt that a helper replica prefills.
type HelperPart struct {
	View          fleet.View
	ReserveTokens int // KV memory that the part takes at the helper; 0 if the primary replica holds it
}

// Value returns what a call with a prompt of the given length in tokens is worth, in units of a very short one.
func Value(tokens int) float64 {
	return 1 + float64(tokens)/valueTokens
}

// firstEventShare is the share of Request.TimeLeft that the predicted time to the first event may take. The rest is
// left for the other events.
const firstEventShare = 0.8

// idleTimeoutShare is the share of the client idle timeout that the predicted time to the first event may take. The
// rest is left for errors of the prediction.
const idleTimeoutShare = 0.85

// OnEngine places a call on model engines. It returns false if no replica can serve it before the client gives up, with
// a Placement that has only Price and BusyFor. OnEngine modifies the slice of views.
func OnEngine(req Request, eng *cost.Engine, views []fleet.View, loads fleet.PrefillLoads) (Placement, bool) {
	dec := &decision{req: req, eng: eng, views: withoutExcluded(req, views), value: Value(req.PromptTokens)}
	if len(dec.views) == 0 {
		return Placement{}, false
	}
	dec.predictIterationTimes()
	dec.markShortCallReplicas()
	dec.predictSplitLoads(loads)
	dec.predictBacklog(loads)
	var best Placement
	least := math.Inf(1)
	for _, parts := range dec.partCounts() {
		pln, penalty, ok := dec.planSplit(parts)
		if ok && penalty < least && pln.FirstEvent <= dec.firstEventLimit() {
			best, least = pln, penalty
		}
	}
	best.Price, best.BusyFor = dec.price(), dec.busyFor
	if math.IsInf(least, 1) {
		return best, false
	}
	best.IterationTime = eng.IterationTime(best.Primary.DecodeStreams+1, best.Primary.DecodeTokens+req.PromptTokens)
	best.Value, best.Penalty, best.Slack = dec.value, least, dec.slack()
	best.ShortReplicas = dec.cells[best.Primary.Cell].shortReplicas
	best.NetValue = dec.netValue(&best)
	return best, true
}

// firstEventLimit returns the longest predicted time to the first event with which a placement is accepted.
func (dec *decision) firstEventLimit() time.Duration {
	limit := scale(dec.req.TimeLeft, firstEventShare)
	if dec.req.ClientIdleTimeout > 0 {
		limit = min(limit, scale(dec.req.ClientIdleTimeout, idleTimeoutShare))
	}
	if dec.price() > 0 {
		limit = dec.shareLimit(limit)
	}
	return limit
}

// withoutExcluded removes the excluded replicas from the views, in place.
func withoutExcluded(req Request, views []fleet.View) []fleet.View {
	return slices.DeleteFunc(views, func(vie fleet.View) bool { return slices.Contains(req.ExcludeReplicas, vie.ID) })
}

// ShouldLookElsewhere tells whether a call that was placed in the cell of this process should also be considered for
// other cells, whose load is known less exactly: it is predicted to miss its target or to delay others much.
func (pln *Placement) ShouldLookElsewhere() bool {
	return pln.Penalty > elsewherePenalty*pln.Value
}

// ShouldDefer tells whether a long prompt should wait for a better placement: at the moment it would delay other calls
// much or miss its target, and it has slack in which the streams that are in its way may end.
func (pln *Placement) ShouldDefer() bool {
	return pln.Slack > 0 && pln.Penalty > deferPenalty*pln.Value
}

// slack returns how long a long prompt can wait and still meet its target, if as many engines as possible prefill it
// then. It is 0 if waiting cannot help.
func (dec *decision) slack() time.Duration {
	prefill := dec.eng.PrefillTime(dec.req.PromptTokens)
	if prefill < fleet.LongPrefill {
		return 0
	}
	parts := min(maxParts, len(dec.views), max(dec.req.PromptTokens/minPartTokens, 1))
	latest := min(scale(dec.req.LatencyTarget, missFromRatio), dec.firstEventLimit())
	slack := latest - scale(prefill, dec.leastLatencyRatio())/time.Duration(parts) - slackMargin
	if !dec.mayEarnPrice(slack) {
		return 0
	}
	return slack
}

// slackMargin is the time to the first event besides prefill, on engines with decoding streams.
const slackMargin = 150 * time.Millisecond
