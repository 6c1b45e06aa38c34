package member

import (
	"math/rand/v2"
	"time"
)

const (
	backoffBase = 250 * time.Millisecond
	// backoffLimit bounds the time for which an agent that is back stays unused. With 96 agents per entry it means at
	// most about 26 attempts a second per entry while a whole data centre is away.
	backoffLimit = 5 * time.Second
	// steadyAfter is the age at which a connection counts as good, so that an agent that accepts connections and fails
	// at once is not dialled at the base rate.
	steadyAfter = 10 * time.Second
	// dialLimit bounds the handshakes that an entry has under way at the same time.
	dialLimit = 16
)

// Backoff returns the delay before an attempt after the given number of failures, from half to the whole of an
// exponentially growing bound, so that entries that lost the same agents do not return at the same moment.
func Backoff(failures int) time.Duration {
	bound := backoffLimit
	if failures < 10 { // Larger shifts would overflow, and lie above the limit in any case.
		bound = min(backoffLimit, backoffBase<<max(failures-1, 0))
	}
	return bound/2 + rand.N(bound/2)
}
