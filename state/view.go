package state

import (
	"cmp"
	"slices"
)

// NamedObject is an object with its key.
type NamedObject struct {
	Key    Key    `json:"object"`
	Object Object `json:"state"`
}

func (sto *Store) object(knd Kind, name string) (Object, bool) {
	sto.mu.RLock()
	defer sto.mu.RUnlock()
	obj, ok := sto.machine.objects[NewKey(knd, name)]
	return obj, ok && !obj.Value.Absent()
}

// Drained reports whether an upstream must receive no new requests.
func (sto *Store) Drained(upstream string) bool {
	obj, ok := sto.object(KindUpstream, upstream)
	return ok && obj.Value.Upstream.Drained
}

// ChecksFencing reports whether an upstream rejects commands with an outdated fencing token.
func (sto *Store) ChecksFencing(upstream string) bool {
	obj, ok := sto.object(KindUpstream, upstream)
	return ok && obj.Value.Upstream.ChecksFencing
}

// Models returns the models that a client account may use. While no account is configured, every account may use all
// models, and restricted is false.
func (sto *Store) Models(account string) (models []string, restricted bool) {
	sto.mu.RLock()
	defer sto.mu.RUnlock()
	if sto.machine.accounts == 0 {
		return nil, false
	}
	if acc := sto.machine.objects[NewKey(KindAccount, account)].Value.Account; acc != nil {
		models = slices.Clone(acc.Models)
	}
	return models, true
}

// MayUse reports whether a client account may use a model.
func (sto *Store) MayUse(account, model string) bool {
	sto.mu.RLock()
	defer sto.mu.RUnlock()
	if sto.machine.accounts == 0 {
		return true
	}
	acc := sto.machine.objects[NewKey(KindAccount, account)].Value.Account
	return acc != nil && slices.Contains(acc.Models, model)
}

// Limit returns a client account's configured limit in cost units per second, or 0 for none.
func (sto *Store) Limit(account string) int {
	if obj, ok := sto.object(KindAccount, account); ok {
		return obj.Value.Account.Limit
	}
	return 0
}

// Retryable reports whether a call of a service, given as "METHOD path", is configured as idempotent.
func (sto *Store) Retryable(service, call string) bool {
	obj, ok := sto.object(KindService, service)
	return ok && slices.Contains(obj.Value.Service.Retryable, call)
}

// Get returns an object and its version. The version is kept for some time after the object was removed.
func (sto *Store) Get(key Key) Object {
	sto.mu.RLock()
	defer sto.mu.RUnlock()
	return sto.machine.objects[key]
}

// List returns the objects that exist, sorted by kind and name, and the version of the state.
func (sto *Store) List() ([]NamedObject, int64) {
	sto.mu.RLock()
	defer sto.mu.RUnlock()
	var list []NamedObject
	for key, obj := range sto.machine.objects {
		if !obj.Value.Absent() {
			list = append(list, NamedObject{key, obj})
		}
	}
	slices.SortFunc(list, func(one, two NamedObject) int {
		return cmp.Or(cmp.Compare(one.Key.Kind, two.Key.Kind), cmp.Compare(one.Key.Name, two.Key.Name))
	})
	return list, sto.machine.version
}

// History returns the confirms that are kept, oldest first.
func (sto *Store) History() []ConfirmResult {
	sto.mu.RLock()
	defer sto.mu.RUnlock()
	return slices.Clone(sto.machine.history)
}

// Plan returns the confirm of a plan, if it is still in the history.
func (sto *Store) Plan(plan string) (ConfirmResult, bool) {
	sto.mu.RLock()
	defer sto.mu.RUnlock()
	return sto.machine.Plan(plan)
}

// PlanStatus returns the confirm of a plan if it is still in the history, and otherwise the objects that have changed
// since the plan was made. Both are read under one lock: with two separate reads, a plan that takes effect in between
// would seem to conflict with itself.
func (sto *Store) PlanStatus(con Confirm) (res ConfirmResult, recorded bool, conflicts []Conflict) {
	sto.mu.RLock()
	defer sto.mu.RUnlock()
	if res, recorded = sto.machine.Plan(con.Plan); recorded {
		return res, true, nil
	}
	return ConfirmResult{}, false, sto.machine.Conflicts(con)
}

// Duty returns the last effective claim of a duty; its offset is 0 if there is none.
func (sto *Store) Duty(duty string) DutyClaim {
	sto.mu.RLock()
	defer sto.mu.RUnlock()
	return sto.machine.duties[duty]
}

// LastSnapshot returns the last snapshot that the holder of DutySnapshot has written to the log.
func (sto *Store) LastSnapshot() LastSnapshot {
	sto.mu.RLock()
	defer sto.mu.RUnlock()
	return sto.machine.lastSnapshot
}

// Encode returns a snapshot of the state, and its version.
func (sto *Store) Encode() ([]byte, int64, error) {
	sto.mu.RLock()
	defer sto.mu.RUnlock()
	raw, err := sto.machine.Encode()
	return raw, sto.machine.version, err
}
