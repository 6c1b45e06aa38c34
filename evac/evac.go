// Package evac tracks which data centres the operator has evacuated, so that they get no more requests.
//
// The operator's topic in the store decides. A process reads it, and takes what a peer has read if that is known up to
// a later position. After a restore of the store, a data centre whose record is missing stays evacuated for a grace
// period, in which the operator writes the record again.
package evac

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"github.com/tarragonwheel/tarragonwheel/follow"
	"github.com/tarragonwheel/tarragonwheel/timer"
)

// Grace is the time after the first listing of a new era for which a data centre stays evacuated whose record is
// missing. Within it the operator's records are written again.
const Grace = 2 * time.Second

// Change is a change of the evacuated data centres.
type Change struct {
	Evacuated []string // since the change
	Returned  []string // to service
	InForce   []string // all that are evacuated now
	FromStore bool     // this process has read it, rather than a peer
}

// Options configure a Tracker.
type Options struct {
	Clock *timer.Service
	Log   logr.Logger
	// OnChange is called with each change before the method returns that has led to it. It must not call the Tracker.
	OnChange func(chg Change)
}

// Tracker holds the evacuated data centres. It is safe for concurrent use.
type Tracker struct {
	opts     Options
	mu       sync.Mutex
	own      view                 // what this process has read
	heard    view                 // the latest state of a peer
	current  view                 // the later one of the two
	held     map[string]time.Time // end of the grace period, by data centre
	returned map[string]bool      // data centres whose record this process has seen removed in the era of own
	inForce  map[string]bool      // the evacuated data centres, also those in a grace period
}

// New returns a Tracker that knows nothing.
func New(opts Options) *Tracker {
	return &Tracker{opts: opts, held: make(map[string]time.Time), returned: make(map[string]bool)}
}

// List records the evacuated data centres of a listing of the operator's topic.
func (trk *Tracker) List(dataCentres []string, pos follow.Position) {
	trk.mu.Lock()
	defer trk.mu.Unlock()
	if trk.own.known && !trk.own.isOfEra(pos) {
		trk.returned = make(map[string]bool)
	}
	if pos.Before(trk.heard.at) { // The store has no such position. If it has one since, it is read next.
		trk.heard = view{}
	}
	trk.own = newView(dataCentres, pos)
	trk.advance()
	trk.announce(true)
}

// Record records that a record has been read that evacuates a data centre or returns it to service. It takes effect
// with the next call of Read.
func (trk *Tracker) Record(dataCentre string, evacuated bool) {
	trk.mu.Lock()
	defer trk.mu.Unlock()
	if evacuated {
		trk.own.dataCentres[dataCentre] = true
		delete(trk.returned, dataCentre)
		return
	}
	delete(trk.own.dataCentres, dataCentre)
	delete(trk.held, dataCentre)
	trk.returned[dataCentre] = true
}

// Read records that all records up to a position have been passed to Record.
func (trk *Tracker) Read(pos follow.Position) {
	trk.mu.Lock()
	defer trk.mu.Unlock()
	trk.own.at = pos
	trk.advance()
	trk.announce(true)
}

// Merge takes the state of a peer if it is known up to a later position than that of this process, and the grace
// periods that the peer knows in the same era.
func (trk *Tracker) Merge(sta State) {
	trk.mu.Lock()
	defer trk.mu.Unlock()
	heard := newView(sta.DataCentres, sta.Position)
	if trk.current.isOlder(&heard) {
		trk.heard = heard
		trk.advance()
	}
	if sta.Position.Era == trk.current.at.Era {
		trk.adopt(sta.Held)
	}
	trk.announce(false)
}

// adopt takes the grace periods that a peer knows. The caller holds the lock.
func (trk *Tracker) adopt(list []Held) {
	now := trk.opts.Clock.Now()
	for _, one := range list {
		until := now.Add(min(one.Left, Grace))
		if !trk.returned[one.DataCentre] && until.After(trk.held[one.DataCentre]) {
			trk.held[one.DataCentre] = until
		}
	}
}

// RemoveExpired returns data centres to service whose grace period is over.
func (trk *Tracker) RemoveExpired() {
	trk.mu.Lock()
	defer trk.mu.Unlock()
	if len(trk.held) > 0 {
		trk.announce(false)
	}
}

// State returns the state for peers. It returns false if nothing is known yet.
func (trk *Tracker) State() (State, bool) {
	trk.mu.Lock()
	defer trk.mu.Unlock()
	sta := State{Position: trk.current.at, DataCentres: trk.current.names()}
	now := trk.opts.Clock.Now()
	for name, until := range trk.held {
		if left := until.Sub(now); left > 0 && !trk.current.dataCentres[name] {
			sta.Held = append(sta.Held, Held{DataCentre: name, Left: left})
		}
	}
	return sta, trk.current.known
}

// Known reports whether the topic has been listed here or at a peer.
func (trk *Tracker) Known() bool {
	trk.mu.Lock()
	defer trk.mu.Unlock()
	return trk.current.known
}

// advance makes the later one of the two views the current one. If it is of another era, the data centres whose records
// are missing there get a grace period. The caller holds the lock.
func (trk *Tracker) advance() {
	next := &trk.own
	if next.isOlder(&trk.heard) {
		next = &trk.heard
	}
	if trk.current.known && !trk.current.isOfEra(next.at) {
		until := trk.opts.Clock.Now().Add(Grace)
		for name := range trk.inForce {
			if !next.dataCentres[name] {
				trk.held[name] = until
			}
		}
	}
	trk.current = view{known: next.known, at: next.at, dataCentres: maps.Clone(next.dataCentres)}
}

// announce reports a change of the evacuated data centres, if there is one. The caller holds the lock.
func (trk *Tracker) announce(fromStore bool) {
	now := trk.opts.Clock.Now()
	inForce := maps.Clone(trk.current.dataCentres)
	for name, until := range trk.held {
		if inForce[name] || !now.Before(until) {
			delete(trk.held, name)
			continue
		}
		inForce[name] = true
	}
	chg := Change{
		Evacuated: added(trk.inForce, inForce), Returned: added(inForce, trk.inForce),
		InForce: slices.Sorted(maps.Keys(inForce)), FromStore: fromStore,
	}
	trk.inForce = inForce
	if len(chg.Evacuated)+len(chg.Returned) == 0 {
		return
	}
	trk.opts.Log.Info("evac: evacuated data centres changed", "evacuated", chg.Evacuated, "returned", chg.Returned,
		"in-force", chg.InForce, "in-grace-period", len(trk.held), "from-store", fromStore,
		"era", trk.current.at.Era, "offset", trk.current.at.Offset)
	trk.opts.OnChange(chg)
}

// added returns the names that are in the second set only, in alphabetical order.
func added(before, after map[string]bool) []string {
	var list []string
	for name := range after {
		if !before[name] {
			list = append(list, name)
		}
	}
	slices.Sort(list)
	return list
}
