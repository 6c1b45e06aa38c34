package state

import (
	"cmp"
	"slices"
)

// Named is an object with its key.
type Named struct {
	Key    Key    `json:"object"`
	Object Object `json:"state"`
}

func (sto *Store) object(knd Kind, name string) (Object, bool) {
	sto.mu.RLock()
	defer sto.mu.RUnlock()
	obj, ok := sto.fold.objects[NewKey(knd, name)]
	return obj, ok && !obj.Value.Absent()
}

// Drained tells whether an upstream must receive no new work.
func (sto *Store) Drained(upstream string) bool {
	obj, ok := sto.object(KindUpstream, upstream)
	return ok && obj.Value.Upstream.Drained
}

// ChecksFencing tells whether an upstream refuses commands with an old fencing token.
func (sto *Store) ChecksFencing(upstream string) bool {
	obj, ok := sto.object(KindUpstream, upstream)
	return ok && obj.Value.Upstream.ChecksFencing
}

// Models returns the models that an account may use. While no account is configured, nothing is restricted.
func (sto *Store) Models(account string) (models []string, restricted bool) {
	sto.mu.RLock()
	defer sto.mu.RUnlock()
	if sto.fold.accounts == 0 {
		return nil, false
	}
	if acc := sto.fold.objects[NewKey(KindAccount, account)].Value.Account; acc != nil {
		models = slices.Clone(acc.Models)
	}
	return models, true
}

// MayUse tells whether an account may use a model.
func (sto *Store) MayUse(account, model string) bool {
	sto.mu.RLock()
	defer sto.mu.RUnlock()
	if sto.fold.accounts == 0 {
		return true
	}
	acc := sto.fold.objects[NewKey(KindAccount, account)].Value.Account
	return acc != nil && slices.Contains(acc.Models, model)
}

// Limit returns an account's configured limit in cost units a second, or 0 for none.
func (sto *Store) Limit(account string) int {
	if obj, ok := sto.object(KindAccount, account); ok {
		return obj.Value.Account.Limit
	}
	return 0
}

// Repeatable tells whether a call of a service, given as "METHOD path", is configured as idempotent.
func (sto *Store) Repeatable(service, call string) bool {
	obj, ok := sto.object(KindService, service)
	return ok && slices.Contains(obj.Value.Service.Repeatable, call)
}

// Get returns an object and its version, which is kept for some time after the object was removed.
func (sto *Store) Get(key Key) Object {
	sto.mu.RLock()
	defer sto.mu.RUnlock()
	return sto.fold.objects[key]
}

// List returns the objects that exist, sorted by kind and name, and the version that they belong to.
func (sto *Store) List() ([]Named, int64) {
	sto.mu.RLock()
	defer sto.mu.RUnlock()
	var list []Named
	for key, obj := range sto.fold.objects {
		if !obj.Value.Absent() {
			list = append(list, Named{key, obj})
		}
	}
	slices.SortFunc(list, func(one, two Named) int {
		return cmp.Or(cmp.Compare(one.Key.Kind, two.Key.Kind), cmp.Compare(one.Key.Name, two.Key.Name))
	})
	return list, sto.fold.version
}

// History returns the confirms that are kept, oldest first.
func (sto *Store) History() []Past {
	sto.mu.RLock()
	defer sto.mu.RUnlock()
	return slices.Clone(sto.fold.history)
}

// Plan returns the confirm of a plan, if the history still has it.
func (sto *Store) Plan(plan string) (Past, bool) {
	sto.mu.RLock()
	defer sto.mu.RUnlock()
	return sto.fold.Plan(plan)
}

// Decide returns the confirm of a plan if the history still has it, and otherwise the objects that have changed since
// the plan was made. Both come from one version: read one after the other, a plan that takes effect in between would
// seem to conflict with itself.
func (sto *Store) Decide(con Confirm) (past Past, known bool, conflicts []Conflict) {
	sto.mu.RLock()
	defer sto.mu.RUnlock()
	if past, known = sto.fold.Plan(con.Plan); known {
		return past, true, nil
	}
	return Past{}, false, sto.fold.Conflicts(con)
}

// Duty returns the last effective claim of a duty; its offset is 0 if there is none.
func (sto *Store) Duty(duty string) Holding {
	sto.mu.RLock()
	defer sto.mu.RUnlock()
	return sto.fold.duties[duty]
}

// Mark returns the last snapshot of the log that counts.
func (sto *Store) Mark() Mark {
	sto.mu.RLock()
	defer sto.mu.RUnlock()
	return sto.fold.mark
}

// Encode returns the whole state and its version.
func (sto *Store) Encode() ([]byte, int64, error) {
	sto.mu.RLock()
	defer sto.mu.RUnlock()
	raw, err := sto.fold.Encode()
	return raw, sto.fold.version, err
}
