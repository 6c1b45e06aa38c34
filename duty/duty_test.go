package duty_test

import (
	"bytes"
	"context"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"

	"github.com/tarragonwheel/tarragonwheel/duty"
	"github.com/tarragonwheel/tarragonwheel/metric"
	"github.com/tarragonwheel/tarragonwheel/state"
	"github.com/tarragonwheel/tarragonwheel/timer"
)

// stream is an in-memory config stream with the stores that read it.
type stream struct {
	recs   []state.Record
	stores []*state.Store
}

func (str *stream) append(_ context.Context, raw []byte) error {
	off := int64(len(str.recs)) + 1
	str.recs = append(str.recs, state.Record{Offset: off, Data: raw})
	for _, sto := range str.stores {
		sto.ApplyRecords(str.recs[sto.Version():], 1, off+1)
	}
	return nil
}

// start returns an empty stream, a clock that is advanced by hand, and a function that returns the options of a process
// with a store of its own.
func start() (*stream, *timer.Service, *timer.Manual, func(name string) duty.Options) {
	clk, man := timer.NewManual(time.Unix(1000, 0))
	str := &stream{}
	return str, clk, man, func(name string) duty.Options {
		sto := state.NewStore()
		str.stores = append(str.stores, sto)
		return duty.Options{
			Duty: state.DutySnapshot, Process: name, LeaseDuration: time.Minute, Store: sto, Clock: clk,
			Append: str.append,
		}
	}
}

// Guards against two processes that hold the duty at once, a fencing token that does not rise, and a holder that still
// considers its lease valid after a pause longer than the lease.
func TestOneHolderAtATime(t *testing.T) {
	is := is.New(t)
	_, _, man, options := start()
	one, two := duty.New(options("one")), duty.New(options("two"))
	first, ok, err := one.Acquire(context.Background())
	is.NoErr(err)
	is.True(ok && first.Valid())
	_, ok, _ = two.Acquire(context.Background())
	is.True(!ok)
	man.Advance(time.Minute)
	is.True(!first.Valid())
	second, ok, _ := two.Acquire(context.Background())
	is.True(ok && second.Valid())
	is.True(second.Token() > first.Token())
	is.True(!first.Valid())
}

// Guards against the snapshot of a holder that was paused past the end of its lease and whose append reaches the log
// late: it must not move any store back, and must not count as the last snapshot.
func TestSnapshotOfExpiredHolderIsIgnored(t *testing.T) {
	is := is.New(t)
	str, _, man, options := start()
	opts := options("one")
	one := duty.New(opts)
	other := duty.NewSnapshots(options("two"), 16*time.Minute, logr.Discard(), metric.New())
	first, ok, _ := one.Acquire(context.Background())
	is.True(ok)
	raw, upto, err := opts.Store.Encode()
	is.NoErr(err)
	old := &state.Snapshot{Upto: upto, Fence: first.Token(), State: raw}
	late, err := state.Entry{ID: "late", Snapshot: old}.Encode()
	is.NoErr(err)
	is.NoErr(other.Check(context.Background())) // This sees the claim; the snapshot is not due yet.
	man.Advance(5 * time.Minute)
	is.NoErr(other.Check(context.Background()))
	mark := opts.Store.LastSnapshot()
	is.True(mark.Offset > 0)
	is.NoErr(str.append(context.Background(), late))
	is.Equal(opts.Store.LastSnapshot(), mark)
	is.Equal(opts.Store.Version(), int64(len(str.recs)))
	one2, _, _ := str.stores[0].Encode()
	two2, _, _ := str.stores[1].Encode()
	is.True(bytes.Equal(one2, two2))
}

// Guards against republishing the snapshot only after half of the retention has passed, and against republishing it at
// each check.
func TestSnapshotIsRepublishedInTime(t *testing.T) {
	is := is.New(t)
	str, _, man, options := start()
	snp := duty.NewSnapshots(options("one"), 16*time.Minute, logr.Discard(), metric.New())
	is.NoErr(str.append(context.Background(), []byte("no record")))
	for minute := 0; minute < 64; minute++ {
		man.Advance(time.Minute)
		is.NoErr(snp.Check(context.Background()))
	}
	is.Equal(len(str.recs), 1+2*16) // The first record, then a claim and a snapshot every four minutes.
}
