package member

import (
	"math/rand/v2"
	"time"
)

const (
	backoffBase = 250 * time.Millisecond
	// maxBackoff bounds the time for which an agent that is reachable again stays unused. With 96 agents per entry,
	// an entry makes at most about 26 dials a second while a whole data centre is unreachable.
	maxBackoff = 5 * time.Second
	// stableAfter is how long a connection must last to reset the backoff. An agent that accepts connections and then
	// fails at once is therefore not dialled at the base rate.
	stableAfter = 10 * time.Second
	// maxConcurrentDials bounds the dials and handshakes that an entry has in progress.
	maxConcurrentDials = 16
)

// Backoff returns the delay before the next attempt after the given number of failures: exponential backoff with jitter
// over the upper half, so that entries that lost the same agents do not redial them at the same moment.
func Backoff(failures int) time.Duration {
	bound := maxBackoff
	if failures < 10 { // Larger shifts could overflow, and all exceed the maximum.
		bound = min(maxBackoff, backoffBase<<max(failures-1, 0))
	}
	return bound/2 + rand.N(bound/2)
}
