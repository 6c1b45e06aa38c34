package follow

// Position is a place in the log of a topic. Offsets name the same records only within one era: a store that is
// restored from an older copy begins a new era, and gives out the offsets after the copy again.
type Position struct {
	Era    int64 // 0 if the store does not state one
	Offset int64
}

// Before reports whether the position is before another one. Eras rise.
func (pos Position) Before(other Position) bool {
	return pos.Era < other.Era || pos.Era == other.Era && pos.Offset < other.Offset
}

// isOfOtherEra reports whether the position is of another era than an earlier one. A store that does not state its era
// must have been restored if its topic has become shorter.
func (pos Position) isOfOtherEra(earlier Position) bool {
	return pos.Era != earlier.Era || pos.Era == 0 && pos.Offset < earlier.Offset
}
