package relay

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/tarragonwheel/tarragonwheel/call"
	"github.com/tarragonwheel/tarragonwheel/timer"
)

// Limits of the search for calls that crash replicas.
const (
	// crashesToBlock is the number of replicas that break off while they begin a call before it is refused.
	crashesToBlock = 2
	blameTime      = 60 * time.Second
	mostBlamed     = 4096 // calls remembered
	// blamedRetryAfter keeps clients away whose call crashes replicas.
	blamedRetryAfter = 30 * time.Second
)

// CrashTracker remembers calls at whose start replicas closed the connection. A call for which this happens repeatedly
// crashes them, and it is refused. It is safe for concurrent use.
type CrashTracker struct {
	clock   *timer.Service
	onCrash func(print uint64)
	mu      sync.Mutex
	cases   map[uint64]*blamed // by fingerprint of path, account and body
}

type blamed struct {
	crashes int
	until   time.Time
}

// NewCrashTracker returns an empty CrashTracker. The function onCrash is called with the fingerprint of each call at
// whose start a replica closed the connection; it may be nil.
func NewCrashTracker(clk *timer.Service, onCrash func(print uint64)) *CrashTracker {
	if onCrash == nil {
		onCrash = func(uint64) {}
	}
	return &CrashTracker{clock: clk, onCrash: onCrash, cases: make(map[uint64]*blamed)}
}

func fingerprint(cal *call.Call, account string) uint64 {
	dig := xxhash.New()
	_, _ = dig.WriteString(cal.Method + "\x00" + cal.Target + "\x00" + account + "\x00") // It never fails.
	_, _ = dig.Write(cal.Body)                                                           // It never fails.
	return dig.Sum64()
}

// RecordCrash records that a replica closed the connection at the start of a call.
func (blm *CrashTracker) RecordCrash(cal *call.Call, account, _ string) {
	if len(cal.Body) == 0 {
		return // Calls without a body are too much alike to be told apart.
	}
	print := fingerprint(cal, account)
	blm.AddCrash(print)
	blm.onCrash(print)
}

// AddCrash records a crash that this or another process has seen.
func (blm *CrashTracker) AddCrash(print uint64) {
	blm.mu.Lock()
	defer blm.mu.Unlock()
	now := blm.clock.Now()
	cas := blm.cases[print]
	if cas == nil || now.After(cas.until) {
		blm.makeRoom(now)
		cas = &blamed{}
		blm.cases[print] = cas
	}
	cas.crashes++
	cas.until = now.Add(blameTime)
}

func (blm *CrashTracker) makeRoom(now time.Time) {
	if len(blm.cases) < mostBlamed {
		return
	}
	for print, cas := range blm.cases {
		if now.After(cas.until) {
			delete(blm.cases, print)
		}
	}
	if len(blm.cases) >= mostBlamed {
		clear(blm.cases)
	}
}

// Blocked tells whether a call crashes replicas.
func (blm *CrashTracker) Blocked(cal *call.Call, account string) bool {
	blm.mu.Lock()
	none := len(blm.cases) == 0
	blm.mu.Unlock()
	if none || len(cal.Body) == 0 {
		return false
	}
	print := fingerprint(cal, account)
	blm.mu.Lock()
	defer blm.mu.Unlock()
	cas := blm.cases[print]
	return cas != nil && cas.crashes >= crashesToBlock && blm.clock.Now().Before(cas.until)
}
