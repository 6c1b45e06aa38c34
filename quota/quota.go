// Package quota limits the rate of each client account, by the cost of its requests in tokens a second.
//
// A limit holds for all entries together, without a shared store. Each entry enforces its own share with a token
// bucket: a tenth of the limit is divided evenly among the entries, the rest in proportion to their recent demand. The
// entries send their demand to the agents and learn that of others from the agents' reports. So busy entries can use
// most of an idle entry's share.
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
	// evenFraction is the part of a limit that is divided evenly, so that an entry without demand can admit its first
	// requests at once.
	evenFraction = 0.1
	// burstTime sets the capacity of a bucket: the tokens that the entry's share provides in this time.
	burstTime = 5 * time.Second
	// initialBurstTime sets the initial fill of a bucket in the same way. It is less than burstTime, so that entries
	// that restart often do not multiply the limit.
	initialBurstTime = time.Second
	// demandTimeConstant is the time constant of the exponentially decaying average of the demand. It is longer than a
	// heartbeat interval and a report interval together, so that the demand has not changed much when other entries
	// receive it.
	demandTimeConstant = 4 * time.Second
	// remoteDemandTTL is the time for which the last received demand of another entry counts. A broken connection is
	// detected within 3 s.
	remoteDemandTTL = 4 * time.Second
	// idleAccountTTL is the time after the last request after which an account is removed. By then, its demand has
	// decayed to less than a thousandth.
	idleAccountTTL = 30 * time.Second
	// minHeartbeatInterval is a little less than the interval of the regular heartbeats. Heartbeats that follow sooner
	// are additional ones.
	minHeartbeatInterval = 900 * time.Millisecond
	// MaxAccounts is the maximum number of accounts in a heartbeat: those with the highest demand.
	MaxAccounts = 16
	// maxRetryAfter is the maximum of the retry time that callers are told.
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
	remote   map[string]remoteDemand // by entry
	// reportedEntries is the largest number of entries that an agent has recently reported. Idle entries send no
	// demand, so without this number each of them would fill its bucket with a burst of the whole limit.
	reportedEntries   int
	reportedEntriesAt time.Time
}

// bucket is the token bucket of an account, with this entry's demand for it.
type bucket struct {
	updatedAt time.Time // time to which tokens and demand apply
	tokens    float64   // negative after a request that cost more than there was
	demand    float64   // average of all requests, admitted or refused, in tokens a second
	usedAt    time.Time // of the last request
	// sentDemand is the demand in the last heartbeat, at sentAt. sharedDemand is that of the heartbeat before, which
	// the other entries have received by now.
	sentDemand   float64
	sharedDemand float64
	sentAt       time.Time
}

// recordSent records that the present demand is sent in a heartbeat.
func (bkt *bucket) recordSent(now time.Time) {
	if now.Sub(bkt.sentAt) < minHeartbeatInterval {
		return // An additional heartbeat.
	}
	bkt.sharedDemand = bkt.sentDemand
	bkt.sentDemand = bkt.demand
	bkt.sentAt = now
}

// remoteDemand is the demand last received of another entry.
type remoteDemand struct {
	at     time.Time          // of the receipt
	demand map[string]float64 // by account, in tokens a second
}

// New returns a Limiter without accounts.
func New(opts Options) *Limiter {
	return &Limiter{opts: opts, accounts: make(map[string]*bucket), remote: make(map[string]remoteDemand)}
}

// Admit reports whether a request of the given cost in tokens may run now. If so, it takes the cost from the account's
// bucket; if not, it returns the time after which the caller may retry. A request may cost more than the bucket
// contains, since otherwise a prompt longer than the burst could never run. Later requests are refused until the
// deficit is made up.
func (lim *Limiter) Admit(account string, tokens int) (retryAfter time.Duration, ok bool) {
	limit := lim.opts.Limit(account)
	if limit <= 0 {
		return 0, true
	}
	lim.mu.Lock()
	defer lim.mu.Unlock()
	now := lim.opts.Clock.Now()
	bkt := lim.update(account, float64(limit), now)
	bkt.usedAt = now
	bkt.demand += float64(tokens) / demandTimeConstant.Seconds()
	if bkt.tokens > 0 {
		bkt.tokens -= float64(tokens)
		return 0, true
	}
	seconds := (1 - bkt.tokens) / lim.share(account, float64(limit), now)
	return min(maxRetryAfter, time.Duration(math.Ceil(seconds))*time.Second), false
}

// Refund puts the cost of an admitted request that was not executed back into the account's bucket.
func (lim *Limiter) Refund(account string, tokens int) {
	lim.mu.Lock()
	defer lim.mu.Unlock()
	if bkt := lim.accounts[account]; bkt != nil {
		bkt.tokens += float64(tokens)
	}
}

// update returns the bucket of an account, refilled and with its demand decayed up to now. It creates a missing one.
// The lock is held.
func (lim *Limiter) update(account string, limit float64, now time.Time) *bucket {
	share := lim.share(account, limit, now)
	bkt := lim.accounts[account]
	if bkt == nil {
		bkt = &bucket{updatedAt: now, tokens: share * initialBurstTime.Seconds()}
		lim.accounts[account] = bkt
	}
	passed := now.Sub(bkt.updatedAt).Seconds()
	bkt.updatedAt = now
	bkt.tokens = min(bkt.tokens+share*passed, share*burstTime.Seconds())
	bkt.demand *= math.Exp(-passed / demandTimeConstant.Seconds())
	return bkt
}

// share returns this entry's part of an account's limit, in tokens a second. Its own demand counts once the other
// entries have received it, so that entries at which demand begins at the same time do not each take the whole limit.
// The lock is held.
func (lim *Limiter) share(account string, limit float64, now time.Time) float64 {
	own := 0.0
	if bkt := lim.accounts[account]; bkt != nil {
		own = min(limit, bkt.sharedDemand)
	}
	entries, all := 1, own
	for _, rem := range lim.remote {
		if now.Sub(rem.at) <= remoteDemandTTL {
			entries++
			all += min(limit, rem.demand[account])
		}
	}
	entries = max(entries, lim.reportedEntries)
	if all <= 0 {
		return limit / float64(entries)
	}
	return limit * (evenFraction/float64(entries) + (1-evenFraction)*own/all)
}

// HeartbeatDemand returns this entry's demand for each account with a limit, highest first, and records that it is sent
// in a heartbeat. It also removes idle accounts.
func (lim *Limiter) HeartbeatDemand() []proto.AccountDemand {
	lim.mu.Lock()
	defer lim.mu.Unlock()
	now := lim.opts.Clock.Now()
	var list []proto.AccountDemand
	for account, bkt := range lim.accounts {
		limit := lim.opts.Limit(account)
		if limit <= 0 || now.Sub(bkt.usedAt) > idleAccountTTL && bkt.tokens >= 0 {
			delete(lim.accounts, account)
			continue
		}
		lim.update(account, float64(limit), now)
		bkt.recordSent(now)
		if rate := int(bkt.demand); rate > 0 {
			list = append(list, proto.AccountDemand{Account: account, Rate: rate})
		}
	}
	slices.SortFunc(list, func(one, two proto.AccountDemand) int {
		return cmp.Or(two.Rate-one.Rate, cmp.Compare(one.Account, two.Account))
	})
	return list[:min(len(list), MaxAccounts)]
}

// ApplyReport records an agent's report on the entries that are connected to it: their number, and the demand of those
// that have any.
func (lim *Limiter) ApplyReport(entries int, demands []proto.EntryDemand) {
	lim.mu.Lock()
	defer lim.mu.Unlock()
	now := lim.opts.Clock.Now()
	if entries >= lim.reportedEntries || now.Sub(lim.reportedEntriesAt) > remoteDemandTTL {
		lim.reportedEntries, lim.reportedEntriesAt = entries, now
	}
	for name, rem := range lim.remote {
		if now.Sub(rem.at) > remoteDemandTTL {
			delete(lim.remote, name)
		}
	}
	for _, dem := range demands {
		if dem.Entry == lim.opts.Self {
			continue
		}
		rem := remoteDemand{at: now, demand: make(map[string]float64)}
		for _, acc := range dem.Accounts {
			rem.demand[acc.Account] = float64(acc.Rate)
		}
		lim.remote[dem.Entry] = rem
	}
}
