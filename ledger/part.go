package ledger

// SetPartShare sets the share of the memory, from 0 to 1, that may be reserved for parts of split prompts. It is 0 in a
// new Ledger.
func (led *Ledger) SetPartShare(share float64) {
	led.mu.Lock()
	defer led.mu.Unlock()
	led.partShare = share
}

// partLimit returns the memory that may be reserved for parts of split prompts together. It never exceeds longLimit, so
// that these leave the headroom to short requests.
func (led *Ledger) partLimit() int {
	return min(led.longLimit(), int(led.partShare*float64(led.tokens)))
}

// ReservePart reserves memory and a slot for a part of a split prompt, within the share set by SetPartShare. It
// returns the errors of Reserve. If waiting is not nil, it is not delayed, as by ReserveWithoutDelaying.
func (led *Ledger) ReservePart(rsv Reservation, waiting *Reservation) error {
	rsv.Part = true
	led.mu.Lock()
	defer led.mu.Unlock()
	fits := led.fits(rsv) && led.usedByParts+rsv.Tokens <= led.partLimit()
	if waiting != nil {
		fits = fits && led.leavesRoomFor(rsv, *waiting)
	}
	return led.add(rsv, fits)
}

// FreeForPart returns the largest part reservation, in tokens, that fits now.
func (usg Usage) FreeForPart() int {
	return max(0, min(usg.PartLimit-usg.UsedByParts, usg.LongLimit-usg.UsedLong, usg.Free()))
}
