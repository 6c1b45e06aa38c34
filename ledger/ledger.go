// Package ledger records the reservations of one engine: the KV memory and the slot of each attempt.
package ledger

import (
	"sync"

	"github.com/gravitational/trace"
)

// Ledger holds the reservations of one engine. One lock guards it: an engine runs a few hundred requests at once, and
// each operation takes well under a microsecond.
type Ledger struct {
	headroom float64

	mu           sync.Mutex
	tokens       int // size of the engine's KV memory
	slots        int
	reservations map[string]Reservation
	used         int
	usedLong     int
	longRunning  int
	partShare    float64
	usedByParts  int
}

// Reservation is a slot and an amount of KV memory for one attempt.
type Reservation struct {
	AttemptID string
	Tokens    int
	Short     bool // the request is short and may use the headroom
	Part      bool // for a part of a split prompt; see ReservePart
}

// Usage is a consistent view of a Ledger. Memory is in tokens.
type Usage struct {
	Tokens      int
	Slots       int
	Used        int
	UsedLong    int // part of Used that is reserved for long requests
	Running     int // occupied slots
	LongLimit   int // limit of UsedLong
	UsedByParts int // part of UsedLong that is reserved for parts of split prompts
	PartLimit   int // limit of UsedByParts
}

// Free returns the memory that is not reserved.
func (usg Usage) Free() int { return max(0, usg.Tokens-usg.Used) }

// New returns a Ledger without memory or slots; see Resize. The headroom is the share of both, from 0 to 1, that only
// short requests may use.
func New(headroom float64) *Ledger {
	return &Ledger{headroom: headroom, reservations: make(map[string]Reservation)}
}

// Resize sets the engine's memory and slots. Reservations stay, even if they now exceed the new size.
func (led *Ledger) Resize(tokens, slots int) {
	led.mu.Lock()
	defer led.mu.Unlock()
	led.tokens = tokens
	led.slots = slots
}

// Reserve reserves memory and a slot for an attempt. It returns trace.AlreadyExists if the attempt has a reservation,
// and trace.LimitExceeded if the reservation does not fit.
func (led *Ledger) Reserve(rsv Reservation) error {
	led.mu.Lock()
	defer led.mu.Unlock()
	return led.add(rsv, led.fits(rsv))
}

// ReserveWithoutDelaying is like Reserve, but leaves free what the waiting reservation needs: once all present
// reservations are released, waiting fits beside the new one. Short requests may still use the headroom.
func (led *Ledger) ReserveWithoutDelaying(rsv, waiting Reservation) error {
	led.mu.Lock()
	defer led.mu.Unlock()
	return led.add(rsv, led.fits(rsv) && led.leavesRoomFor(rsv, waiting))
}

// leavesRoomFor reports whether waiting still fits once the present reservations are released, but rsv is not. It does
// if a short rsv fits into the headroom, or if all present reservations, rsv and waiting fit together. The lock is
// held.
func (led *Ledger) leavesRoomFor(rsv, waiting Reservation) bool {
	if rsv.Short {
		shortSlots := led.slots - led.longSlots()
		tokens := min(led.tokens-led.longLimit(), led.tokens-waiting.Tokens)
		if led.used-led.usedLong+rsv.Tokens <= tokens && len(led.reservations)-led.longRunning < shortSlots {
			return true
		}
	}
	if led.used+rsv.Tokens+waiting.Tokens > led.tokens || len(led.reservations)+2 > led.slots {
		return false
	}
	if rsv.Short || waiting.Short {
		return true
	}
	return led.usedLong+rsv.Tokens+waiting.Tokens <= led.longLimit() && led.longRunning+2 <= led.longSlots()
}

// add records a reservation if it fits and the attempt has none. The lock is held.
func (led *Ledger) add(rsv Reservation, fits bool) error {
	if _, taken := led.reservations[rsv.AttemptID]; taken {
		return trace.AlreadyExists("ledger: attempt %s holds a reservation", rsv.AttemptID)
	}
	if !fits {
		return trace.LimitExceeded("ledger: %d tokens do not fit beside %d of %d", rsv.Tokens, led.used, led.tokens)
	}
	led.reservations[rsv.AttemptID] = rsv
	led.used += rsv.Tokens
	if rsv.Part {
		led.usedByParts += rsv.Tokens
	}
	if !rsv.Short {
		led.usedLong += rsv.Tokens
		led.longRunning++
	}
	return nil
}

// fits reports whether the reservation fits into the free memory and slots. The lock is held.
func (led *Ledger) fits(rsv Reservation) bool {
	if len(led.reservations) >= led.slots || led.used+rsv.Tokens > led.tokens {
		return false
	}
	if rsv.Short {
		return true
	}
	return led.usedLong+rsv.Tokens <= led.longLimit() && led.longRunning < led.longSlots()
}

// longLimit returns the memory, in tokens, that long requests may use together.
func (led *Ledger) longLimit() int { return int((1 - led.headroom) * float64(led.tokens)) }

// longSlots leaves at least one slot to long requests, so that an engine with few slots still serves them.
func (led *Ledger) longSlots() int { return max(1, int((1-led.headroom)*float64(led.slots))) }

// Release ends an attempt's reservation and reports whether there was one. A second release does nothing.
func (led *Ledger) Release(attemptID string) bool {
	led.mu.Lock()
	defer led.mu.Unlock()
	rsv, ok := led.reservations[attemptID]
	if !ok {
		return false
	}
	delete(led.reservations, attemptID)
	led.used -= rsv.Tokens
	if rsv.Part {
		led.usedByParts -= rsv.Tokens
	}
	if !rsv.Short {
		led.usedLong -= rsv.Tokens
		led.longRunning--
	}
	return true
}

// Holds reports whether the attempt has a reservation.
func (led *Ledger) Holds(attemptID string) bool {
	led.mu.Lock()
	defer led.mu.Unlock()
	_, ok := led.reservations[attemptID]
	return ok
}

// Usage returns the current state.
func (led *Ledger) Usage() Usage {
	led.mu.Lock()
	defer led.mu.Unlock()
	return Usage{
		Tokens: led.tokens, Slots: led.slots, Used: led.used, UsedLong: led.usedLong,
		Running: len(led.reservations), LongLimit: led.longLimit(),
		UsedByParts: led.usedByParts, PartLimit: led.partLimit(),
	}
}
