// Package share divides the capacity of busy replicas among client accounts.
//
// A Ledger counts the prefill time that this process has recently admitted for each account. From that it derives the
// factor by which an account's calls pay more or less for prefill time than those of an account with an equal share.
// The counts are not exchanged with other processes and are lost with this one.
package share

import (
	"math"
	"sync"
	"time"

	"github.com/tarragonwheel/tarragonwheel/timer"
)

const (
	// halfLife is the half-life of admitted prefill time. A shortage lasts for seconds, and an account that has
	// admitted one very long prompt must not pay for it much longer than the prefill takes.
	halfLife = 5 * time.Second
	// decayInterval is the interval at which the prefill time decays. It changes by 3.4% at once.
	decayInterval = 250 * time.Millisecond
	// minRecentSeconds is the decayed prefill time, in seconds, from which an account has recent work. A prompt of
	// 5,000 tokens counts for about 25 s.
	minRecentSeconds = 0.001
	// maxAccounts bounds the accounts of a Ledger. It is above the 750 accounts of the target size.
	maxAccounts = 1024
)

// maxFactor is the price factor of an account that has twice its fair share or more. The least one, of an account
// without recent work, is 1/maxFactor.
const maxFactor = 2.0

// Ledger counts the prefill time that was admitted for each account. It is safe for concurrent use.
type Ledger struct {
	clock   *timer.Service
	mu      sync.Mutex
	seconds map[string]float64 // admitted prefill time in seconds, decayed, by account
	total   float64            // sum of seconds
	updated time.Time          // when the prefill time last decayed
}

// New returns an empty Ledger.
func New(clk *timer.Service) *Ledger {
	return &Ledger{clock: clk, seconds: make(map[string]float64), updated: clk.Now()}
}

// Add records that a call of an account was admitted, whose prompt takes the given time to prefill.
func (led *Ledger) Add(account string, prefill time.Duration) {
	if prefill <= 0 {
		return
	}
	led.mu.Lock()
	defer led.mu.Unlock()
	led.decay()
	if _, ok := led.seconds[account]; !ok && len(led.seconds) >= maxAccounts {
		led.removeLeast()
	}
	led.seconds[account] += prefill.Seconds()
	led.total += prefill.Seconds()
}

// PriceFactor returns the factor by which a call of the account pays more for prefill time than one of an account with
// an equal share of the admitted work. It is between 1/2 and 2, and 1 if no other account has recent work.
func (led *Ledger) PriceFactor(account string) float64 {
	led.mu.Lock()
	defer led.mu.Unlock()
	led.decay()
	own, ok := led.seconds[account]
	accounts := len(led.seconds)
	if !ok {
		accounts++
	}
	if accounts < 2 {
		return 1
	}
	return priceFactor(own, led.total/float64(accounts))
}

// Accounts returns the number of accounts with recent work.
func (led *Ledger) Accounts() int {
	led.mu.Lock()
	defer led.mu.Unlock()
	led.decay()
	return len(led.seconds)
}

// priceFactor returns the price factor of an account with the given work: the ratio of the work to the fair share,
// between its bounds. So an account with half its fair share or less pays half, and one with twice that or more twice.
func priceFactor(own, fair float64) float64 {
	if fair <= 0 {
		return 1
	}
	return min(max(own/fair, 1/maxFactor), maxFactor)
}

// decay lets the prefill time decay and removes accounts without recent work. The caller holds the lock.
func (led *Ledger) decay() {
	now := led.clock.Now()
	passed := now.Sub(led.updated)
	if passed < decayInterval {
		return
	}
	led.updated = now
	led.total = 0
	kept := math.Exp2(-float64(passed) / float64(halfLife))
	for account, sec := range led.seconds {
		if sec *= kept; sec < minRecentSeconds {
			delete(led.seconds, account)
			continue
		}
		led.seconds[account] = sec
		led.total += sec
	}
}

// removeLeast removes the account with the least recent work. The caller holds the lock.
func (led *Ledger) removeLeast() {
	least, seconds := "", math.Inf(1)
	for account, sec := range led.seconds {
		if sec < seconds {
			least, seconds = account, sec
		}
	}
	led.total -= seconds
	delete(led.seconds, least)
}
