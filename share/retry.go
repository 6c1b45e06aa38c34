package share

import "time"

const (
	// minRetryAfter is the shortest Retry-After time of a client that has the time for it. Clients that return earlier
	// find the same backlog.
	minRetryAfter = 300 * time.Millisecond
	// shortRetryAfter is the shortest Retry-After time of a client with little time left.
	shortRetryAfter = 100 * time.Millisecond
	// minJitter is the shortest time over which clients are spread that have the time for it. Clients that are refused
	// in the same moment would else return in the same moment.
	minJitter = 400 * time.Millisecond
)

// RetryAfter returns the Retry-After time of a call that is refused because replicas are predicted to be busy for the
// given time. Its client waits for the given limit at most. A random number in [0, 1) spreads the clients over half of
// the time or more, so that they do not return together.
func RetryAfter(busyFor, limit time.Duration, rnd float64) time.Duration {
	limit = max(limit, shortRetryAfter)
	least := min(minRetryAfter, limit/2) // leaves room for the jitter
	if limit > minRetryAfter {
		least = minRetryAfter
	}
	from := min(max(busyFor, least), limit)
	jitter := max(from/2, minJitter)
	until := min(from+jitter, limit)
	from = max(min(from, limit-jitter), least)
	return from + time.Duration(rnd*float64(until-from))
}
