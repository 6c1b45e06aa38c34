package peers

import "time"

// Bounds of the numbers in a message. Datagrams may come from other programs, and sums of what is in them must not
// overflow.
const (
	maxMessageTime = time.Hour
	maxCount       = 1 << 30
)

// toDuration returns a time in a message, which is in milliseconds and not negative.
func toDuration(milliseconds int64) time.Duration { return max(toOffset(milliseconds), 0) }

// toOffset returns a time in a message that may be negative.
func toOffset(milliseconds int64) time.Duration {
	const limit = int64(maxMessageTime / time.Millisecond)
	return time.Duration(min(max(milliseconds, -limit), limit)) * time.Millisecond
}

// toCount returns a number in a message that is not negative.
func toCount(num int) int { return min(max(num, 0), maxCount) }
