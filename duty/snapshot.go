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
	// snapshotShare is the part of the retention after which the snapshot is republished. A quarter leaves room for an
	// outage of the log as long as the retention's second quarter before half of it has passed.
	snapshotShare = 4
	// checkShare is the part of the retention between two checks, and so bounds the rate of attempts.
	checkShare = 16
	maxLease   = 30 * time.Second
)

// Snapshots republishes the snapshot before the records it folds expire.
type Snapshots struct {
	keeper    *Keeper
	opts      Options
	retention time.Duration
	log       logr.Logger
	metrics   *metric.Set
	mark      int64 // offset of the last snapshot seen
	seen      time.Time
}

// NewSnapshots returns a republisher for the given retention of the log. It sets duty and lease of opts.
func NewSnapshots(opts Options, retention time.Duration, log logr.Logger, met *metric.Set) *Snapshots {
	opts.Duty = state.DutySnapshot
	opts.Lease = min(maxLease, retention/checkShare)
	return &Snapshots{
		keeper: New(opts), opts: opts, retention: retention, log: log, metrics: met, seen: opts.Clock.Now(),
	}
}

// Run checks until ctx ends. Random delays keep processes from claiming at the same time.
func (snp *Snapshots) Run(ctx context.Context) {
	interval := snp.retention / checkShare
	for ctx.Err() == nil {
		_ = snp.opts.Clock.Sleep(ctx, interval/2+rand.N(interval))
		if err := snp.Check(ctx); err != nil {
			snp.metrics.Event("snapshot-not-written")
			snp.log.Info("duty: snapshot not written", "error", err.Error())
		}
	}
}

// Check republishes the snapshot if it is due and this process acquires the duty.
func (snp *Snapshots) Check(ctx context.Context) error {
	snp.keeper.Observe()
	if !snp.due() {
		return nil
	}
	held, ok, err := snp.keeper.Acquire(ctx)
	if err != nil || !ok {
		return err
	}
	return snp.publish(ctx, held)
}

// due uses the writer's clock as well as the time since this process has read the snapshot: the former counts on a new
// process, the latter if the clocks differ.
func (snp *Snapshots) due() bool {
	mark, now := snp.opts.Store.Mark(), snp.opts.Clock.Now()
	if mark.Offset != snp.mark {
		snp.mark, snp.seen = mark.Offset, now
	}
	if _, gap := snp.opts.Store.Gap(); gap || snp.opts.Store.Version() == 0 {
		return false
	}
	limit := snp.retention / snapshotShare
	return now.Sub(snp.seen) >= limit || mark.Offset > 0 && now.Sub(time.UnixMilli(mark.At)) >= limit
}

func (snp *Snapshots) publish(ctx context.Context, held Held) error {
	raw, upto, err := snp.opts.Store.Encode()
	if err != nil {
		return fmt.Errorf("duty: snapshot: %w", err)
	}
	rec, err := state.Entry{ID: crand.Text(), Snapshot: &state.Snapshot{
		Upto: upto, Fence: held.Token(), At: snp.opts.Clock.Now().UnixMilli(), State: raw,
	}}.Encode()
	if err != nil {
		return fmt.Errorf("duty: snapshot: %w", err)
	}
	if !held.Valid() {
		snp.metrics.Event("duty-lost")
		return nil
	}
	if err := snp.opts.Append(ctx, rec); err != nil {
		return fmt.Errorf("duty: snapshot: %w", err)
	}
	snp.metrics.Event("snapshot-written")
	return nil
}
