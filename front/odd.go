package front

import (
	"sync"
	"time"

	"github.com/go-logr/logr"

	"github.com/tarragonwheel/tarragonwheel/timer"
)

const (
	// maxOddRecords is the number of keys whose odd records are logged within oddRecordInterval.
	maxOddRecords     = 64
	oddRecordInterval = 10 * time.Minute
	maxErrorText      = 200 // in bytes; the errors of decoders quote what they could not decode
)

// oddRecords logs the records of the store that cannot be used. They may be written and read again many times a second,
// so a key gets one line in each interval, and only so many keys do.
type oddRecords struct {
	clock  *timer.Service
	log    logr.Logger
	mu     sync.Mutex
	since  time.Time       // start of the current interval
	logged map[string]bool // by topic and key, in the current interval
}

// report logs that the record of a key in a topic cannot be used.
func (odd *oddRecords) report(topic, key string, err error) {
	odd.mu.Lock()
	defer odd.mu.Unlock()
	if now := odd.clock.Now(); odd.logged == nil || now.Sub(odd.since) >= oddRecordInterval {
		odd.since, odd.logged = now, make(map[string]bool)
	}
	id := topic + "/" + key
	if odd.logged[id] || len(odd.logged) > maxOddRecords {
		return
	}
	odd.logged[id] = true
	if len(odd.logged) > maxOddRecords {
		odd.log.Info("front: more odd records in the store, logging no others for a while", "logged", maxOddRecords)
		return
	}
	text := err.Error()
	odd.log.Info("front: ignoring an odd record in the store", "topic", topic, "key", key,
		"error", text[:min(len(text), maxErrorText)])
}
