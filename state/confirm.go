package state

import (
	"slices"

	"github.com/gravitational/trace"
)

// confirm needs no plan IDs beyond the history: a plan that took effect has moved the objects of its own basis.
func (fol *Fold) confirm(offset int64, record string, con Confirm) {
	if _, known := fol.Plan(con.Plan); known {
		return
	}
	past := Past{Offset: offset, Record: record, Plan: con.Plan, Operator: con.Operator, At: con.At}
	if err := con.Check(); err != nil {
		past.Reason = ReasonMalformed
	} else if past.Conflicts = fol.Conflicts(con); len(past.Conflicts) > 0 {
		past.Reason = ReasonMoved
	} else {
		for _, opr := range con.Operations {
			past.Changes = append(past.Changes, fol.set(offset, con, opr))
		}
	}
	fol.history = append(fol.history, past)
	fol.trim()
}

// Check returns a trace.BadParameter error for a confirm that no process may put in force: without plan or operator,
// with no operations or too many, an object named twice, a value of another kind, or an operation on an object that
// is not in the basis.
func (con Confirm) Check() error {
	if con.Plan == "" || con.Operator == "" {
		return trace.BadParameter("state: confirm without plan or operator")
	}
	if len(con.Operations) == 0 || len(con.Operations) > MaxOperations || len(con.Basis) > 4*MaxOperations {
		return trace.BadParameter("state: %d operations, want 1 to %d", len(con.Operations), MaxOperations)
	}
	basis := make(map[Key]bool)
	for _, bas := range con.Basis {
		if basis[bas.Key] {
			return trace.BadParameter("state: %s is twice in the basis", bas.Key)
		}
		basis[bas.Key] = true
	}
	seen := make(map[Key]bool)
	for _, opr := range con.Operations {
		if seen[opr.Key] || !basis[opr.Key] || opr.Key.Name == "" || !opr.Value.matches(opr.Key.Kind) {
			return trace.BadParameter("state: operation on %s is repeated, without basis or of another kind", opr.Key)
		}
		seen[opr.Key] = true
	}
	return nil
}

// Conflicts returns the objects of a confirm's basis that have changed since.
func (fol *Fold) Conflicts(con Confirm) []Conflict {
	var list []Conflict
	for _, bas := range con.Basis {
		obj := fol.objects[bas.Key]
		forgotten := obj.Version == 0 && con.From < fol.floor
		if obj.Version != bas.Version || forgotten {
			list = append(list, Conflict{bas.Key, bas.Version, obj.Version, obj.Operator, obj.Plan})
		}
	}
	return list
}

func (fol *Fold) set(offset int64, con Confirm, opr Operation) Change {
	old := fol.objects[opr.Key]
	if old.Version != 0 && old.Value.Absent() {
		fol.removed = slices.DeleteFunc(fol.removed, func(key Key) bool { return key == opr.Key })
	}
	if opr.Value.Absent() {
		fol.removed = append(fol.removed, opr.Key)
	}
	if old.Value.Account != nil {
		fol.accounts--
	}
	if opr.Value.Account != nil {
		fol.accounts++
	}
	fol.objects[opr.Key] = Object{opr.Value, offset, con.Operator, con.At, con.Plan}
	return Change{opr.Key, old.Value, opr.Value}
}

// trim bounds history and removed objects.
func (fol *Fold) trim() {
	total := 0
	for idx := len(fol.history) - 1; idx >= 0; idx-- {
		total += len(fol.history[idx].Changes) + len(fol.history[idx].Conflicts)
		if len(fol.history)-idx > maxHistory || total > maxChanges {
			fol.history = slices.Clone(fol.history[idx+1:])
			break
		}
	}
	for len(fol.removed) > maxRemoved {
		key := fol.removed[0]
		fol.floor = max(fol.floor, fol.objects[key].Version)
		delete(fol.objects, key)
		fol.removed = fol.removed[1:]
	}
}

// Plan returns the confirm of a plan, if the history still has it.
func (fol *Fold) Plan(plan string) (Past, bool) {
	for idx := len(fol.history) - 1; idx >= 0; idx-- {
		if fol.history[idx].Plan == plan {
			return fol.history[idx], true
		}
	}
	return Past{}, false
}
