package relay

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/tarragonwheel/tarragonwheel/call"
	"github.com/tarragonwheel/tarragonwheel/timer"
)

// Limits of crash attribution.
const (
	// crashesToBlock is the number of replica crashes at the start of a call after which the call is refused.
	crashesToBlock = 2
	// suspectTime is how long a call stays suspected or blocked after the latest crash.
	suspectTime = 60 * time.Second
	maxSuspects = 4096
	// crashRetryAfter is the Retry-After time of a blocked call. It keeps clients away whose call crashes replicas.
	crashRetryAfter = 30 * time.Second
)

// CrashTracker finds calls that crash replicas. A call is suspected when a replica closes the connection instead of
// answering it, and blocked when this happens again before a replica has answered it. It is safe for concurrent use.
type CrashTracker struct {
	clock    *timer.Service
	onCrash  func(fingerprint uint64)
	mu       sync.Mutex
	suspects map[uint64]*suspect // by fingerprint of the call
}

// suspect is a call during which replicas have crashed.
type suspect struct {
	crashes int
	until   time.Time // when it is no longer suspected
}

// NewCrashTracker returns an empty CrashTracker. Its RecordCrash calls onCrash, which may be nil, with the fingerprint
// of the suspected call, so that other processes can be informed.
func NewCrashTracker(clk *timer.Service, onCrash func(fingerprint uint64)) *CrashTracker {
	if onCrash == nil {
		onCrash = func(uint64) {}
	}
	return &CrashTracker{clock: clk, onCrash: onCrash, suspects: make(map[uint64]*suspect)}
}

// callFingerprint returns a hash of the method, target, client account and body of a call.
func callFingerprint(cal *call.Call, account string) uint64 {
	dig := xxhash.New()
	_, _ = dig.WriteString(cal.Method + "\x00" + cal.Target + "\x00" + account + "\x00") // It never fails.
	_, _ = dig.Write(cal.Body)                                                           // It never fails.
	return dig.Sum64()
}

// RecordCrash records that a replica closed the connection instead of answering a call.
func (trk *CrashTracker) RecordCrash(cal *call.Call, account, _ string) {
	fpr := callFingerprint(cal, account)
	trk.AddCrash(fpr)
	trk.onCrash(fpr)
}

// RecordSuccess records that a replica began to answer a call. A call that crashes replicas never gets that far, so its
// earlier crashes had another cause, or it is one of many calls that are alike.
func (trk *CrashTracker) RecordSuccess(cal *call.Call, account string) {
	if !trk.hasSuspects() {
		return
	}
	fpr := callFingerprint(cal, account)
	trk.mu.Lock()
	defer trk.mu.Unlock()
	delete(trk.suspects, fpr)
}

func (trk *CrashTracker) hasSuspects() bool {
	trk.mu.Lock()
	defer trk.mu.Unlock()
	return len(trk.suspects) > 0
}

// AddCrash records a crash, observed by this or another process, during the call with the given fingerprint.
func (trk *CrashTracker) AddCrash(fpr uint64) {
	trk.mu.Lock()
	defer trk.mu.Unlock()
	now := trk.clock.Now()
	sus := trk.suspects[fpr]
	if sus == nil || now.After(sus.until) {
		trk.evictSuspects(now)
		sus = &suspect{}
		trk.suspects[fpr] = sus
	}
	sus.crashes++
	sus.until = now.Add(suspectTime)
}

// evictSuspects makes room for one more suspect if the limit is reached. It removes the expired ones, or all if none
// has expired.
func (trk *CrashTracker) evictSuspects(now time.Time) {
	if len(trk.suspects) < maxSuspects {
		return
	}
	for fpr, sus := range trk.suspects {
		if now.After(sus.until) {
			delete(trk.suspects, fpr)
		}
	}
	if len(trk.suspects) >= maxSuspects {
		clear(trk.suspects)
	}
}

// Blocked tells whether a call must be refused because it has repeatedly crashed replicas.
func (trk *CrashTracker) Blocked(cal *call.Call, account string) bool {
	if !trk.hasSuspects() {
		return false
	}
	fpr := callFingerprint(cal, account)
	trk.mu.Lock()
	defer trk.mu.Unlock()
	sus := trk.suspects[fpr]
	return sus != nil && sus.crashes >= crashesToBlock && trk.clock.Now().Before(sus.until)
}
