// Package ledger records which attempt holds how much of an engine's KV memory and one of its slots.
package ledger

import (
	"sync"

	"github.com/gravitational/trace"
)

// Ledger holds the reservations of one engine. One lock guards it: an engine runs a few hundred requests at once, and
// each operation takes well under a microsecond.
type Ledger struct {
	headroom float64

	mu        sync.Mutex
	tokens    int // KV memory of the engine
	slots     int
	held      map[string]Reservation
	used      int
	usedLong  int
	longCount int
	holdShare float64
	usedHold  int
}

// Reservation is what one attempt holds: a slot and KV memory.
type Reservation struct {
	Owner  string // attempt ID
	Tokens int
	Short  bool
	Hold   bool // for a part of a prompt that several engines share; see Hold
}

// Usage is a consistent view of a Ledger. Memory is in tokens.
type Usage struct {
	Tokens   int
	Slots    int
	Used     int
	UsedLong int // part of Used held by requests that are not short
	Running  int // slots held
	LongMax  int // memory that requests which are not short may hold together
	UsedHold int // part of UsedLong held for parts of prompts
	HoldMax  int // memory that may be held for parts of prompts together
}

// Free returns the memory that is not reserved.
func (usg Usage) Free() int { return max(0, usg.Tokens-usg.Used) }

// New returns a Ledger without memory or slots; see Resize. The headroom is the share of both that only short requests
// may use.
func New(headroom float64) *Ledger {
	return &Ledger{headroom: headroom, held: make(map[string]Reservation)}
}

// Resize sets the engine's memory and slots. Reservations stay, even if they now exceed the new size.
func (led *Ledger) Resize(tokens, slots int) {
	led.mu.Lock()
	defer led.mu.Unlock()
	led.tokens = tokens
	led.slots = slots
}

// Reserve takes memory and a slot for an attempt. It returns trace.AlreadyExists if the attempt holds a reservation,
// and trace.LimitExceeded if the reservation does not fit.
func (led *Ledger) Reserve(rsv Reservation) error {
	led.mu.Lock()
	defer led.mu.Unlock()
	return led.take(rsv, led.fits(rsv))
}

// ReserveBeside is like Reserve, but leaves alone what the waiting reservation needs: once those who hold memory now
// have released it, waiting fits. Short requests may go on using the headroom.
func (led *Ledger) ReserveBeside(rsv, waiting Reservation) error {
	led.mu.Lock()
	defer led.mu.Unlock()
	return led.take(rsv, led.fits(rsv) && led.leavesRoom(rsv, waiting))
}

func (led *Ledger) leavesRoom(rsv, waiting Reservation) bool {
	if rsv.Short {
		shortSlots := led.slots - led.longSlots()
		tokens := min(led.tokens-led.longTokens(), led.tokens-waiting.Tokens)
		if led.used-led.usedLong+rsv.Tokens <= tokens && len(led.held)-led.longCount < shortSlots {
			return true
		}
	}
	if led.used+rsv.Tokens+waiting.Tokens > led.tokens || len(led.held)+2 > led.slots {
		return false
	}
	if rsv.Short || waiting.Short {
		return true
	}
	return led.usedLong+rsv.Tokens+waiting.Tokens <= led.longTokens() && led.longCount+2 <= led.longSlots()
}

func (led *Ledger) take(rsv Reservation, fits bool) error {
	if _, taken := led.held[rsv.Owner]; taken {
		return trace.AlreadyExists("ledger: attempt %s holds a reservation", rsv.Owner)
	}
	if !fits {
		return trace.LimitExceeded("ledger: %d tokens do not fit beside %d of %d", rsv.Tokens, led.used, led.tokens)
	}
	led.held[rsv.Owner] = rsv
	led.used += rsv.Tokens
	if rsv.Hold {
		led.usedHold += rsv.Tokens
	}
	if !rsv.Short {
		led.usedLong += rsv.Tokens
		led.longCount++
	}
	return nil
}

func (led *Ledger) fits(rsv Reservation) bool {
	if len(led.held) >= led.slots || led.used+rsv.Tokens > led.tokens {
		return false
	}
	if rsv.Short {
		return true
	}
	return led.usedLong+rsv.Tokens <= led.longTokens() && led.longCount < led.longSlots()
}

func (led *Ledger) longTokens() int { return int((1 - led.headroom) * float64(led.tokens)) }

// longSlots leaves at least one slot to long requests, so that an engine with few slots still serves them.
func (led *Ledger) longSlots() int { return max(1, int((1-led.headroom)*float64(led.slots))) }

// Release ends an attempt's reservation. It tells whether there was one; a second release changes nothing.
func (led *Ledger) Release(owner string) bool {
	led.mu.Lock()
	defer led.mu.Unlock()
	rsv, ok := led.held[owner]
	if !ok {
		return false
	}
	delete(led.held, owner)
	led.used -= rsv.Tokens
	if rsv.Hold {
		led.usedHold -= rsv.Tokens
	}
	if !rsv.Short {
		led.usedLong -= rsv.Tokens
		led.longCount--
	}
	return true
}

// Holds tells whether the attempt holds a reservation.
func (led *Ledger) Holds(owner string) bool {
	led.mu.Lock()
	defer led.mu.Unlock()
	_, ok := led.held[owner]
	return ok
}

// Usage returns the current state.
func (led *Ledger) Usage() Usage {
	led.mu.Lock()
	defer led.mu.Unlock()
	return Usage{
		Tokens: led.tokens, Slots: led.slots, Used: led.used, UsedLong: led.usedLong,
		Running: len(led.held), LongMax: led.longTokens(),
		UsedHold: led.usedHold, HoldMax: led.holdTokens(),
	}
}
