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
	// freshFor is the age up to which a report counts in full.
	freshFor = 3 * time.Second
	// staleQueue is what a report that has lost its weight is taken to say.
	staleQueue = 2 * time.Second
	// assumedRate in tokens a second is used until an agent reports one that it has observed.
	assumedRate = 20_000
	// reportLag is the time that a dispatch may need to show up in a report: the way to the agent and back.
	reportLag = 50 * time.Millisecond
	// penalty is added to the prediction after a refusal or failure and halves every penaltyHalfLife.
	refusalPenalty  = time.Second
	failurePenalty  = 4 * time.Second
	penaltyHalfLife = 250 * time.Millisecond
	maxPenalty      = 10 * time.Second
	// probeAfter is the time after a failure before a single call probes the agent.
	probeAfter = 250 * time.Millisecond
)

// view is what an entry knows of an agent. The lock of its shard guards all but peer and drained.
type view struct {
	peer proto.Peer
	lock *sync.Mutex
	// drained asks the configuration; nil if there is none.
	drained func(name string) bool

	report      proto.Report
	reportAt    time.Time // zero before the first report
	sent        []*Placement
	outstanding int
	penalty     time.Duration
	penaltyAt   time.Time
	failed      bool // since the last success; then only one call at a time
	failedAt    time.Time
	probing     bool
	prefixes    prefixes
}

func (vie *view) takeReport(now time.Time, rep proto.Report) {
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

func (vie *view) usable(now time.Time) bool {
	vie.lock.Lock()
	defer vie.lock.Unlock()
	return vie.mayTake(now)
}

func (vie *view) mayTake(now time.Time) bool {
	if vie.reportAt.IsZero() || now.Sub(vie.reportAt) > silentAfter || vie.report.Draining || !vie.report.Healthy {
		return false
	}
	if vie.drained != nil && vie.drained(vie.peer.Name) {
		return false
	}
	return !vie.failed || (!vie.probing && now.Sub(vie.failedAt) >= probeAfter)
}

// predict returns the predicted time to first token.
func (vie *view) predict(now time.Time, qry Query, opts Options) time.Duration {
	vie.lock.Lock()
	defer vie.lock.Unlock()
	wait := vie.wait(now, qry)
	if age := now.Sub(vie.reportAt); age > freshFor {
		weight := float64(silentAfter-age) / float64(silentAfter-freshFor)
		wait = time.Duration(weight*float64(wait) + (1-weight)*float64(max(wait, staleQueue)))
	}
	sum := wait + vie.stepWait() + vie.ownWork(qry) + vie.currentPenalty(now)
	if vie.peer.DataCentre != opts.DataCentre {
		sum += opts.RemoteDelay
	}
	return sum
}

// ownWork returns the prefill time of the query's prompt, less the prefix that this agent has probably cached.
func (vie *view) ownWork(qry Query) time.Duration {
	return cost.Prefill(max(0, qry.Cost.PromptTokens-vie.prefixes.cached(qry.PrefixHash)), vie.rate())
}

func (vie *view) rate() float64 {
	if vie.report.PrefillRate > 0 {
		return vie.report.PrefillRate
	}
	return assumedRate
}

func (vie *view) currentPenalty(now time.Time) time.Duration {
	halves := float64(now.Sub(vie.penaltyAt)) / float64(penaltyHalfLife)
	return time.Duration(float64(vie.penalty) * math.Exp2(-halves))
}

func (vie *view) fewest() int {
	vie.lock.Lock()
	defer vie.lock.Unlock()
	return vie.outstanding
}

// place counts a call as sent. It returns nil if the agent may no longer take it.
func (vie *view) place(tab *Table, qry Query, now time.Time) *Placement {
	vie.lock.Lock()
	defer vie.lock.Unlock()
	if !vie.mayTake(now) {
		return nil
	}
	plc := &Placement{tab: tab, view: vie, sentAt: now, probe: vie.failed, work: vie.ownWork(qry)}
	plc.long = !vie.short(qry.Cost)
	plc.total = vie.total(now, qry)
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
	Cost   proto.Cost // with the cached part that is expected at the agent
	tab    *Table
	view   *view
	sentAt time.Time
	work   time.Duration
	total  time.Duration // predicted time to the end of the answer
	long   bool          // not short for the agent
	probe  bool
	ended  bool
}

// Agent returns the name of the chosen agent.
func (plc *Placement) Agent() string { return plc.view.peer.Name }

// Total returns the time to the end of the answer that was predicted when the agent was chosen, or 0 if the agent has
// not reported a prefill rate. No other agent that was compared is likely to be much faster.
func (plc *Placement) Total() time.Duration { return plc.total }

// Verdict tells what a call has shown about its agent.
type Verdict int

// Verdicts.
const (
	Neutral Verdict = iota // nothing, for example because the caller went away
	Worked
	Refused
	Failed
)

// Started tells the table that the agent has begun to answer, which proves a probed agent healthy before a long answer
// has ended.
func (plc *Placement) Started() {
	plc.view.lock.Lock()
	defer plc.view.lock.Unlock()
	plc.recovered()
}

func (plc *Placement) recovered() {
	plc.view.failed = false
	plc.view.probing = false
}

// FirstToken tells the table that the call's prefill has ended.
func (plc *Placement) FirstToken() {
	plc.view.lock.Lock()
	defer plc.view.lock.Unlock()
	plc.view.dropSent(plc)
}

// End takes the call off the agent's account. Further calls do nothing.
func (plc *Placement) End(ver Verdict) {
	now := plc.tab.opts.Clock.Now()
	vie := plc.view
	vie.lock.Lock()
	defer vie.lock.Unlock()
	if plc.ended {
		return
	}
	plc.ended = true
	vie.outstanding--
	vie.dropSent(plc)
	if plc.probe {
		vie.probing = false
	}
	switch ver {
	case Worked:
		plc.recovered()
	case Refused:
		vie.punish(now, refusalPenalty)
		plc.recovered() // An agent that refuses is alive.
	case Failed:
		vie.punish(now, failurePenalty)
		vie.failed = true
		vie.failedAt = now
	case Neutral:
	}
}

func (vie *view) dropSent(plc *Placement) {
	vie.sent = slices.DeleteFunc(vie.sent, func(other *Placement) bool { return other == plc })
}

func (vie *view) punish(now time.Time, amount time.Duration) {
	vie.penalty = min(maxPenalty, vie.currentPenalty(now)+amount)
	vie.penaltyAt = now
}
