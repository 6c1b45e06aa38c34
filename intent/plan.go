package intent

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"reflect"
	"slices"

	"github.com/gravitational/trace"

	"github.com/tarragonwheel/tarragonwheel/proto"
	"github.com/tarragonwheel/tarragonwheel/state"
)

const planIDBytes = 8 // bytes of the hash that make up a plan's ID

// Upstream is an upstream that is connected to the planning process.
type Upstream struct {
	Name  string
	Model string // name of the model
}

// Plan is the set of changes that a declaration requires. It takes effect only when an operator confirms it.
type Plan struct {
	ID         string            `json:"plan"`         // ID of the plan
	From       int64             `json:"from-version"` // version of the state from which the plan was made
	Basis      []state.Basis     `json:"basis"`        // objects that must not change before the plan takes effect
	Operations []state.Operation `json:"operations"`   // in the order of the declaration, as listed to the operator
	Changes    []state.Change    `json:"changes"`
	Accounts   []string          `json:"accounts"`      // names of the client accounts affected
	Replicas   map[string]int    `json:"replicas-left"` // by model affected: connected replicas not drained
	Warnings   []string          `json:"warnings"`
}

// New returns a plan of the declared operations, without those that change nothing. It returns a trace.BadParameter
// error if an account names a model that does not exist, or if nothing would change.
func New(sto *state.Store, declared []state.Operation, upstreams []Upstream) (Plan, error) {
	list, version := sto.List()
	current := make(map[state.Key]state.Object, len(list))
	for _, nam := range list {
		current[nam.Key] = nam.Object
	}
	pla := Plan{From: version, Accounts: []string{}, Replicas: map[string]int{}, Warnings: []string{}}
	after := make(map[state.Key]state.Value, len(current))
	for key, obj := range current {
		after[key] = obj.Value
	}
	for _, opr := range declared {
		if reflect.DeepEqual(current[opr.Key].Value, opr.Value) {
			continue
		}
		after[opr.Key] = opr.Value
		pla.Operations = append(pla.Operations, opr)
		pla.Changes = append(pla.Changes, state.Change{Key: opr.Key, Before: current[opr.Key].Value, After: opr.Value})
		pla.addBasis(sto, opr.Key)
	}
	if len(pla.Operations) == 0 {
		return Plan{}, trace.BadParameter("intent: nothing would change")
	}
	if err := pla.checkAccountModels(sto, after); err != nil {
		return Plan{}, err
	}
	pla.assessImpact(current, after, upstreams)
	pla.ID = pla.computeID()
	con := pla.Confirm("check", 0) // The operator is a placeholder for the check.
	if err := con.Check(); err != nil {
		return Plan{}, fmt.Errorf("intent: plan: %w", err)
	}
	return pla, nil
}

// addBasis makes the plan depend on the current version of an object.
func (pla *Plan) addBasis(sto *state.Store, key state.Key) {
	sameKey := func(bas state.Basis) bool { return bas.Key == key }
	if !slices.ContainsFunc(pla.Basis, sameKey) {
		pla.Basis = append(pla.Basis, state.Basis{Key: key, Version: sto.Get(key).Version})
	}
}

// checkAccountModels returns an error if an account names a model that would not exist. It adds the models of changed
// accounts to the plan's basis, so that a model that is removed concurrently makes the plan stale.
func (pla *Plan) checkAccountModels(sto *state.Store, after map[state.Key]state.Value) error {
	for key, val := range after {
		if val.Account == nil {
			continue
		}
		changed := slices.ContainsFunc(pla.Operations, func(opr state.Operation) bool { return opr.Key == key })
		for _, name := range val.Account.Models {
			model := state.NewKey(state.KindModel, name)
			if after[model].Model == nil {
				return trace.BadParameter("intent: [%s] models: model %s does not exist", key, name)
			}
			if changed {
				pla.addBasis(sto, model)
			}
		}
	}
	slices.SortFunc(pla.Basis, func(one, two state.Basis) int {
		return compareKeys(one.Key, two.Key)
	})
	return nil
}

func compareKeys(one, two state.Key) int {
	switch {
	case one.String() < two.String():
		return -1
	case one.String() > two.String():
		return 1
	default:
		return 0
	}
}

// assessImpact sets the accounts and models that the plan affects, and the warnings.
func (pla *Plan) assessImpact(
	current map[state.Key]state.Object, after map[state.Key]state.Value, upstreams []Upstream,
) {
	modelOf := make(map[string]string) // by upstream
	for _, ups := range upstreams {
		modelOf[ups.Name] = ups.Model
	}
	models := make(map[string]bool)
	for _, chg := range pla.Changes {
		switch chg.Key.Kind {
		case state.KindAccount:
			pla.Accounts = append(pla.Accounts, chg.Key.Name)
		case state.KindModel:
			models[chg.Key.Name] = true
		case state.KindUpstream:
			if modelOf[chg.Key.Name] == "" {
				pla.warn("upstream %s is not connected to this entry", chg.Key.Name)
				continue
			}
			models[modelOf[chg.Key.Name]] = true
		}
	}
	for model := range models {
		pla.countReplicas(model, current, after, upstreams)
	}
	for key, val := range after {
		if val.Account == nil || slices.Contains(pla.Accounts, key.Name) {
			continue
		}
		if slices.ContainsFunc(val.Account.Models, func(name string) bool { return models[name] }) {
			pla.Accounts = append(pla.Accounts, key.Name)
		}
	}
	pla.warnOfStops(after, upstreams)
	pla.warnOfRollOuts(modelOf)
	slices.Sort(pla.Accounts)
	slices.Sort(pla.Warnings)
}

// warnOfStops warns if all planned stops together leave a model with fewer replicas than are wanted. Stops count
// together whatever their times, because a declaration does not say how long they last.
func (pla *Plan) warnOfStops(after map[state.Key]state.Value, upstreams []Upstream) {
	isStop := func(chg state.Change) bool { return chg.Key.Kind == state.KindStop }
	if !slices.ContainsFunc(pla.Changes, isStop) {
		return
	}
	stopped := make(map[string]bool)
	for _, val := range after {
		if val.Stop != nil {
			for _, name := range val.Stop.Upstreams {
				stopped[name] = true
			}
		}
	}
	left := make(map[string]int)
	for _, ups := range upstreams {
		val := after[state.NewKey(state.KindUpstream, ups.Name)].Upstream
		if !stopped[ups.Name] && (val == nil || !val.Drained) {
			left[ups.Model]++
		}
	}
	for key, val := range after {
		if val.Model != nil && left[key.Name] < val.Model.Replicas {
			pla.warn("all planned stops together leave model %s %d of %d replicas",
				key.Name, left[key.Name], val.Model.Replicas)
		}
	}
}

// warnOfRollOuts warns of a change of version for which no upstream can go out of use, and of an upstream that is
// drained in the same plan as its model changes version.
func (pla *Plan) warnOfRollOuts(modelOf map[string]string) {
	changing := make(map[string]bool)
	for _, chg := range pla.Changes {
		old, val := chg.Before.Model, chg.After.Model
		changing[chg.Key.Name] = old != nil && val != nil && old.Version != val.Version || changing[chg.Key.Name]
		left := pla.Replicas[chg.Key.Name]
		if val != nil && (old == nil || old.Version != val.Version) && left > 0 && left <= val.Replicas {
			pla.warn("model %s has %d replicas in use and %d are wanted: no upstream is free to load version %s",
				chg.Key.Name, left, val.Replicas, val.Version)
		}
	}
	for _, chg := range pla.Changes {
		if val := chg.After.Upstream; val != nil && val.Drained && changing[modelOf[chg.Key.Name]] {
			pla.warn("%s is drained while model %s changes version", chg.Key, modelOf[chg.Key.Name])
		}
	}
}

// countReplicas sets the number of replicas that the plan leaves a model, and warns if these are too few.
func (pla *Plan) countReplicas(
	model string, current map[state.Key]state.Object, after map[state.Key]state.Value, upstreams []Upstream,
) {
	left, before := 0, 0
	for _, ups := range upstreams {
		if ups.Model != model {
			continue
		}
		key := state.NewKey(state.KindUpstream, ups.Name)
		if old := current[key].Value.Upstream; old == nil || !old.Drained {
			before++
		}
		if val := after[key].Upstream; val == nil || !val.Drained {
			left++
		}
	}
	pla.Replicas[model] = left
	if left == 0 && before > 0 {
		pla.warn("the last replica of model %s would be drained", model)
	}
	if mod := after[state.NewKey(state.KindModel, model)].Model; mod != nil && left < mod.Replicas {
		pla.warn("model %s would have %d of %d replicas", model, left, mod.Replicas)
	}
}

func (pla *Plan) warn(format string, args ...any) {
	pla.Warnings = append(pla.Warnings, fmt.Sprintf(format, args...))
}

// computeID returns a hash of the plan's operations and of the versions from which it was made, so that an altered plan
// does not match its ID.
func (pla *Plan) computeID() string {
	raw, err := proto.Marshal([]any{pla.From, pla.Basis, pla.Operations})
	if err != nil {
		return ""
	}
	sum := sha256.Sum256(raw)
	return hex.EncodeToString(sum[:planIDBytes])
}

// ParsePlan parses a saved plan. It returns a trace.BadParameter error if the plan has been altered since it was made.
func ParsePlan(raw []byte) (Plan, error) {
	var pla Plan
	if err := json.Unmarshal(raw, &pla); err != nil {
		return Plan{}, trace.BadParameter("intent: malformed plan: %v", err)
	}
	if pla.ID == "" || pla.ID != pla.computeID() {
		return Plan{}, trace.BadParameter("intent: the plan's content does not match its ID %q", pla.ID)
	}
	con := pla.Confirm("check", 0) // The operator is a placeholder for the check.
	return pla, con.Check()
}

// Confirm returns the content of the log record that makes the plan take effect. The time at is in milliseconds since
// the epoch.
func (pla Plan) Confirm(operator string, at int64) state.Confirm {
	return state.Confirm{
		Plan: pla.ID, Operator: operator, At: at, From: pla.From, Basis: pla.Basis, Operations: pla.Operations,
	}
}

// Undo returns the operations that restore the values from before a plan. The error is trace.NotFound if the history
// has no such plan that took effect, and trace.CompareFailed if one of its objects was changed again since.
func Undo(sto *state.Store, plan string) ([]state.Operation, error) {
	res, ok := sto.Plan(plan)
	if !ok || res.Reason != "" {
		return nil, trace.NotFound("intent: the history has no plan %s that took effect", plan)
	}
	var list []state.Operation
	for _, chg := range res.Changes {
		obj := sto.Get(chg.Key)
		if obj.Version != res.Offset {
			return nil, trace.CompareFailed("intent: %s was changed again by %s with plan %s",
				chg.Key, obj.Operator, obj.Plan)
		}
		list = append(list, state.Operation{Key: chg.Key, Value: chg.Before})
	}
	return list, nil
}
