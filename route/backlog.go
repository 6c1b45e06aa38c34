package route

import (
	"slices"
	"time"

	"github.com/tarragonwheel/tarragonwheel/cost"
	"github.com/tarragonwheel/tarragonwheel/proto"
)

// lateRank is longer than any prediction.
const lateRank = 1000 * time.Hour

// chunkTokens is the part of a long prompt that engines commonly prefill in a step.
const chunkTokens = 4096

// longClaim is the wait, as a multiple of its own prefill, for which a long prompt leaves the last free agent to short
// requests.
const longClaim = 2.0

// waitPerRunning is small beside any prefill: among agents without prefill work, the one that decodes least is chosen.
const waitPerRunning = time.Millisecond

// backlog is the prefill work that an agent is taken to have. Short requests overtake long ones there, so the work is
// kept apart: a short request waits for the short part alone.
type backlog struct {
	short time.Duration // work that a short request waits for
	long  time.Duration // the rest
}

// drain takes off what the engine does in a time, the short part first.
func (bkl *backlog) drain(took time.Duration) {
	first := min(bkl.short, took)
	bkl.short -= first
	bkl.long = max(0, bkl.long-(took-first))
}

// backlog returns the work reported and sent since, less what the engine has done since. The lock is held.
func (vie *view) backlog(now time.Time) backlog {
	rep := &vie.report
	bkl := backlog{short: max(rep.WaitShort, rep.QueuedPrefill-rep.LongPrefill)}
	bkl.long = max(0, rep.QueuedPrefill-bkl.short)
	at := vie.reportAt
	short := time.Duration(0)
	for _, plc := range vie.sent {
		if !plc.long {
			short += plc.work
			continue
		}
		if plc.sentAt.After(at) {
			bkl.drain(plc.sentAt.Sub(at))
			at = plc.sentAt
		}
		bkl.long += plc.work
	}
	bkl.drain(max(0, now.Sub(at)))
	bkl.short += short // Until their first tokens, since a short prefill often takes longer than predicted.
	return bkl
}

// wait returns the predicted time before the agent begins with the query's prefill. The lock is held.
func (vie *view) wait(now time.Time, qry Query) time.Duration {
	bkl := vie.backlog(now)
	switch {
	case !vie.short(qry.Cost):
		return bkl.short + bkl.long
	case vie.busyLong():
		return bkl.short + vie.chunkWait()
	default:
		return bkl.short
	}
}

// total returns the predicted time to the end of the answer, or 0 if the agent has reported no rate. The lock is held.
func (vie *view) total(now time.Time, qry Query) time.Duration {
	if vie.report.PrefillRate <= 0 {
		return 0
	}
	return vie.wait(now, qry) + vie.ownWork(qry) + time.Duration(qry.Cost.OutputTokens)*vie.report.OutputTime
}

// lateness ranks an agent at which the call is predicted to miss its deadline behind all others. A claim or a penalty
// must not lead a call to such an agent while another can still answer in time.
func (vie *view) lateness(now time.Time, qry Query) time.Duration {
	vie.lock.Lock()
	defer vie.lock.Unlock()
	total := vie.total(now, qry)
	if qry.Remaining <= 0 || total <= qry.Remaining {
		return 0
	}
	return lateRank + total
}

// busyLong tells whether the agent has a long prompt to prefill. A report follows at once when that changes. The lock
// is held.
func (vie *view) busyLong() bool {
	if vie.report.LongPrefill > 0 {
		return true
	}
	return slices.ContainsFunc(vie.sent, func(plc *Placement) bool { return plc.long })
}

// stepWait is a short request's wait for the engine's steps that decode other requests.
func (vie *view) stepWait() time.Duration {
	return time.Duration(max(vie.outstanding, vie.report.Running)) * waitPerRunning
}

func (vie *view) prefillsLong() bool {
	vie.lock.Lock()
	defer vie.lock.Unlock()
	return vie.busyLong()
}

// claim is what a long prompt is taken to cost the short requests if it goes to an agent that prefills no other long
// one. The fewer such agents are left, the more it costs. So long prompts share a few agents while their wait there is
// short compared to their own prefill, and spread over more, up to all, when it is not.
func (vie *view) claim(qry Query, calm int) time.Duration {
	vie.lock.Lock()
	defer vie.lock.Unlock()
	if vie.short(qry.Cost) || vie.busyLong() || vie.report.ShortLimit == 0 {
		return 0
	}
	return time.Duration(longClaim / float64(calm) * float64(vie.ownWork(qry)))
}

// chunkWait is the time that a short request may wait for the engine's step with a chunk of a long prompt.
func (vie *view) chunkWait() time.Duration { return cost.Prefill(chunkTokens, vie.rate()) }

// short tells whether the agent treats a request as short. Agents that state no limit have no short requests.
func (vie *view) short(cst proto.Cost) bool {
	return vie.report.ShortLimit > 0 && cst.PromptTokens <= vie.report.ShortLimit
}
