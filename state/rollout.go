package state

import (
	"cmp"
	"slices"
)

// DutyRollOut is the duty of taking upstreams to the wanted version of their model, step by step.
const DutyRollOut = "roll-out"

// maxPlacements bounds the upstreams whose version is kept, since names of replaced VMs need not come back. It is part
// of the fold: all processes must use the same.
const maxPlacements = 20_000

// Step lets upstreams take a version of their model. It takes effect if Fence is the duty's current claim and the
// version is still the wanted one.
type Step struct {
	Fence     int64    `cbor:"1,keyasint"` // offset of the writer's claim
	Model     string   `cbor:"2,keyasint"`
	Version   string   `cbor:"3,keyasint"`
	Upstreams []string `cbor:"4,keyasint"`
}

// StepEnd tells that an upstream has done its part of a step, or why it could not.
type StepEnd struct {
	Upstream string `cbor:"1,keyasint"`
	Step     int64  `cbor:"2,keyasint"`           // offset of the step
	Reason   string `cbor:"3,keyasint,omitempty"` // empty if the version is loaded
}

// Placement is the version that an upstream is to have. Its step is the fencing token of the command to the upstream.
type Placement struct {
	Model   string `cbor:"1,keyasint" json:"model"`
	Version string `cbor:"2,keyasint" json:"version"`
	Step    int64  `cbor:"3,keyasint" json:"step"`
	Ended   bool   `cbor:"4,keyasint,omitempty" json:"ended"`
	Reason  string `cbor:"5,keyasint,omitempty" json:"reason,omitempty"`
}

// Failed tells whether the upstream could not take the version.
func (pla Placement) Failed() bool { return pla.Ended && pla.Reason != "" }

// Loading tells whether the upstream has not ended its part.
func (pla Placement) Loading() bool { return pla.Step > 0 && !pla.Ended }

func (fol *Fold) step(offset int64, stp Step) {
	mod := fol.objects[NewKey(KindModel, stp.Model)].Value.Model
	if stp.Fence != fol.duties[DutyRollOut].Offset || mod == nil || mod.Version != stp.Version {
		return
	}
	for _, name := range stp.Upstreams {
		fol.placements[name] = Placement{Model: stp.Model, Version: stp.Version, Step: offset}
	}
	fol.trimPlacements()
}

func (fol *Fold) stepEnd(end StepEnd) {
	pla, known := fol.placements[end.Upstream]
	if !known || pla.Step != end.Step || pla.Ended {
		return
	}
	pla.Ended, pla.Reason = true, end.Reason
	fol.placements[end.Upstream] = pla
}

// trimPlacements forgets the oldest placements beyond the bound.
func (fol *Fold) trimPlacements() {
	over := len(fol.placements) - maxPlacements
	if over <= 0 {
		return
	}
	names := make([]string, 0, len(fol.placements))
	for name := range fol.placements {
		names = append(names, name)
	}
	slices.SortFunc(names, func(one, two string) int {
		return cmp.Or(cmp.Compare(fol.placements[one].Step, fol.placements[two].Step), cmp.Compare(one, two))
	})
	for _, name := range names[:over] {
		delete(fol.placements, name)
	}
}

// Placement returns the version that an upstream is to have, if a roll-out has reached it.
func (sto *Store) Placement(upstream string) (Placement, bool) {
	sto.mu.RLock()
	defer sto.mu.RUnlock()
	pla, ok := sto.fold.placements[upstream]
	return pla, ok
}

// NamedModel is a configured model with the offset of the record that last changed it.
type NamedModel struct {
	Name    string
	Model   Model
	Changed int64
}

// ModelList returns the configured models, by name.
func (sto *Store) ModelList() []NamedModel {
	sto.mu.RLock()
	defer sto.mu.RUnlock()
	var list []NamedModel
	for key, obj := range sto.fold.objects {
		if obj.Value.Model != nil {
			list = append(list, NamedModel{Name: key.Name, Model: *obj.Value.Model, Changed: obj.Version})
		}
	}
	slices.SortFunc(list, func(one, two NamedModel) int { return cmp.Compare(one.Name, two.Name) })
	return list
}
