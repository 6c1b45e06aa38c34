package pace

import "time"

// windowTime is the time within which a quota is not exceeded. It is longer than the second of the limit, because calls
// take longer to arrive at one time than at another: all fronts send their first calls to a cold replica at once, and
// the next ones must not arrive within a second of these.
const windowTime = time.Second + 30*time.Millisecond

// window holds when calls were sent within the last windowTime, the oldest first.
type window struct{ sent []time.Time }

// count returns the number of calls in the window that ends now.
func (win *window) count(now time.Time) int {
	old := 0
	for old < len(win.sent) && now.Sub(win.sent[old]) >= windowTime {
		old++
	}
	if old > 0 {
		win.sent = win.sent[:copy(win.sent, win.sent[old:])]
	}
	return len(win.sent)
}

// add adds a call that is sent now.
func (win *window) add(now time.Time) { win.sent = append(win.sent, now) }

// freeIn returns the time until fewer calls than the quota, which is above 0, are in the window.
func (win *window) freeIn(now time.Time, quota int) time.Duration {
	num := win.count(now)
	if num < quota {
		return 0
	}
	return win.sent[num-quota].Add(windowTime).Sub(now)
}
