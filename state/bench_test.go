package state_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/tarragonwheel/tarragonwheel/proto"
	"github.com/tarragonwheel/tarragonwheel/state"
	"github.com/tarragonwheel/tarragonwheel/timer"
)

// fullStore returns a store with a configuration of the target size: 750 client accounts, 4 models and 12,000
// upstreams.
func fullStore(tb testing.TB) *state.Store {
	tb.Helper()
	sto := state.NewStore()
	var ops []state.Operation
	for num := range 4 {
		key := state.NewKey(state.KindModel, fmt.Sprint("model-", num))
		val := state.Value{Model: &state.Model{Version: "v1", Replicas: 3000}}
		ops = append(ops, state.Operation{Key: key, Value: val})
	}
	for num := range 750 {
		key := state.NewKey(state.KindAccount, fmt.Sprint("account-", num))
		val := state.Value{Account: &state.Account{Models: []string{"model-0", "model-1"}, Limit: 1000}}
		ops = append(ops, state.Operation{Key: key, Value: val})
	}
	for num := range 12000 {
		key := state.NewKey(state.KindUpstream, fmt.Sprint("upstream-", num))
		ops = append(ops, state.Operation{Key: key, Value: state.Value{Upstream: &state.Upstream{ChecksFencing: true}}})
	}
	for from := 0; from < len(ops); from += state.MaxOperations {
		part := ops[from:min(from+state.MaxOperations, len(ops))]
		con := &state.Confirm{Plan: fmt.Sprintf("%016d", from), Operator: "olive", Operations: part}
		for _, opr := range part {
			con.Basis = append(con.Basis, state.Basis{Key: opr.Key})
		}
		applyConfirm(tb, sto, con)
	}
	return sto
}

// applyConfirm applies a confirm to a store and returns the data of its record.
func applyConfirm(tb testing.TB, sto *state.Store, con *state.Confirm) []byte {
	tb.Helper()
	raw, err := state.Entry{ID: con.Plan, Confirm: con}.Encode()
	if err != nil {
		tb.Fatal(err)
	}
	off := sto.Version() + 1
	sto.ApplyRecords([]state.Record{{Offset: off, Data: raw}}, 1, off+1)
	return raw
}

// BenchmarkChange measures the cost of one configuration change at a process: the CPU time to apply it, and the bytes
// received as a record from the log and as a state message from a peer.
func BenchmarkChange(b *testing.B) {
	sto := fullStore(b)
	key := state.NewKey(state.KindUpstream, "upstream-7")
	var raw []byte
	num := 0
	for b.Loop() {
		num++
		con := drain(fmt.Sprintf("%016d", num+1_000_000), sto.Get(key).Version, "upstream-7", num%2 == 0)
		raw = applyConfirm(b, sto, con)
	}
	msg, _, err := sto.Answer(sto.Version() - 1)
	if err != nil {
		b.Fatal(err)
	}
	frm, err := proto.Encode(proto.KindState, 0, msg)
	if err != nil {
		b.Fatal(err)
	}
	b.ReportMetric(float64(len(raw)), "record-bytes")
	b.ReportMetric(float64(len(frm)), "frame-bytes")
}

// BenchmarkSnapshot measures the cost of adopting a snapshot, its size, and the heap that the state occupies.
func BenchmarkSnapshot(b *testing.B) {
	sto := fullStore(b)
	msg, _, err := sto.Answer(0)
	if err != nil {
		b.Fatal(err)
	}
	if msg.Snapshot, _, err = sto.Encode(); err != nil {
		b.Fatal(err)
	}
	msg.Records = nil
	var before, after runtime.MemStats
	runtime.GC()
	runtime.GC() // The second run empties the codec's buffer pools.
	runtime.ReadMemStats(&before)
	adopted := state.NewStore()
	if err := adopted.Merge(msg); err != nil {
		b.Fatal(err)
	}
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&after)
	for b.Loop() {
		if err := state.NewStore().Merge(msg); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(len(msg.Snapshot)), "snapshot-bytes")
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc), "heap-bytes")
	runtime.KeepAlive(adopted)
}

// BenchmarkCrashAttribution measures the size of a snapshot with as many suspects and blocked requests as the bounds
// allow, and the cost of looking up the status of a request.
func BenchmarkCrashAttribution(b *testing.B) {
	sto := state.NewStore()
	next := int64(1)
	num := proto.Fingerprint(1 << 60)
	add := func(id string, running ...proto.Fingerprint) {
		crs := proto.Crash{
			ID: id, Upstream: "engine-1234", At: time.Now().UnixMilli(), Running: running,
			SuspectFor: time.Hour, BlockFor: time.Hour,
		}
		raw, err := state.Entry{ID: id, Crash: &crs}.Encode()
		if err != nil {
			b.Fatal(err)
		}
		sto.ApplyRecords([]state.Record{{Offset: next, Data: raw}}, 1, next+1)
		next++
	}
	for idx := range 300 {
		num++
		add(fmt.Sprintf("%016d", 2*idx), num)
		add(fmt.Sprintf("%016d", 2*idx+1), num)
	}
	for idx := range 300 {
		add(fmt.Sprintf("%016d", 1000+idx), num+1, num+2, num+3, num+4)
		num += 4
	}
	raw, _, err := sto.Encode()
	if err != nil {
		b.Fatal(err)
	}
	sus := state.NewSuspects(sto, timer.New())
	for b.Loop() {
		sus.Status(num)
	}
	b.ReportMetric(float64(len(raw)), "snapshot-bytes")
}
