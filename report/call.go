package report

import (
	"errors"
	"net/http"
	"strconv"
	"time"
)

// Reasons of calls that were answered by a replica.
const (
	reasonDone          = "done" // served completely
	reasonReplicaFailed = "replica-failed"
)

// call is how a call ended, and the placement of its last attempt.
type call struct {
	endedAt      time.Time
	reason       string
	status       int // 0 if no complete response was sent
	attempts     int
	events       int // of the response stream
	promptTokens int
	took         time.Duration
	firstEvent   time.Duration // after the arrival of the call
	predicted    time.Duration // of the first event; 0 if it was not predicted
	replica      string        // empty if the call was placed nowhere
	summaryAge   time.Duration // of the load on which the call was placed; 0 if it was not known as a summary
}

// refused reports whether a front answered the call with an error that says that it did not run.
func (cal *call) refused() bool {
	switch {
	case cal.reason == reasonDone || cal.reason == reasonReplicaFailed:
		return false // The status is the replica's.
	case cal.status == http.StatusServiceUnavailable:
		return true
	default:
		return cal.attempts == 0 && cal.status >= http.StatusBadRequest
	}
}

// streamed reports whether the call has a first event and a prediction of it.
func (cal *call) streamed() bool { return cal.events > 0 && cal.promptTokens > 0 && cal.predicted > 0 }

// callOf returns the call that a line of the message "relay: call ended" describes.
func callOf(fds fields) (call, error) {
	prs := &fieldParser{fields: fds}
	cal := call{
		reason:       fds["reason"],
		status:       prs.number("status"),
		attempts:     prs.number("attempts"),
		events:       prs.number("events"),
		promptTokens: prs.number("prompt-tokens"),
		took:         prs.duration("took"),
		firstEvent:   prs.duration("first-event"),
		predicted:    prs.duration("predicted-first-event"),
		replica:      fds["replica"],
		summaryAge:   prs.duration("summary-age"),
	}
	endedAt, err := time.Parse(time.RFC3339Nano, fds["time"])
	cal.endedAt = endedAt
	return cal, errors.Join(err, prs.err)
}

// fieldParser converts fields and keeps the errors.
type fieldParser struct {
	fields fields
	err    error
}

func (prs *fieldParser) number(key string) int {
	num, err := strconv.Atoi(prs.fields[key])
	prs.err = errors.Join(prs.err, err)
	return num
}

func (prs *fieldParser) duration(key string) time.Duration {
	dur, err := time.ParseDuration(prs.fields[key])
	prs.err = errors.Join(prs.err, err)
	return dur
}
