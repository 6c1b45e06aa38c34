package state

import (
	"cmp"
	"slices"
)

// DutyRollOut is the duty of moving upstreams to the desired version of their model, step by step.
const DutyRollOut = "roll-out"

// maxPlacements bounds the upstreams whose version is kept, since the names of replaced VMs may never be used again.
// All processes must use the same value, because the result of applying the records depends on it.
const maxPlacements = 20_000

// Step instructs upstreams to load a version of their model. It takes effect if Fence is the current claim of
// DutyRollOut and the version is still the desired one.
type Step struct {
	Fence     int64    `cbor:"1,keyasint"` // offset of the writer's claim
	Model     string   `cbor:"2,keyasint"`
	Version   string   `cbor:"3,keyasint"`
	Upstreams []string `cbor:"4,keyasint"`
}

// StepEnd records that an upstream has loaded the version of a step, or why it could not.
type StepEnd struct {
	Upstream string `cbor:"1,keyasint"`
	Step     int64  `cbor:"2,keyasint"`           // offset of the step
	Reason   string `cbor:"3,keyasint,omitempty"` // empty if the version is loaded
}

// Placement is the version that a roll-out assigned to an upstream. Step is the fencing token of the command to the
// upstream.
type Placement struct {
	Model   string `cbor:"1,keyasint" json:"model"`
	Version string `cbor:"2,keyasint" json:"version"`
	Step    int64  `cbor:"3,keyasint" json:"step"`                       // offset of the step
	Ended   bool   `cbor:"4,keyasint,omitempty" json:"ended"`            // the version is loaded or failed to load
	Reason  string `cbor:"5,keyasint,omitempty" json:"reason,omitempty"` // why the upstream failed
}

// Failed reports whether the upstream could not load the version.
func (pla Placement) Failed() bool { return pla.Ended && pla.Reason != "" }

// Loading reports whether the upstream has not reported the end of the step yet.
func (pla Placement) Loading() bool { return pla.Step > 0 && !pla.Ended }

func (mch *Machine) applyStep(offset int64, stp Step) {
	mod := mch.objects[NewKey(KindModel, stp.Model)].Value.Model
	if stp.Fence != mch.duties[DutyRollOut].Offset || mod == nil || mod.Version != stp.Version {
		return
	}
	for _, name := range stp.Upstreams {
		mch.placements[name] = Placement{Model: stp.Model, Version: stp.Version, Step: offset}
	}
	mch.trimPlacements()
}

func (mch *Machine) applyStepEnd(end StepEnd) {
	pla, ok := mch.placements[end.Upstream]
	if !ok || pla.Step != end.Step || pla.Ended {
		return
	}
	pla.Ended, pla.Reason = true, end.Reason
	mch.placements[end.Upstream] = pla
}

// trimPlacements drops the oldest placements beyond maxPlacements.
func (mch *Machine) trimPlacements() {
	over := len(mch.placements) - maxPlacements
	if over <= 0 {
		return
	}
	names := make([]string, 0, len(mch.placements))
	for name := range mch.placements {
		names = append(names, name)
	}
	slices.SortFunc(names, func(one, two string) int {
		return cmp.Or(cmp.Compare(mch.placements[one].Step, mch.placements[two].Step), cmp.Compare(one, two))
	})
	for _, name := range names[:over] {
		delete(mch.placements, name)
	}
}

// Placement returns the version that a roll-out assigned to an upstream; ok is false if there is none.
func (sto *Store) Placement(upstream string) (Placement, bool) {
	sto.mu.RLock()
	defer sto.mu.RUnlock()
	pla, ok := sto.machine.placements[upstream]
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
	for key, obj := range sto.machine.objects {
		if obj.Value.Model != nil {
			list = append(list, NamedModel{Name: key.Name, Model: *obj.Value.Model, Changed: obj.Version})
		}
	}
	slices.SortFunc(list, func(one, two NamedModel) int { return cmp.Compare(one.Name, two.Name) })
	return list
}
