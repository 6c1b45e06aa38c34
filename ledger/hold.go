package ledger

// ShareHolds sets the share of memory that may be held for parts of prompts which several engines share. It is 0 in a
// new Ledger.
func (led *Ledger) ShareHolds(share float64) {
	led.mu.Lock()
	defer led.mu.Unlock()
	led.holdShare = share
}

// holdTokens never exceeds what long requests may hold, so that the headroom of short requests stays theirs.
func (led *Ledger) holdTokens() int {
	return min(led.longTokens(), int(led.holdShare*float64(led.tokens)))
}

// Hold takes memory and a slot for a part of a prompt, within the share set by ShareHolds. It never waits: the error is
// that of Reserve. A waiting reservation that is not nil is left alone as by ReserveBeside.
func (led *Ledger) Hold(rsv Reservation, waiting *Reservation) error {
	rsv.Hold = true
	led.mu.Lock()
	defer led.mu.Unlock()
	fits := led.fits(rsv) && led.usedHold+rsv.Tokens <= led.holdTokens()
	if waiting != nil {
		fits = fits && led.leavesRoom(rsv, *waiting)
	}
	return led.take(rsv, fits)
}

// FreeHold returns the largest hold that would be granted now.
func (usg Usage) FreeHold() int {
	return max(0, min(usg.HoldMax-usg.UsedHold, usg.LongMax-usg.UsedLong, usg.Free()))
}
