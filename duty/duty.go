// Package duty elects one process at a time to perform a duty, which is work that only a leader may do, such as
// republishing the snapshot. A process acquires a lease on the duty by writing a claim to the platform's log, and the
// offset of the claim is its fencing token.
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

// Options configure an Elector.
type Options struct {
	Duty          string        // name of the duty, for example state.DutySnapshot
	Process       string        // name of this process
	LeaseDuration time.Duration // how long a claim lasts
	Store         *state.Store
	Clock         *timer.Service
	// Append appends a record to the config stream. After an error the record may have been written, or may be written
	// later.
	Append func(ctx context.Context, raw []byte) error
}

// Elector competes for a duty on behalf of one process. It is safe for concurrent use.
type Elector struct {
	opts Options

	mu            sync.Mutex
	lastToken     int64     // of the last claim seen
	lastTokenSeen time.Time // when lastToken was first seen
}

// New returns an Elector that holds no lease yet.
func New(opts Options) *Elector { return &Elector{opts: opts} }

// Lease is a lease on a duty, acquired by a claim that took effect.
type Lease struct {
	opts      Options
	token     int64
	claimedAt time.Time // time just before the claim was sent
}

// Token returns the fencing token, which is the offset of the claim. Later claims of the duty have higher tokens.
func (lse Lease) Token() int64 { return lse.token }

// Valid tells whether the holder may still perform the duty. The holder checks it before each action. The holder counts
// the lease from before the claim was sent, and other processes count it from when they have read the claim. The holder
// therefore stops before another process can take over, even after a pause, as long as the clocks of both run at about
// the same rate.
func (lse Lease) Valid() bool {
	return lse.opts.Clock.Since(lse.claimedAt) < lse.opts.LeaseDuration &&
		lse.opts.Store.Duty(lse.opts.Duty).Offset == lse.token
}

// claimable returns the token of the claim that a new one would replace, 0 if there is none. The result ok is false
// while the lease of that claim may not have expired.
func (elc *Elector) claimable() (token int64, ok bool) {
	hol := elc.opts.Store.Duty(elc.opts.Duty)
	elc.mu.Lock()
	defer elc.mu.Unlock()
	if hol.Offset != elc.lastToken {
		elc.lastToken, elc.lastTokenSeen = hol.Offset, elc.opts.Clock.Now()
	}
	return hol.Offset, hol.Offset == 0 || elc.opts.Clock.Since(elc.lastTokenSeen) >= hol.Claim.Lease
}

// Observe records the current claim. This process counts the claim's lease from the first call that sees it, so Observe
// must be called regularly.
func (elc *Elector) Observe() { _, _ = elc.claimable() }

// Acquire claims the duty if no lease on it may be active, and waits until the log decides which claim takes effect.
// The result ok is false if another process holds the duty, or if the claim was not read back within its lease; in the
// latter case err is the error of Append, if any.
func (elc *Elector) Acquire(parent context.Context) (lse Lease, ok bool, err error) {
	previous, ok := elc.claimable()
	if !ok {
		return Lease{}, false, nil
	}
	claimedAt := elc.opts.Clock.Now()
	holder := elc.opts.Process + "/" + rand.Text() // unique for each claim
	raw, err := state.Entry{ID: rand.Text(), Claim: &state.Claim{
		Duty: elc.opts.Duty, Holder: holder, Previous: previous, Lease: elc.opts.LeaseDuration,
	}}.Encode()
	if err != nil {
		return Lease{}, false, fmt.Errorf("duty: claim: %w", err)
	}
	ctx, cancel := elc.opts.Clock.WithTimeout(parent, elc.opts.LeaseDuration)
	defer cancel()
	appendErr := elc.opts.Append(ctx, raw) // Not decisive: the record may have been written in spite of an error.
	for {
		changed := elc.opts.Store.Changed()
		if hol := elc.opts.Store.Duty(elc.opts.Duty); hol.Offset != previous {
			return Lease{elc.opts, hol.Offset, claimedAt}, hol.Claim.Holder == holder, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return Lease{}, false, appendErr
		}
	}
}
