// Package quota limits what each client account may use, by cost in tokens a second.
//
// A limit holds for all entries together, but there is no store between them. Each entry enforces its share: a tenth of
// the limit is divided evenly among the entries, the rest by their recent demand, which entries learn of each other
// from the agents' reports. So the share of an idle entry is lent to the busy ones.
package quota

import (
	"cmp"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/tarragonwheel/tarragonwheel/proto"
	"github.com/tarragonwheel/tarragonwheel/timer"
)

const (
	// evenPart of a limit is divided evenly, so that an entry without demand can admit its first requests at once.
	evenPart = 0.1
	// burst is the time for which an unused share is kept.
	burst = 5 * time.Second
	// startBurst is what a new entry has, so that entries that restart often do not multiply the limit.
	startBurst = time.Second
	// demandSpan is the time constant of the average of the demand. It is longer than a beat and a report together, so
	// that entries know of each other's demand before it has changed much.
	demandSpan = 4 * time.Second
	// heardFor is the time for which what was heard of another entry counts. A broken connection is noticed within 3 s.
	heardFor = 4 * time.Second
	// forgetAfter is the time after which an account without requests is forgotten. Its demand is below a thousandth.
	forgetAfter = 30 * time.Second
	// beatInterval is a little less than the time between two beats.
	beatInterval = 900 * time.Millisecond
	// MaxAccounts bounds the accounts in a message: those with the most demand.
	MaxAccounts = 16
	// maxRetryAfter bounds the advice to callers.
	maxRetryAfter = 30 * time.Second
)

// Options configure a Limiter.
type Options struct {
	Clock *timer.Service
	Self  string // name of this entry
	// Limit returns an account's limit in tokens a second, or 0 for none.
	Limit func(account string) int
}

// Limiter enforces this entry's share of each account's limit. It is safe for concurrent use.
type Limiter struct {
	opts Options

	mu       sync.Mutex
	accounts map[string]*bucket
	others   map[string]heard // by entry
	// entries is the largest number that an agent has recently reported. It keeps idle entries, of which no demand is
	// heard, from each saving up a burst of the whole limit.
	entries   int
	entriesAt time.Time
}

// bucket is the state of an account.
type bucket struct {
	at     time.Time
	tokens float64 // negative after a request that exceeded it
	demand float64 // tokens a second
	usedAt time.Time
	// told was the demand at toldAt, and known the one a beat earlier, which the other entries have heard by now.
	told   float64
	known  float64
	toldAt time.Time
}

// tell notes that the demand goes out in a beat.
func (bkt *bucket) tell(now time.Time) {
	if now.Sub(bkt.toldAt) < beatInterval {
		return // An additional beat.
	}
	bkt.known = bkt.told
	bkt.told = bkt.demand
	bkt.toldAt = now
}

// heard is what another entry has said last.
type heard struct {
	at     time.Time
	demand map[string]float64 // by account
}

// New returns a Limiter.
func New(opts Options) *Limiter {
	return &Limiter{opts: opts, accounts: make(map[string]*bucket), others: make(map[string]heard)}
}

// Admit tells whether a request of the given cost in tokens may run now, and takes the cost off the account's share. If
// not, it returns the time after which the caller may try again. A request may exceed what is left, and later ones wait
// until the excess is made up, since otherwise a prompt longer than the burst could never run.
func (lim *Limiter) Admit(account string, tokens int) (retryAfter time.Duration, ok bool) {
	limit := lim.opts.Limit(account)
	if limit <= 0 {
		return 0, true
	}
	lim.mu.Lock()
	defer lim.mu.Unlock()
	now := lim.opts.Clock.Now()
	bkt := lim.advance(account, float64(limit), now)
	bkt.usedAt = now
	bkt.demand += float64(tokens) / demandSpan.Seconds()
	if bkt.tokens > 0 {
		bkt.tokens -= float64(tokens)
		return 0, true
	}
	seconds := (1 - bkt.tokens) / lim.share(account, float64(limit), now)
	return min(maxRetryAfter, time.Duration(math.Ceil(seconds))*time.Second), false
}

// Refund returns the cost of an admitted request that did not run.
func (lim *Limiter) Refund(account string, tokens int) {
	lim.mu.Lock()
	defer lim.mu.Unlock()
	if bkt := lim.accounts[account]; bkt != nil {
		bkt.tokens += float64(tokens)
	}
}

// advance brings an account's state to now.
func (lim *Limiter) advance(account string, limit float64, now time.Time) *bucket {
	share := lim.share(account, limit, now)
	bkt := lim.accounts[account]
	if bkt == nil {
		bkt = &bucket{at: now, tokens: share * startBurst.Seconds()}
		lim.accounts[account] = bkt
	}
	passed := now.Sub(bkt.at).Seconds()
	bkt.at = now
	bkt.tokens = min(bkt.tokens+share*passed, share*burst.Seconds())
	bkt.demand *= math.Exp(-passed / demandSpan.Seconds())
	return bkt
}

// share returns this entry's part of an account's limit, in tokens a second. Its own demand counts once the others have
// heard of it, so that entries at which demand begins at the same time do not each take the whole limit.
func (lim *Limiter) share(account string, limit float64, now time.Time) float64 {
	own := 0.0
	if bkt := lim.accounts[account]; bkt != nil {
		own = min(limit, bkt.known)
	}
	entries, all := 1, own
	for _, hrd := range lim.others {
		if now.Sub(hrd.at) <= heardFor {
			entries++
			all += min(limit, hrd.demand[account])
		}
	}
	entries = max(entries, lim.entries)
	if all <= 0 {
		return limit / float64(entries)
	}
	return limit * (evenPart/float64(entries) + (1-evenPart)*own/all)
}

// Demand returns this entry's demand, by account with a limit, for its beats.
func (lim *Limiter) Demand() []proto.AccountDemand {
	lim.mu.Lock()
	defer lim.mu.Unlock()
	now := lim.opts.Clock.Now()
	var list []proto.AccountDemand
	for account, bkt := range lim.accounts {
		limit := lim.opts.Limit(account)
		if limit <= 0 || now.Sub(bkt.usedAt) > forgetAfter && bkt.tokens >= 0 {
			delete(lim.accounts, account)
			continue
		}
		lim.advance(account, float64(limit), now)
		bkt.tell(now)
		if rate := int(bkt.demand); rate > 0 {
			list = append(list, proto.AccountDemand{Account: account, Rate: rate})
		}
	}
	slices.SortFunc(list, func(one, two proto.AccountDemand) int {
		return cmp.Or(two.Rate-one.Rate, cmp.Compare(one.Account, two.Account))
	})
	return list[:min(len(list), MaxAccounts)]
}

// Hear takes what an agent reports of the entries that are connected to it: their number, and the demand of those that
// have any.
func (lim *Limiter) Hear(entries int, demands []proto.EntryDemand) {
	lim.mu.Lock()
	defer lim.mu.Unlock()
	now := lim.opts.Clock.Now()
	if entries >= lim.entries || now.Sub(lim.entriesAt) > heardFor {
		lim.entries, lim.entriesAt = entries, now
	}
	for name, hrd := range lim.others {
		if now.Sub(hrd.at) > heardFor {
			delete(lim.others, name)
		}
	}
	for _, dmd := range demands {
		if dmd.Entry == lim.opts.Self {
			continue
		}
		hrd := heard{at: now, demand: make(map[string]float64)}
		for _, acc := range dmd.Accounts {
			hrd.demand[acc.Account] = float64(acc.Rate)
		}
		lim.others[dmd.Entry] = hrd
	}
}
