package front

import (
	"context"
	"sync"
	"time"
)

const (
	// maxFreeze is the time for which the process may have been stopped and use what it knows at once. A record that
	// was written meanwhile is then read in time: a data centre is evacuated within 5 s.
	maxFreeze = 3 * time.Second
	// maxCatchUpTime bounds the time for which calls wait after a longer stop. A front that has not read the operator's
	// topic by then has lost the store, and goes on with what it and its peers know.
	maxCatchUpTime    = time.Second
	catchUpPollPeriod = 5 * time.Millisecond
)

// freezeWatch notices that the process was stopped for long, as when its VM is paused.
type freezeWatch struct {
	mu        sync.Mutex
	ranAt     time.Time // when the process last ran
	resumedAt time.Time // after the stop that is being made up for; zero for none
}

// recordRun records that the process runs. It returns when it was resumed if it was stopped for long and nothing has
// been read since, and whether this is new.
func (fzw *freezeWatch) recordRun(now time.Time) (resumedAt time.Time, isNew bool) {
	fzw.mu.Lock()
	defer fzw.mu.Unlock()
	if !fzw.ranAt.IsZero() && now.Sub(fzw.ranAt) > maxFreeze {
		fzw.resumedAt, isNew = now, true
	}
	if now.After(fzw.ranAt) {
		fzw.ranAt = now
	}
	return fzw.resumedAt, isNew
}

// finish records that what was missed during the stop has been read.
func (fzw *freezeWatch) finish() {
	fzw.mu.Lock()
	defer fzw.mu.Unlock()
	fzw.resumedAt = time.Time{}
}

// awaitOperatorTopic blocks after the process was stopped for long, until the operator's topic has been read again.
func (frt *Front) awaitOperatorTopic(ctx context.Context) {
	for frt.hasMissedRecords() && frt.clock.Sleep(ctx, catchUpPollPeriod) == nil {
	}
}

// hasMissedRecords reports whether the process was stopped for long and has not read the operator's topic since. The
// first call after a stop starts the read.
func (frt *Front) hasMissedRecords() bool {
	now := frt.clock.Now()
	resumedAt, isNew := frt.freeze.recordRun(now)
	if resumedAt.IsZero() {
		return false
	}
	select {
	case <-frt.following:
	default:
		return false // Nothing is served before the first listing.
	}
	if isNew {
		frt.log.Info("front: resumed after a stop, reading the operator's topic")
		frt.metrics.CountEvent("resumed-after-stop")
		frt.configFollower.CatchUp()
	}
	waited := now.Sub(resumedAt)
	age, known := frt.configFollower.Age()
	isRead := known && age < waited
	if !isRead && waited < maxCatchUpTime {
		return true
	}
	frt.log.Info("front: calls go on after a stop", "operator-topic-read", isRead, "waited", waited)
	frt.freeze.finish()
	return false
}
