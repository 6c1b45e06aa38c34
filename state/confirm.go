package state

import (
	"slices"

	"github.com/gravitational/trace"
)

// applyConfirm applies a plan, or records why it has no effect. The history is enough to detect duplicates: a plan that
// took effect and has left the history conflicts with itself, because it has changed the objects of its own basis.
func (mch *Machine) applyConfirm(offset int64, record string, con Confirm) {
	if _, recorded := mch.Plan(con.Plan); recorded {
		return
	}
	res := ConfirmResult{Offset: offset, Record: record, Plan: con.Plan, Operator: con.Operator, At: con.At}
	if err := con.Check(); err != nil {
		res.Reason = ReasonMalformed
	} else if res.Conflicts = mch.Conflicts(con); len(res.Conflicts) > 0 {
		res.Reason = ReasonConflict
	} else {
		for _, opr := range con.Operations {
			res.Changes = append(res.Changes, mch.applyOperation(offset, con, opr))
		}
	}
	mch.history = append(mch.history, res)
	mch.trim()
}

// Check returns a trace.BadParameter error for a confirm that no process may apply: one without plan or operator, with
// no operations or too many, with an object that is named twice, with a value of the wrong kind, or with an operation
// on an object that is not in the basis.
func (con Confirm) Check() error {
	if con.Plan == "" || con.Operator == "" {
		return trace.BadParameter("state: confirm without plan or operator")
	}
	if len(con.Operations) == 0 || len(con.Operations) > MaxOperations || len(con.Basis) > 4*MaxOperations {
		return trace.BadParameter("state: confirm with %d operations, want 1 to %d", len(con.Operations), MaxOperations)
	}
	basis := make(map[Key]bool)
	for _, bas := range con.Basis {
		if basis[bas.Key] {
			return trace.BadParameter("state: basis names %s twice", bas.Key)
		}
		basis[bas.Key] = true
	}
	seen := make(map[Key]bool)
	for _, opr := range con.Operations {
		if seen[opr.Key] || !basis[opr.Key] || opr.Key.Name == "" || !opr.Value.matches(opr.Key.Kind) {
			return trace.BadParameter("state: %s has two operations, no basis or a value of another kind", opr.Key)
		}
		seen[opr.Key] = true
	}
	return nil
}

// Conflicts returns the objects of a confirm's basis that have changed since the plan was made.
func (mch *Machine) Conflicts(con Confirm) []Conflict {
	var list []Conflict
	for _, bas := range con.Basis {
		obj := mch.objects[bas.Key]
		maybeTrimmed := obj.Version == 0 && con.From < mch.trimmedVersion
		if obj.Version != bas.Version || maybeTrimmed {
			list = append(list, Conflict{bas.Key, bas.Version, obj.Version, obj.Operator, obj.Plan})
		}
	}
	return list
}

// applyOperation sets or removes an object, and returns what has changed.
func (mch *Machine) applyOperation(offset int64, con Confirm, opr Operation) Change {
	old := mch.objects[opr.Key]
	if old.Version != 0 && old.Value.Absent() {
		mch.removed = slices.DeleteFunc(mch.removed, func(key Key) bool { return key == opr.Key })
	}
	if opr.Value.Absent() {
		mch.removed = append(mch.removed, opr.Key)
	}
	if old.Value.Account != nil {
		mch.accounts--
	}
	if opr.Value.Account != nil {
		mch.accounts++
	}
	mch.objects[opr.Key] = Object{opr.Value, offset, con.Operator, con.At, con.Plan}
	return Change{opr.Key, old.Value, opr.Value}
}

// trim drops the oldest confirms of the history and the oldest removed objects beyond their bounds.
func (mch *Machine) trim() {
	total := 0
	for idx := len(mch.history) - 1; idx >= 0; idx-- {
		total += len(mch.history[idx].Changes) + len(mch.history[idx].Conflicts)
		if len(mch.history)-idx > maxHistory || total > maxChanges {
			mch.history = slices.Clone(mch.history[idx+1:])
			break
		}
	}
	for len(mch.removed) > maxRemoved {
		key := mch.removed[0]
		mch.trimmedVersion = max(mch.trimmedVersion, mch.objects[key].Version)
		delete(mch.objects, key)
		mch.removed = mch.removed[1:]
	}
}

// Plan returns the confirm of a plan, if it is still in the history.
func (mch *Machine) Plan(plan string) (ConfirmResult, bool) {
	for idx := len(mch.history) - 1; idx >= 0; idx-- {
		if mch.history[idx].Plan == plan {
			return mch.history[idx], true
		}
	}
	return ConfirmResult{}, false
}
