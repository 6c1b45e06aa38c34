package evac

import (
	"maps"
	"slices"
	"time"

	"github.com/tarragonwheel/tarragonwheel/follow"
)

// State is what a process knows of evacuated data centres, as it is exchanged with others.
type State struct {
	Position    follow.Position // up to which the operator's topic was read
	DataCentres []string        // whose records are in the topic
	Held        []Held
}

// Held is a data centre whose record has been missing since a restore of the store.
type Held struct {
	DataCentre string
	Left       time.Duration // of the grace period
}

// view is the operator's records up to a position.
type view struct {
	known       bool
	at          follow.Position
	dataCentres map[string]bool
}

func newView(dataCentres []string, pos follow.Position) view {
	vie := view{known: true, at: pos, dataCentres: make(map[string]bool, len(dataCentres))}
	for _, name := range dataCentres {
		vie.dataCentres[name] = true
	}
	return vie
}

// isOlder reports whether the other view is known up to a later position.
func (vie *view) isOlder(other *view) bool {
	return other.known && (!vie.known || vie.at.Before(other.at))
}

// names returns the data centres in alphabetical order.
func (vie *view) names() []string { return slices.Sorted(maps.Keys(vie.dataCentres)) }

// isOfEra reports whether the view is of an era and not later than a position in it. An offset that went back shows a
// restore of a store that states no era.
func (vie *view) isOfEra(pos follow.Position) bool {
	return vie.at.Era == pos.Era && !pos.Before(vie.at)
}
