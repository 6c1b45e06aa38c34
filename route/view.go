package route

import (
	"math"
	"slices"
	"sync"
	"time"

	"github.com/tarragonwheel/tarragonwheel/cost"
	"github.com/tarragonwheel/tarragonwheel/proto"
)

const (
	// freshReportAge is the age up to which a report has full weight. The weight then falls to 0 at maxReportAge.
	freshReportAge = 3 * time.Second
	// staleReportWait is the least wait assumed for an agent whose report has no weight any more.
	staleReportWait = 2 * time.Second
	// assumedRate is the prefill rate, in tokens a second, that is assumed until an agent reports an observed one.
	assumedRate = 20_000
	// reportLag is the longest time until a call that was sent appears in the agent's reports: a round trip.
	reportLag = 50 * time.Millisecond
	// The penalties are added to the predicted time after a refusal or failure. They decay with penaltyHalfLife.
	refusalPenalty  = time.Second
	failurePenalty  = 4 * time.Second
	penaltyHalfLife = 250 * time.Millisecond
	maxPenalty      = 10 * time.Second
	// probeAfter is the time after a failure until a single call probes the agent.
	probeAfter = 250 * time.Millisecond
)

// agentView is what an entry knows about an agent. The lock of its shard guards all but peer and drained.
type agentView struct {
	peer proto.Peer
	lock *sync.Mutex
	// drained is Options.Drained.
	drained func(name string) bool

	report      proto.Report
	reportAt    time.Time    // zero before the first report
	sent        []*Placement // calls in prefill that the report may not include
	outstanding int          // calls that have not ended
	penalty     time.Duration
	penaltyAt   time.Time
	failed      bool // a call has failed since the last success; only a single call at a time may probe the agent
	failedAt    time.Time
	probing     bool // a probe is in flight
	prefixes    prefixes
}

// applyReport replaces the report. Calls sent before it are taken to be included, except the most recent ones.
func (vie *agentView) applyReport(now time.Time, rep proto.Report) {
	vie.lock.Lock()
	defer vie.lock.Unlock()
	vie.report = rep
	vie.reportAt = now
	kept := vie.sent[:0]
	for _, plc := range vie.sent {
		if now.Sub(plc.sentAt) < reportLag {
			kept = append(kept, plc)
		}
	}
	clear(vie.sent[len(kept):])
	vie.sent = kept
}

// usable is usableLocked for callers without the lock.
func (vie *agentView) usable(now time.Time) bool {
	vie.lock.Lock()
	defer vie.lock.Unlock()
	return vie.usableLocked(now)
}

// usableLocked reports whether the agent may get a call now. The lock is held.
func (vie *agentView) usableLocked(now time.Time) bool {
	if vie.reportAt.IsZero() || now.Sub(vie.reportAt) > maxReportAge || vie.report.Draining || !vie.report.Healthy {
		return false
	}
	if vie.drained != nil && vie.drained(vie.peer.Name) {
		return false
	}
	return !vie.failed || (!vie.probing && now.Sub(vie.failedAt) >= probeAfter)
}

// predictFirstToken returns the predicted time to first token, including the penalty for recent refusals and failures.
func (vie *agentView) predictFirstToken(now time.Time, qry Query, opts Options) time.Duration {
	vie.lock.Lock()
	defer vie.lock.Unlock()
	wait := vie.prefillWait(now, qry)
	if age := now.Sub(vie.reportAt); age > freshReportAge {
		weight := float64(maxReportAge-age) / float64(maxReportAge-freshReportAge)
		wait = time.Duration(weight*float64(wait) + (1-weight)*float64(max(wait, staleReportWait)))
	}
	sum := wait + vie.decodeDelay() + vie.prefillTime(qry) + vie.currentPenalty(now)
	if vie.peer.DataCentre != opts.DataCentre {
		sum += opts.RemoteDelay
	}
	return sum
}

// prefillTime returns the predicted prefill time of the query's prompt, without the prefix that this agent probably has
// cached. The lock is held.
func (vie *agentView) prefillTime(qry Query) time.Duration {
	return cost.Prefill(max(0, qry.Cost.PromptTokens-vie.prefixes.cached(qry.PrefixHash)), vie.rate())
}

// rate returns the agent's prefill rate in tokens a second. The lock is held.
func (vie *agentView) rate() float64 {
	if vie.report.PrefillRate > 0 {
		return vie.report.PrefillRate
	}
	return assumedRate
}

func (vie *agentView) currentPenalty(now time.Time) time.Duration {
	halves := float64(now.Sub(vie.penaltyAt)) / float64(penaltyHalfLife)
	return time.Duration(float64(vie.penalty) * math.Exp2(-halves))
}

func (vie *agentView) outstandingCalls() int {
	vie.lock.Lock()
	defer vie.lock.Unlock()
	return vie.outstanding
}

// placeCall counts a call as sent to the agent. It returns nil if the agent is no longer usable.
func (vie *agentView) placeCall(tab *Table, qry Query, now time.Time) *Placement {
	vie.lock.Lock()
	defer vie.lock.Unlock()
	if !vie.usableLocked(now) {
		return nil
	}
	plc := &Placement{tab: tab, view: vie, sentAt: now, probe: vie.failed, prefillTime: vie.prefillTime(qry)}
	plc.long = !vie.short(qry.Cost)
	plc.total = vie.predictTotal(now, qry)
	plc.Cost = qry.Cost
	plc.Cost.CachedTokens = min(vie.prefixes.cached(qry.PrefixHash), qry.Cost.PromptTokens)
	vie.probing = vie.failed
	vie.outstanding++
	vie.sent = append(vie.sent, plc)
	vie.prefixes.add(qry.PrefixHash)
	return plc
}

// Placement is a call sent to an agent.
type Placement struct {
	Cost        proto.Cost // with the number of prompt tokens that the agent probably has cached
	tab         *Table
	view        *agentView
	sentAt      time.Time
	prefillTime time.Duration
	total       time.Duration // predicted time to the end of the answer
	long        bool          // not short for the agent
	probe       bool          // the call probes an agent that has failed
	ended       bool
}

// Agent returns the name of the chosen agent.
func (plc *Placement) Agent() string { return plc.view.peer.Name }

// PredictedTotal returns the time to the end of the answer, as predicted when the agent was chosen, or 0 if the agent
// has not reported a prefill rate. None of the other agents that were compared is likely to be much faster.
func (plc *Placement) PredictedTotal() time.Duration { return plc.total }

// CallResult is the result of a call, as far as it concerns the health of the agent.
type CallResult int

// Values of CallResult.
const (
	Neutral   CallResult = iota // says nothing about the agent, for example because the caller disconnected
	Succeeded                   // the agent has answered
	Refused                     // the agent has refused the call
	Failed                      // the agent or the connection to it has failed
)

// RecordStarted records that the agent has begun to answer. It ends the probing of an agent that had failed, before the
// end of a long answer.
func (plc *Placement) RecordStarted() {
	plc.view.lock.Lock()
	defer plc.view.lock.Unlock()
	plc.clearFailure()
}

// clearFailure marks the agent as healthy. The lock is held.
func (plc *Placement) clearFailure() {
	plc.view.failed = false
	plc.view.probing = false
}

// RecordFirstToken records that the call's prefill has ended.
func (plc *Placement) RecordFirstToken() {
	plc.view.lock.Lock()
	defer plc.view.lock.Unlock()
	plc.view.removeSent(plc)
}

// End records the end of the call with its result. Further calls of End do nothing.
func (plc *Placement) End(res CallResult) {
	now := plc.tab.opts.Clock.Now()
	vie := plc.view
	vie.lock.Lock()
	defer vie.lock.Unlock()
	if plc.ended {
		return
	}
	plc.ended = true
	vie.outstanding--
	vie.removeSent(plc)
	if plc.probe {
		vie.probing = false
	}
	switch res {
	case Succeeded:
		plc.clearFailure()
	case Refused:
		vie.addPenalty(now, refusalPenalty)
		plc.clearFailure() // An agent that refuses a call is reachable.
	case Failed:
		vie.addPenalty(now, failurePenalty)
		vie.failed = true
		vie.failedAt = now
	case Neutral:
	}
}

func (vie *agentView) removeSent(plc *Placement) {
	vie.sent = slices.DeleteFunc(vie.sent, func(other *Placement) bool { return other == plc })
}

func (vie *agentView) addPenalty(now time.Time, amount time.Duration) {
	vie.penalty = min(maxPenalty, vie.currentPenalty(now)+amount)
	vie.penaltyAt = now
}
