package place

import (
	"math"
	"slices"
	"time"

	"github.com/tarragonwheel/tarragonwheel/cost"
	"github.com/tarragonwheel/tarragonwheel/fleet"
)

// decision holds a request, the replicas that may serve it, and what is derived from them to compare placements.
type decision struct {
	req            Request
	eng            *cost.Engine
	views          []fleet.View
	value          float64         // of the call
	iterationTimes []time.Duration // of each view, if it prefills nothing
	forShortCalls  []bool          // whether each view is set aside for short calls
	cells          map[string]*cell
	backlog        time.Duration // mean prefill backlog of the replicas
	busyFor        time.Duration // predicted time until backlog is below busyBacklog
}

// cell holds what is derived from the replicas of one cell.
type cell struct {
	replicas      int
	shortCalls    int // in flight
	shortReplicas int // replicas set aside for short calls
	// splitLoad is the share of time that replicas for long prompts spend on parts of split prompts, which engines
	// prefill before whole prompts.
	splitLoad float64
}

// markShortCallReplicas sets replicas of each cell aside for short calls: the first healthy ones in hash order, so that
// all processes choose the same, and as many as the short calls in flight fill to maxOccupancy. The others are left to
// long prompts, whose prefill would delay short calls. All healthy replicas are set aside while the load of other
// processes is unknown.
func (dec *decision) markShortCallReplicas() {
	const (
		maxOccupancy = 0.6 // share of the slots that short calls may fill
		// Replicas that reach one of these limits do not count as healthy.
		maxFailureRate  = 0.25
		maxLatencyRatio = 1.6
	)
	dec.countShortCalls()
	dec.forShortCalls = make([]bool, len(dec.views))
	for idx := range dec.views {
		vie := &dec.views[idx]
		cel := dec.cells[vie.Cell]
		wanted := cel.replicas
		if !dec.req.LoadUnknown {
			wanted = int(math.Ceil(float64(cel.shortCalls) / (maxOccupancy * float64(max(dec.eng.Slots, 1)))))
		}
		if cel.shortReplicas < wanted && vie.FailureRate < maxFailureRate && vie.LatencyRatio < maxLatencyRatio {
			dec.forShortCalls[idx] = true
			cel.shortReplicas++
		}
	}
}

// countShortCalls counts the replicas and the short calls of each cell. The call to be placed counts in each.
func (dec *decision) countShortCalls() {
	dec.cells = make(map[string]*cell)
	for idx := range dec.views {
		vie := &dec.views[idx]
		cel := dec.cells[vie.Cell]
		if cel == nil {
			cel = &cell{shortCalls: 1}
			dec.cells[vie.Cell] = cel
		}
		cel.replicas++
		cel.shortCalls += vie.ShortCalls()
	}
}

// minPartTokens is the length of the shortest part of a prompt that justifies a helper replica.
const minPartTokens = 5000

// maxParts limits the number of engines that prefill one prompt.
const maxParts = 16

// partCounts returns the numbers of parts into which the prompt may be split; 1 stands for the whole prompt.
func (dec *decision) partCounts() []int {
	list := []int{1}
	for _, num := range []int{2, 3, 4, 5, 6, 8, 10, 12, 14, maxParts} {
		if num <= len(dec.views) && dec.req.PromptTokens/num >= minPartTokens {
			list = append(list, num)
		}
	}
	return list
}

// candidate is a replica that may prefill the prompt or a part of it.
type candidate struct {
	idx          int           // of its view
	penalty      float64       // all that does not depend on firstEvent: interference, failures, locality and so on
	interference float64       // value that other calls on the replica lose
	firstEvent   time.Duration // predicted time to the first event
}

// planSplit returns the best placement of the prompt in the given number of parts, and its penalty. It returns false if
// there are too few replicas, or if they lack the memory.
func (dec *decision) planSplit(parts int) (pln Placement, penalty float64, ok bool) {
	prefill := dec.eng.PrefillTime(dec.req.PromptTokens) / time.Duration(parts)
	chosen, holds := dec.choosePrimary(prefill, parts)
	if parts > 1 {
		for _, cnd := range dec.rankCandidates(prefill, helperPart) {
			if len(chosen) < parts && cnd.idx != chosen[0].idx && !dec.views[cnd.idx].SlowStart {
				chosen = append(chosen, cnd)
			}
		}
	}
	if len(chosen) < parts {
		return Placement{}, 0, false
	}
	pln.Primary = dec.views[chosen[0].idx]
	pln.PrefillTime = prefill
	for num, cnd := range chosen {
		penalty += cnd.penalty
		pln.interference += cnd.interference
		pln.FirstEvent = max(pln.FirstEvent, cnd.firstEvent)
		if num > 0 {
			pln.Helpers = append(pln.Helpers, HelperPart{View: dec.views[cnd.idx]})
		}
	}
	if !holds && !dec.reserveAtHelpers(&pln) {
		return Placement{}, 0, false
	}
	penalty += dec.value * latePenalty * missProbability(pln.FirstEvent, dec.req.LatencyTarget)
	penalty += dec.value * waitPenalty(pln.FirstEvent, dec.req.LatencyTarget)
	penalty += dec.value * helperPenalty * float64(parts-1)
	return pln, penalty, true
}

// choosePrimary returns the best primary replica, and whether it can hold the whole prompt. There is always one.
func (dec *decision) choosePrimary(prefill time.Duration, parts int) (chosen []candidate, holds bool) {
	rol := primaryPart
	if parts == 1 {
		rol = wholePrompt
	}
	ranked := dec.rankCandidates(prefill, rol)
	if holder := dec.findHolder(ranked, parts); holder >= 0 {
		return ranked[holder : holder+1 : holder+1], true
	}
	return ranked[:1:1], false
}

// rankCandidates returns all replicas as candidates for a role, lowest penalty first. The duration is the prefill time.
func (dec *decision) rankCandidates(prefill time.Duration, rol role) []candidate {
	ranked := make([]candidate, len(dec.views))
	short := dec.eng.PrefillTime(dec.req.PromptTokens) < fleet.LongPrefill
	for idx := range dec.views {
		vie := &dec.views[idx]
		cnd := candidate{idx: idx, firstEvent: dec.predictFirstEvent(idx, prefill, rol)}
		cnd.interference = dec.interference(idx, prefill, rol)
		cnd.penalty = cnd.interference + dec.value*failurePenalty*vie.FailureRate
		cnd.penalty += slotPenalty*float64(vie.Calls())/float64(max(vie.Slots, 1)) + dec.req.jitterPenalty()
		if vie.DataCentre != dec.req.DataCentre {
			cnd.penalty += remotePenalty
		}
		if short && !dec.forShortCalls[idx] {
			cnd.penalty += longReplicaPenalty
		}
		if rol != helperPart && dec.req.GapTarget > 0 {
			cnd.penalty += dec.value * latePenalty * missProbability(
				dec.iterationTimes[idx]+scale(vie.PrefillBacklog, vie.LatencyRatio), dec.req.GapTarget)
		}
		ranked[idx] = cnd
	}
	slices.SortFunc(ranked, func(one, two candidate) int { return sign(dec.totalPenalty(one) - dec.totalPenalty(two)) })
	return ranked
}

// totalPenalty returns the penalty of a candidate together with that for the predicted time to the first event. It
// orders the candidates.
func (dec *decision) totalPenalty(cnd candidate) float64 {
	return cnd.penalty + dec.value*(latePenalty*missProbability(cnd.firstEvent, dec.req.LatencyTarget)+
		waitPenalty(cnd.firstEvent, dec.req.LatencyTarget))
}

// waitPenalty returns the share of a call's value that is lost when its first event takes the given time. The penalty
// for missing the target is not included.
func waitPenalty(firstEvent, target time.Duration) float64 {
	ratio := float64(firstEvent) / float64(max(target, minLatencyTarget))
	return earlyWaitPenalty*min(ratio, 1) + overduePenalty*max(ratio-1, 0)
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
