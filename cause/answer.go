package cause

import (
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
	maxAnswers = 4096
	// maxAnnounceDelay bounds the random time after which answers are sent to the other processes. All of them may have
	// seen such answers, and those that hear of it first keep silent.
	maxAnnounceDelay = 100 * time.Millisecond
)

// RecordAnswer records that a replica has answered a call, at least in part.
func (trk *Tracker) RecordAnswer(cal Call) {
	trk.mu.Lock()
	defer trk.mu.Unlock()
	now := trk.opts.Clock.Now()
	if trk.suspected[cal.Fingerprint] { // Other calls are not likely to come again.
		trk.clearFeature(cal.Fingerprint, now)
	}
	for _, part := range cal.Parts {
		trk.clearFeature(part, now)
	}
}

// AddAnswers records answers that another process has seen.
func (trk *Tracker) AddAnswers(list []Answer) {
	trk.mu.Lock()
	defer trk.mu.Unlock()
	for _, ans := range list {
		delete(trk.unsent, ans.Feature) // The other processes know it now.
		trk.clearFeature(ans.Feature, ans.At)
	}
}

// clearFeature removes the suspicion from calls with a feature that were answered at the given time.
func (trk *Tracker) clearFeature(feature uint64, at time.Time) {
	answeredAt, ok := trk.answers[feature]
	if !ok {
		trk.evictAnswers()
	}
	if !at.After(answeredAt) {
		return
	}
	trk.answers[feature] = at
	if !trk.suspected[feature] {
		return
	}
	stillSuspected := false
	for _, crs := range trk.crashes {
		if !crs.at.Before(at.Add(recentAnswer)) {
			stillSuspected = true
		} else if crs.clear(feature) {
			trk.outdated = true
		}
	}
	trk.suspected[feature] = stillSuspected
}

// evictAnswers makes room for one more answer if there are too many.
func (trk *Tracker) evictAnswers() {
	if len(trk.answers) < maxAnswers {
		return
	}
	now := trk.opts.Clock.Now()
	for feature, at := range trk.answers {
		if now.Sub(at) > answerTime {
			delete(trk.answers, feature)
		}
	}
	if len(trk.answers) >= maxAnswers {
		clear(trk.answers)
	}
}

// clear removes the suspicion from a feature. It returns false if there was none.
func (crs *crash) clear(feature uint64) bool {
	num := len(crs.calls)
	crs.calls = slices.DeleteFunc(crs.calls, func(cal Call) bool { return cal.Fingerprint == feature })
	found := len(crs.calls) < num
	for idx := range crs.calls {
		cal := &crs.calls[idx]
		if pos := slices.Index(cal.Parts, feature); pos >= 0 {
			cal.Parts = slices.Delete(cal.Parts, pos, pos+1)
			found = true
		}
	}
	return found
}

// withoutAnswered returns the call of a report without the parts that are no suspects because calls with them have been
// answered.
func (trk *Tracker) withoutAnswered(rpt Report) Call {
	cal := Call{Fingerprint: rpt.Call.Fingerprint}
	for _, part := range rpt.Call.Parts[:min(len(rpt.Call.Parts), maxParts)] {
		if !trk.wasAnswered(part, rpt.At) {
			cal.Parts = append(cal.Parts, part)
		}
	}
	return cal
}

// wasAnswered reports whether a call with the given feature was answered after a crash, or so recently before it that
// the feature is no suspect. The other processes may not know of the answer and are informed.
func (trk *Tracker) wasAnswered(feature uint64, crashedAt time.Time) bool {
	at, ok := trk.answers[feature]
	if !ok || !at.After(crashedAt.Add(-recentAnswer)) {
		return false
	}
	trk.queueAnswer(feature)
	return true
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
		if at, ok := trk.answers[feature]; ok {
			list = append(list, Answer{Feature: feature, At: at})
		}
	}
	clear(trk.unsent)
	trk.mu.Unlock()
	if len(list) > 0 {
		trk.opts.OnAnswers(list)
	}
}
