package evac_test

import (
	"slices"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"

	"github.com/tarragonwheel/tarragonwheel/evac"
	"github.com/tarragonwheel/tarragonwheel/follow"
	"github.com/tarragonwheel/tarragonwheel/timer"
)

// tracked is a Tracker and what it has reported.
type tracked struct {
	*evac.Tracker
	man     *timer.Manual
	inForce []string
	changes int
}

func newTracked() *tracked {
	clk, man := timer.NewManual(time.Unix(1_700_000_000, 0))
	trk := &tracked{man: man}
	trk.Tracker = evac.New(evac.Options{Clock: clk, Log: logr.Discard(), OnChange: func(chg evac.Change) {
		trk.inForce = chg.InForce
		trk.changes++
	}})
	return trk
}

// read passes a record of a data centre, and the position after it.
func (trk *tracked) read(dataCentre string, evacuated bool, at follow.Position) {
	trk.Record(dataCentre, evacuated)
	trk.Read(at)
}

// evacuated reports whether exactly the given data centres are evacuated.
func (trk *tracked) evacuated(names ...string) bool { return slices.Equal(trk.inForce, names) }

func at(era, offset int64) follow.Position { return follow.Position{Era: era, Offset: offset} }

// TestEvacuationsOverlap guards against a data centre that gets requests because another one was evacuated or returned
// to service.
func TestEvacuationsOverlap(t *testing.T) {
	iis := is.New(t)
	trk := newTracked()
	trk.List(nil, at(1, 3))
	iis.Equal(trk.changes, 0)
	trk.read("a", true, at(1, 4))
	trk.read("b", true, at(1, 5))
	iis.True(trk.evacuated("a", "b"))
	trk.read("a", true, at(1, 6)) // Written again.
	iis.Equal(trk.changes, 2)
	trk.read("a", false, at(1, 7))
	iis.True(trk.evacuated("b"))
	trk.read("b", false, at(1, 8))
	iis.True(trk.evacuated())
}

// TestListingReplacesTheState guards against an evacuation that lasts for ever, or is not noticed, because its record
// was trimmed before it was read.
func TestListingReplacesTheState(t *testing.T) {
	iis := is.New(t)
	trk := newTracked()
	trk.List([]string{"a"}, at(1, 3))
	trk.List([]string{"b"}, at(1, 90))
	iis.True(trk.evacuated("b")) // No grace period within an era: the record of a was deleted.
}

// TestRestoreKeepsTheEvacuation guards against requests to an evacuated data centre after a restore of the store from a
// copy of before the evacuation, until the operator writes the record again.
func TestRestoreKeepsTheEvacuation(t *testing.T) {
	for _, tst := range []struct {
		name      string
		then      func(trk *tracked)
		evacuated bool
	}{
		{"record written again", func(trk *tracked) { trk.read("a", true, at(2, 3)) }, true},
		{"record not written again", func(*tracked) {}, false},
		{"deletion written again", func(trk *tracked) { trk.read("a", false, at(2, 3)) }, false},
		{"restored again", func(trk *tracked) { trk.List(nil, at(3, 1)) }, true},
	} {
		t.Run(tst.name, func(t *testing.T) {
			iis := is.New(t)
			trk := newTracked()
			trk.List([]string{"a"}, at(1, 9))
			trk.List(nil, at(2, 2))
			iis.True(trk.evacuated("a"))
			trk.man.Advance(evac.Grace - time.Millisecond)
			trk.RemoveExpired()
			iis.True(trk.evacuated("a"))
			tst.then(trk)
			trk.man.Advance(time.Millisecond)
			trk.RemoveExpired()
			iis.Equal(trk.evacuated("a"), tst.evacuated)
			iis.Equal(len(trk.inForce) == 0, !tst.evacuated)
		})
	}
}

// TestReappearingRecordIsInEffect guards against requests to a data centre whose record is back after a restore from a
// copy of before its deletion.
func TestReappearingRecordIsInEffect(t *testing.T) {
	iis := is.New(t)
	trk := newTracked()
	trk.List([]string{"a"}, at(1, 3))
	trk.read("a", false, at(1, 4))
	trk.List([]string{"a"}, at(2, 3))
	trk.man.Advance(time.Minute)
	trk.RemoveExpired()
	iis.True(trk.evacuated("a"))
	trk.read("a", false, at(2, 4))
	iis.True(trk.evacuated())
}

// TestStoreWithoutErasIsRestored guards against requests to an evacuated data centre after a restore of a store that
// states no era.
func TestStoreWithoutErasIsRestored(t *testing.T) {
	iis := is.New(t)
	trk := newTracked()
	trk.List([]string{"a"}, at(0, 9))
	trk.List(nil, at(0, 2))
	iis.True(trk.evacuated("a"))
	trk.man.Advance(evac.Grace)
	trk.RemoveExpired()
	iis.True(trk.evacuated())
}

// TestLaterStateWins guards against the state of a peer that has read less than this process, and against the state of
// this process if it has lost the store and a peer has read more.
func TestLaterStateWins(t *testing.T) {
	iis := is.New(t)
	trk := newTracked()
	trk.List(nil, at(1, 5))
	trk.Merge(evac.State{Position: at(1, 4), DataCentres: []string{"old"}})
	iis.True(trk.evacuated())
	trk.Merge(evac.State{Position: at(1, 7), DataCentres: []string{"a"}})
	iis.True(trk.evacuated("a"))
	trk.read("b", true, at(1, 6)) // Read late: the peer has read its deletion at offset 6.
	iis.True(trk.evacuated("a"))
	trk.Record("b", false)
	trk.read("a", true, at(1, 8))
	iis.True(trk.evacuated("a"))
	trk.read("a", false, at(1, 9))
	iis.True(trk.evacuated())
	trk.Merge(evac.State{Position: at(1, 8), DataCentres: []string{"a"}})
	iis.True(trk.evacuated())
}

// TestListingOverrulesPeers guards against a data centre that is out of service as long as the process lives, because
// of a forged datagram with a position that the store does not have.
func TestListingOverrulesPeers(t *testing.T) {
	iis := is.New(t)
	trk := newTracked()
	trk.List(nil, at(1, 5))
	trk.Merge(evac.State{Position: at(1<<60, 1), DataCentres: []string{"a"}})
	iis.True(trk.evacuated("a"))
	trk.List(nil, at(1, 6))
	trk.man.Advance(evac.Grace)
	trk.RemoveExpired()
	iis.True(trk.evacuated())
}

// TestPeerTellsOfRestore guards against requests to an evacuated data centre by a process without the store that hears
// of a new era in which the record is missing.
func TestPeerTellsOfRestore(t *testing.T) {
	iis := is.New(t)
	trk := newTracked()
	trk.List([]string{"a", "b"}, at(1, 5))
	trk.Merge(evac.State{Position: at(2, 3), DataCentres: []string{"b"}})
	iis.True(trk.evacuated("a", "b"))
	trk.Merge(evac.State{Position: at(1, 9)}) // By a peer that does not know of the restore.
	iis.True(trk.evacuated("a", "b"))
	trk.man.Advance(evac.Grace)
	trk.RemoveExpired()
	iis.True(trk.evacuated("b"))
}

// TestStartedProcessTakesGracePeriods guards against requests to an evacuated data centre by a process that has started
// after a restore of the store, and sees no record of it.
func TestStartedProcessTakesGracePeriods(t *testing.T) {
	iis := is.New(t)
	one, two := newTracked(), newTracked()
	one.List([]string{"a", "b"}, at(1, 5))
	one.List(nil, at(2, 3))
	one.man.Advance(time.Second)
	two.List(nil, at(2, 3))
	sta, known := one.State()
	iis.True(known)
	two.Merge(sta)
	iis.True(two.evacuated("a", "b"))
	two.read("b", false, at(2, 4)) // The operator returns it to service.
	two.Merge(sta)
	iis.True(two.evacuated("a"))
	two.man.Advance(time.Second)
	two.RemoveExpired()
	iis.True(two.evacuated())
	sta.Held = []evac.Held{{DataCentre: "c", Left: time.Hour}}
	two.Merge(sta)
	two.man.Advance(evac.Grace)
	two.RemoveExpired()
	iis.True(two.evacuated()) // A peer cannot state more than the whole grace period.
}

// TestStartedProcessServesWithAState guards against a process that serves before it knows which data centres are
// evacuated.
func TestStartedProcessServesWithAState(t *testing.T) {
	iis := is.New(t)
	trk := newTracked()
	_, known := trk.State()
	iis.True(!known && !trk.Known())
	trk.Merge(evac.State{Position: at(1, 2), DataCentres: []string{"a"}})
	iis.True(trk.Known() && trk.evacuated("a"))
	trk.List([]string{"a", "b"}, at(1, 3))
	iis.True(trk.evacuated("a", "b"))
}

// BenchmarkMerge measures what a full update of a peer costs while two data centres are evacuated.
func BenchmarkMerge(b *testing.B) {
	trk := newTracked()
	trk.List([]string{"data-centre-1", "data-centre-2"}, at(1, 5))
	sta, _ := trk.State()
	for b.Loop() {
		trk.Merge(sta)
	}
}
