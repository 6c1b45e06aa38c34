package duty

import (
	"context"
	crand "crypto/rand"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/go-logr/logr"

	"github.com/tarragonwheel/tarragonwheel/metric"
	"github.com/tarragonwheel/tarragonwheel/state"
)

const (
	// The snapshot is republished after the retention divided by republishDivisor. With 4, an outage of the log may
	// last for another quarter of the retention before half of it has passed.
	republishDivisor = 4
	// The interval between checks is the retention divided by checkDivisor, which also bounds the rate of attempts.
	checkDivisor = 16
	maxLease     = 30 * time.Second
)

// Snapshots republishes the snapshot of the state before the log discards the records that the snapshot covers.
type Snapshots struct {
	elector        *Elector
	opts           Options
	retention      time.Duration
	log            logr.Logger
	metrics        *metric.Set
	lastOffset     int64     // offset of the last snapshot seen
	lastOffsetSeen time.Time // when lastOffset was first seen
}

// NewSnapshots returns Snapshots for a log with the given retention. It sets the duty and the lease of opts.
func NewSnapshots(opts Options, retention time.Duration, log logr.Logger, met *metric.Set) *Snapshots {
	opts.Duty = state.DutySnapshot
	opts.LeaseDuration = min(maxLease, retention/checkDivisor)
	return &Snapshots{
		elector: New(opts), opts: opts, retention: retention, log: log, metrics: met, lastOffsetSeen: opts.Clock.Now(),
	}
}

// Run calls Check regularly until ctx is done. Jitter keeps processes from claiming the duty at the same time.
func (snp *Snapshots) Run(ctx context.Context) {
	interval := snp.retention / checkDivisor
	for ctx.Err() == nil {
		_ = snp.opts.Clock.Sleep(ctx, interval/2+rand.N(interval))
		if err := snp.Check(ctx); err != nil {
			snp.metrics.CountEvent("snapshot-not-written")
			snp.log.Info("duty: snapshot not written", "error", err.Error())
		}
	}
}

// Check republishes the snapshot if it is due and this process acquires the duty.
func (snp *Snapshots) Check(ctx context.Context) error {
	snp.elector.Observe()
	if !snp.isDue() {
		return nil
	}
	lse, ok, err := snp.elector.Acquire(ctx)
	if err != nil || !ok {
		return err
	}
	return snp.publish(ctx, lse)
}

// isDue tells whether the last snapshot is old enough to be republished. It uses both the writer's timestamp, because a
// new process has only just read the snapshot, and the time since this process first read it, because the writer's
// clock may differ. It returns false while there is a gap in the records, or no record.
func (snp *Snapshots) isDue() bool {
	mark, now := snp.opts.Store.LastSnapshot(), snp.opts.Clock.Now()
	if mark.Offset != snp.lastOffset {
		snp.lastOffset, snp.lastOffsetSeen = mark.Offset, now
	}
	if _, gap := snp.opts.Store.Gap(); gap || snp.opts.Store.Version() == 0 {
		return false
	}
	limit := snp.retention / republishDivisor
	return now.Sub(snp.lastOffsetSeen) >= limit || mark.Offset > 0 && now.Sub(time.UnixMilli(mark.At)) >= limit
}

// publish appends a snapshot of the current state to the log, unless the lease is no longer valid.
func (snp *Snapshots) publish(ctx context.Context, lse Lease) error {
	raw, upto, err := snp.opts.Store.Encode()
	if err != nil {
		return fmt.Errorf("duty: snapshot: %w", err)
	}
	rec, err := state.Entry{ID: crand.Text(), Snapshot: &state.Snapshot{
		Upto: upto, Fence: lse.Token(), At: snp.opts.Clock.Now().UnixMilli(), State: raw,
	}}.Encode()
	if err != nil {
		return fmt.Errorf("duty: snapshot: %w", err)
	}
	if !lse.Valid() {
		snp.metrics.CountEvent("duty-lost")
		return nil
	}
	if err := snp.opts.Append(ctx, rec); err != nil {
		return fmt.Errorf("duty: snapshot: %w", err)
	}
	snp.metrics.CountEvent("snapshot-written")
	return nil
}
