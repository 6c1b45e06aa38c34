package cause

import (
	"math/rand/v2"
	"time"
)

// maxAnnounceDelay bounds the random time after which answers are sent to the other processes. All of them may have
// seen such answers, and those that hear of it first keep silent.
const maxAnnounceDelay = 100 * time.Millisecond

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
