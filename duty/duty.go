// Package duty elects one acting process at a time for a duty, through claims in the platform's log.
package duty

import (
	"context"
	"crypto/rand"
	"fmt"
	"sync"
	"time"

	"github.com/tarragonwheel/tarragonwheel/state"
	"github.com/tarragonwheel/tarragonwheel/timer"
)

// Options configure a Keeper.
type Options struct {
	Duty    string
	Process string // name of this process
	Lease   time.Duration
	Store   *state.Store
	Clock   *timer.Service
	// Append writes a record to the config stream. After an error the record may have been written or may yet be.
	Append func(ctx context.Context, raw []byte) error
}

// Keeper competes for a duty on behalf of one process.
type Keeper struct {
	opts Options

	mu    sync.Mutex
	token int64 // of the last claim seen
	seen  time.Time
}

// New returns a Keeper that holds nothing yet.
func New(opts Options) *Keeper { return &Keeper{opts: opts} }

// Held is a claim that took effect.
type Held struct {
	opts  Options
	token int64
	since time.Time // before the claim was sent
}

// Token returns the fencing token: the offset of the claim. Later claims of the duty have higher tokens.
func (hel Held) Token() int64 { return hel.token }

// Valid tells whether the holder may still act. It is asked before each act. The lease counts from before the claim
// was sent, while others count it from when they have read the claim, so a holder that was paused stops first, as long
// as the clocks of both run at about the same rate.
func (hel Held) Valid() bool {
	return hel.opts.Clock.Since(hel.since) < hel.opts.Lease && hel.opts.Store.Duty(hel.opts.Duty).Offset == hel.token
}

// free returns the token to replace. The result ok is false while another claim's lease may run.
func (kpr *Keeper) free() (token int64, ok bool) {
	hol := kpr.opts.Store.Duty(kpr.opts.Duty)
	kpr.mu.Lock()
	defer kpr.mu.Unlock()
	if hol.Offset != kpr.token {
		kpr.token, kpr.seen = hol.Offset, kpr.opts.Clock.Now()
	}
	return hol.Offset, hol.Offset == 0 || kpr.opts.Clock.Since(kpr.seen) >= hol.Claim.Lease
}

// Observe notes the current claim. Its lease counts from the first call that sees it, so callers observe regularly.
func (kpr *Keeper) Observe() { _, _ = kpr.free() }

// Acquire claims the duty if it is free, and waits until the state decides. The result ok is false if another process
// holds the duty, or if the claim was not read back within its lease.
func (kpr *Keeper) Acquire(parent context.Context) (held Held, ok bool, err error) {
	previous, free := kpr.free()
	if !free {
		return Held{}, false, nil
	}
	since := kpr.opts.Clock.Now()
	holder := kpr.opts.Process + "/" + rand.Text() // unique for each claim
	raw, err := state.Entry{ID: rand.Text(), Claim: &state.Claim{
		Duty: kpr.opts.Duty, Holder: holder, Previous: previous, Lease: kpr.opts.Lease,
	}}.Encode()
	if err != nil {
		return Held{}, false, fmt.Errorf("duty: claim: %w", err)
	}
	ctx, cancel := kpr.opts.Clock.WithTimeout(parent, kpr.opts.Lease)
	defer cancel()
	failed := kpr.opts.Append(ctx, raw) // The state decides: the record may be there in spite of an error.
	for {
		changed := kpr.opts.Store.Changed()
		if hol := kpr.opts.Store.Duty(kpr.opts.Duty); hol.Offset != previous {
			return Held{kpr.opts, hol.Offset, since}, hol.Claim.Holder == holder, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return Held{}, false, failed
		}
	}
}
