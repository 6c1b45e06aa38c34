package route

import (
	"slices"
	"time"

	"github.com/tarragonwheel/tarragonwheel/cost"
	"github.com/tarragonwheel/tarragonwheel/proto"
)

// latePenalty exceeds any predicted time.
const latePenalty = 1000 * time.Hour

// chunkTokens is a common size of the chunks in which engines prefill a long prompt, one chunk a step.
const chunkTokens = 4096

// interferenceFactor is the longest wait, as a multiple of its own prefill time, that a long prompt accepts elsewhere
// before it goes to the last agent without a long prompt.
const interferenceFactor = 2.0

// delayPerRunning is the delay assumed for each running request. It is small beside any prefill time, so that it only
// decides among agents without a prefill backlog: the one with the fewest decoding requests is chosen.
const delayPerRunning = time.Millisecond

// backlog is the assumed prefill backlog of an agent. Short requests overtake long ones there and wait for the short
// part alone, so the two parts are separate.
type backlog struct {
	short time.Duration // prefill time that a short request waits for
	long  time.Duration // the rest
}

// advance subtracts the prefill that the engine does in the given time, the short part first.
func (bkl *backlog) advance(took time.Duration) {
	first := min(bkl.short, took)
	bkl.short -= first
	bkl.long = max(0, bkl.long-(took-first))
}

// backlog returns the reported prefill backlog, plus the calls sent since the report, less what the engine has done
// since. The lock is held.
func (vie *agentView) backlog(now time.Time) backlog {
	rep := &vie.report
	bkl := backlog{short: max(rep.ShortWait, rep.QueuedPrefill-rep.LongPrefill)}
	bkl.long = max(0, rep.QueuedPrefill-bkl.short)
	at := vie.reportAt
	short := time.Duration(0)
	for _, plc := range vie.sent {
		if !plc.long {
			short += plc.prefillTime
			continue
		}
		if plc.sentAt.After(at) {
			bkl.advance(plc.sentAt.Sub(at))
			at = plc.sentAt
		}
		bkl.long += plc.prefillTime
	}
	bkl.advance(max(0, now.Sub(at)))
	// Short calls count in full until their first tokens, since a short prefill often takes longer than predicted.
	bkl.short += short
	return bkl
}

// prefillWait returns the predicted time until the agent starts the prefill of the query. The lock is held.
func (vie *agentView) prefillWait(now time.Time, qry Query) time.Duration {
	bkl := vie.backlog(now)
	switch {
	case !vie.short(qry.Cost):
		return bkl.short + bkl.long
	case vie.hasLongPrefillLocked():
		return bkl.short + vie.chunkTime()
	default:
		return bkl.short
	}
}

// predictTotal returns the predicted time to the end of the answer, or 0 if the agent has reported no prefill rate. The
// lock is held.
func (vie *agentView) predictTotal(now time.Time, qry Query) time.Duration {
	if vie.report.PrefillRate <= 0 {
		return 0
	}
	return vie.prefillWait(now, qry) + vie.prefillTime(qry) + time.Duration(qry.Cost.OutputTokens)*vie.report.OutputTime
}

// latenessPenalty ranks an agent at which the call is predicted to miss its deadline behind all others. No other
// penalty may lead a call to such an agent while another agent can still answer in time.
func (vie *agentView) latenessPenalty(now time.Time, qry Query) time.Duration {
	vie.lock.Lock()
	defer vie.lock.Unlock()
	total := vie.predictTotal(now, qry)
	if qry.Remaining <= 0 || total <= qry.Remaining {
		return 0
	}
	return latePenalty + total
}

// hasLongPrefillLocked reports whether the agent has a long prompt to prefill. The agent sends a report at once when
// that changes. The lock is held.
func (vie *agentView) hasLongPrefillLocked() bool {
	if vie.report.LongPrefill > 0 {
		return true
	}
	return slices.ContainsFunc(vie.sent, func(plc *Placement) bool { return plc.long })
}

// decodeDelay returns the delay assumed for a request because of the engine's steps that decode other requests. The
// lock is held.
func (vie *agentView) decodeDelay() time.Duration {
	return time.Duration(max(vie.outstanding, vie.report.Running)) * delayPerRunning
}

// hasLongPrefill is hasLongPrefillLocked for callers without the lock.
func (vie *agentView) hasLongPrefill() bool {
	vie.lock.Lock()
	defer vie.lock.Unlock()
	return vie.hasLongPrefillLocked()
}

// interferencePenalty returns the penalty for the delay that a long prompt causes to short requests if it goes to an
// agent that prefills no other long prompt. The fewer of these agents are left (free), the higher it is. So long
// prompts share a few agents while their wait there is short compared to their own prefill time. When it is not, they
// spread over more agents, up to all.
func (vie *agentView) interferencePenalty(qry Query, free int) time.Duration {
	vie.lock.Lock()
	defer vie.lock.Unlock()
	if vie.short(qry.Cost) || vie.hasLongPrefillLocked() || vie.report.ShortLimit == 0 {
		return 0
	}
	return time.Duration(interferenceFactor / float64(free) * float64(vie.prefillTime(qry)))
}

// chunkTime returns the time that a short request may wait for the engine's step with a chunk of a long prompt. The
// lock is held.
func (vie *agentView) chunkTime() time.Duration { return cost.PrefillTime(chunkTokens, vie.rate()) }

// short reports whether the agent treats a request as short. Without a reported ShortLimit, no request is short.
func (vie *agentView) short(cst proto.Cost) bool {
	return vie.report.ShortLimit > 0 && cst.PromptTokens <= vie.report.ShortLimit
}
