package cause

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"
)

// Times and bounds of answers.
const (
	// recentAnswer is the time before a crash in which an answer shows that a feature is no suspect of it. Parts that
	// most calls have are thus not suspected when several replicas are lost at the same moment.
	recentAnswer = time.Second
	// answerTime is how long an answer is kept at least, while there is room.
	answerTime = 10 * time.Second
	maxAnswers = 16 << 10
	// maxAnnounceDelay bounds the random time after which answers are sent to the other processes. All of them may have
	// seen such answers, and those that hear of it first keep silent.
	maxAnnounceDelay = 100 * time.Millisecond
)

// evidence is when calls with a feature were last answered; zero for never.
type evidence struct {
	advancedAt time.Time // beyond the beginning, or completely
	completeAt time.Time
}

// RecordAnswer records that a replica has answered a call completely.
func (trk *Tracker) RecordAnswer(cal Call) { trk.recordAnswer(cal, true) }

// RecordProgress records that the answer to a call has gone beyond its beginning.
func (trk *Tracker) RecordProgress(cal Call) { trk.recordAnswer(cal, false) }

func (trk *Tracker) recordAnswer(cal Call, complete bool) {
	trk.mu.Lock()
	defer trk.mu.Unlock()
	now := trk.opts.Clock.Now()
	// Other calls are not likely to come again.
	if trk.suspected[cal.Fingerprint] || trk.undecided[cal.Fingerprint] != nil {
		trk.applyOwnAnswer(Answer{Feature: cal.Fingerprint, At: now, Complete: complete})
	}
	for _, part := range cal.Parts {
		trk.applyOwnAnswer(Answer{Feature: part, At: now, Complete: complete})
	}
}

// applyOwnAnswer applies an answer that this process has seen, and informs the others if it changes a suspicion.
func (trk *Tracker) applyOwnAnswer(ans Answer) {
	if trk.applyAnswer(ans) {
		trk.queueAnswer(ans.Feature)
	}
}

// AddAnswers records answers that another process has seen.
func (trk *Tracker) AddAnswers(list []Answer) {
	trk.mu.Lock()
	defer trk.mu.Unlock()
	for _, ans := range list {
		if trk.answers[ans.Feature].isKnownFrom(ans) {
			delete(trk.unsent, ans.Feature)
		}
		trk.applyAnswer(ans)
	}
}

// applyAnswer records an answer. It removes the suspicion from calls with its feature if the answer is complete, and
// weakens it otherwise. It returns false if that changes nothing.
func (trk *Tracker) applyAnswer(ans Answer) bool {
	before, ok := trk.answers[ans.Feature]
	if !ok {
		trk.evictAnswers()
	}
	evi := before
	if ans.Complete && ans.At.After(evi.completeAt) {
		evi.completeAt = ans.At
	}
	if ans.At.After(evi.advancedAt) {
		evi.advancedAt = ans.At
	}
	trk.answers[ans.Feature] = evi
	if evi == before || !trk.suspected[ans.Feature] {
		return false
	}
	if ans.Complete {
		return trk.clearFeature(ans.Feature, ans.At)
	}
	return trk.weakenFeature(ans.Feature, before.advancedAt, evi.advancedAt)
}

// clearFeature removes the suspicion from calls with a feature that were answered completely at the given time. It
// returns false if there was none.
func (trk *Tracker) clearFeature(feature uint64, at time.Time) bool {
	stillSuspected, changed := false, false
	for _, crs := range trk.crashes {
		if !crs.at.Before(at.Add(recentAnswer)) {
			stillSuspected = true
		} else if crs.clear(feature) {
			changed = true
		}
	}
	trk.suspected[feature] = stillSuspected
	trk.outdated = trk.outdated || changed
	return changed
}

// weakenFeature has the crashes explained again if an answer at the given time has made a feature a weaker suspect of
// one of them. The answer before it may have done so already. It returns false if nothing changes.
func (trk *Tracker) weakenFeature(feature uint64, before, at time.Time) bool {
	changed := slices.ContainsFunc(trk.crashes, func(crs *crash) bool {
		return exonerates(at, crs.at) && !exonerates(before, crs.at) && crs.suspects(feature)
	})
	trk.outdated = trk.outdated || changed
	return changed
}

// exonerates reports whether an answer speaks against a cause of a crash: it came after the crash, or so recently
// before it that what had been answered is not likely to be the cause.
func exonerates(answeredAt, crashedAt time.Time) bool {
	return answeredAt.After(crashedAt.Add(-recentAnswer))
}

// hasAdvanced reports whether the answer to a call with the given feature has gone beyond its beginning since a crash
// at the given time.
func (trk *Tracker) hasAdvanced(feature uint64, crashedAt time.Time) bool {
	return exonerates(trk.answers[feature].advancedAt, crashedAt)
}

// evictAnswers makes room for one more answer if there are too many.
func (trk *Tracker) evictAnswers() {
	if len(trk.answers) < maxAnswers {
		return
	}
	for _, age := range []time.Duration{answerTime, recentAnswer} {
		now := trk.opts.Clock.Now()
		maps.DeleteFunc(trk.answers, func(_ uint64, evi evidence) bool { return now.Sub(evi.advancedAt) > age })
		if len(trk.answers) < maxAnswers/2 {
			return
		}
	}
	if len(trk.answers) >= maxAnswers {
		clear(trk.answers)
	}
}

// withoutAnswered returns the call of a report, its parts sorted and without those that are no suspects because calls
// with them have been answered.
func (trk *Tracker) withoutAnswered(rpt Report) Call {
	cal := Call{Fingerprint: rpt.Call.Fingerprint}
	for _, part := range rpt.Call.Parts[:min(len(rpt.Call.Parts), maxParts)] {
		if !trk.wasAnswered(part, rpt.At) {
			cal.Parts = append(cal.Parts, part)
		}
	}
	slices.Sort(cal.Parts)
	cal.Parts = slices.Compact(cal.Parts)
	return cal
}

// wasAnswered reports whether a call with the given feature was answered completely after a crash, or so recently
// before it that the feature is no suspect. The other processes may not know of an answer that speaks against it, and
// are informed.
func (trk *Tracker) wasAnswered(feature uint64, crashedAt time.Time) bool {
	evi, ok := trk.answers[feature]
	if !ok || !exonerates(evi.advancedAt, crashedAt) {
		return false
	}
	trk.queueAnswer(feature)
	return exonerates(evi.completeAt, crashedAt)
}

// queueAnswer schedules that the other processes are told when calls with a feature were answered.
func (trk *Tracker) queueAnswer(feature uint64) {
	if len(trk.unsent) == 0 {
		trk.opts.Clock.After(rand.N(maxAnnounceDelay), trk.sendAnswers)
	}
	trk.unsent[feature] = struct{}{}
}

// sendAnswers tells the other processes of the answers that none of them has sent meanwhile.
func (trk *Tracker) sendAnswers() {
	trk.mu.Lock()
	var list []Answer
	for feature := range trk.unsent {
		list = append(list, trk.answers[feature].answers(feature)...)
	}
	clear(trk.unsent)
	trk.mu.Unlock()
	if len(list) > 0 {
		trk.opts.OnAnswers(list)
	}
}

// isKnownFrom reports whether processes that know an answer need not be told of the evidence.
func (evi evidence) isKnownFrom(ans Answer) bool {
	if ans.Complete {
		return !ans.At.Before(evi.completeAt)
	}
	return evi.completeAt.IsZero() && !ans.At.Before(evi.advancedAt)
}

// answers returns the answers of which the evidence of a feature consists.
func (evi evidence) answers(feature uint64) (list []Answer) {
	if !evi.completeAt.IsZero() {
		list = append(list, Answer{Feature: feature, At: evi.completeAt, Complete: true})
	}
	if evi.advancedAt.After(evi.completeAt) {
		list = append(list, Answer{Feature: feature, At: evi.advancedAt})
	}
	return list
}
