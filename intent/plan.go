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

const planBytes = 8

// Upstream is an upstream as the planning process sees it.
type Upstream struct {
	Name   string
	Serves string // model name
}

// Plan is what a declaration would change. It takes effect through a confirm only.
type Plan struct {
	Plan       string            `json:"plan"`
	From       int64             `json:"from-version"`
	Basis      []state.Basis     `json:"basis"`
	Operations []state.Operation `json:"operations"` // in the order in which they are listed to the operator
	Changes    []state.Change    `json:"changes"`
	Accounts   []string          `json:"accounts"`      // accounts affected
	Replicas   map[string]int    `json:"replicas-left"` // for each model affected: connected replicas not drained
	Warnings   []string          `json:"warnings"`
}

// New returns the plan that makes the declared operations true. Operations that change nothing are left out. It
// returns a trace.BadParameter error if a named model does not exist, or if nothing would change.
func New(sto *state.Store, declared []state.Operation, ups []Upstream) (Plan, error) {
	list, version := sto.List()
	now := make(map[state.Key]state.Object, len(list))
	for _, nam := range list {
		now[nam.Key] = nam.Object
	}
	pla := Plan{From: version, Accounts: []string{}, Replicas: map[string]int{}, Warnings: []string{}}
	after := make(map[state.Key]state.Value, len(now))
	for key, obj := range now {
		after[key] = obj.Value
	}
	for _, opr := range declared {
		if reflect.DeepEqual(now[opr.Key].Value, opr.Value) {
			continue
		}
		after[opr.Key] = opr.Value
		pla.Operations = append(pla.Operations, opr)
		pla.Changes = append(pla.Changes, state.Change{Key: opr.Key, Before: now[opr.Key].Value, After: opr.Value})
		pla.depend(sto, opr.Key)
	}
	if len(pla.Operations) == 0 {
		return Plan{}, trace.BadParameter("intent: nothing would change")
	}
	if err := pla.checkModels(sto, after); err != nil {
		return Plan{}, err
	}
	pla.assess(now, after, ups)
	pla.Plan = pla.identify()
	con := pla.Confirm("check", 0)
	if err := con.Check(); err != nil {
		return Plan{}, fmt.Errorf("intent: plan: %w", err)
	}
	return pla, nil
}

func (pla *Plan) depend(sto *state.Store, key state.Key) {
	known := func(bas state.Basis) bool { return bas.Key == key }
	if !slices.ContainsFunc(pla.Basis, known) {
		pla.Basis = append(pla.Basis, state.Basis{Key: key, Version: sto.Get(key).Version})
	}
}

// checkModels makes each model that an account names part of the plan's basis, so that a model removed at the same
// time makes the plan stale.
func (pla *Plan) checkModels(sto *state.Store, after map[state.Key]state.Value) error {
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
				pla.depend(sto, model)
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

// assess fills in whom the plan affects, and warnings.
func (pla *Plan) assess(now map[state.Key]state.Object, after map[state.Key]state.Value, ups []Upstream) {
	serves := make(map[string]string)
	for _, ups := range ups {
		serves[ups.Name] = ups.Serves
	}
	models := make(map[string]bool)
	for _, chg := range pla.Changes {
		switch chg.Key.Kind {
		case state.KindAccount:
			pla.Accounts = append(pla.Accounts, chg.Key.Name)
		case state.KindModel:
			models[chg.Key.Name] = true
		case state.KindUpstream:
			if serves[chg.Key.Name] == "" {
				pla.warn("upstream %s is not connected to this entry", chg.Key.Name)
				continue
			}
			models[serves[chg.Key.Name]] = true
		}
	}
	for model := range models {
		pla.countReplicas(model, now, after, ups)
	}
	for key, val := range after {
		if val.Account == nil || slices.Contains(pla.Accounts, key.Name) {
			continue
		}
		if slices.ContainsFunc(val.Account.Models, func(name string) bool { return models[name] }) {
			pla.Accounts = append(pla.Accounts, key.Name)
		}
	}
	pla.assessStops(after, ups)
	pla.assessRollOut(serves)
	slices.Sort(pla.Accounts)
	slices.Sort(pla.Warnings)
}

// assessStops warns if all planned stops together leave a model fewer replicas than are wanted. Stops count together
// whatever their times, because a declaration does not say how long they last.
func (pla *Plan) assessStops(after map[state.Key]state.Value, ups []Upstream) {
	planned := func(chg state.Change) bool { return chg.Key.Kind == state.KindStop }
	if !slices.ContainsFunc(pla.Changes, planned) {
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
	for _, ups := range ups {
		val := after[state.NewKey(state.KindUpstream, ups.Name)].Upstream
		if !stopped[ups.Name] && (val == nil || !val.Drained) {
			left[ups.Serves]++
		}
	}
	for key, val := range after {
		if val.Model != nil && left[key.Name] < val.Model.Replicas {
			pla.warn("all planned stops together leave model %s %d of %d replicas",
				key.Name, left[key.Name], val.Model.Replicas)
		}
	}
}

// assessRollOut warns of an upstream that is drained in the same plan as its model changes version.
func (pla *Plan) assessRollOut(serves map[string]string) {
	changing := make(map[string]bool)
	for _, chg := range pla.Changes {
		old, val := chg.Before.Model, chg.After.Model
		changing[chg.Key.Name] = old != nil && val != nil && old.Version != val.Version || changing[chg.Key.Name]
		left := pla.Replicas[chg.Key.Name]
		if val != nil && (old == nil || old.Version != val.Version) && left > 0 && left <= val.Replicas {
			pla.warn("model %s has %d replicas in use and %d are wanted: no upstream can be taken to version %s",
				chg.Key.Name, left, val.Replicas, val.Version)
		}
	}
	for _, chg := range pla.Changes {
		if val := chg.After.Upstream; val != nil && val.Drained && changing[serves[chg.Key.Name]] {
			pla.warn("%s is drained while model %s changes version", chg.Key, serves[chg.Key.Name])
		}
	}
}

func (pla *Plan) countReplicas(
	model string, now map[state.Key]state.Object, after map[state.Key]state.Value, ups []Upstream,
) {
	left, before := 0, 0
	for _, ups := range ups {
		if ups.Serves != model {
			continue
		}
		key := state.NewKey(state.KindUpstream, ups.Name)
		if old := now[key].Value.Upstream; old == nil || !old.Drained {
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

// identify derives the plan's ID from what it does and from which versions, so that the ID names exactly this plan.
func (pla *Plan) identify() string {
	raw, err := proto.Marshal([]any{pla.From, pla.Basis, pla.Operations})
	if err != nil {
		return ""
	}
	sum := sha256.Sum256(raw)
	return hex.EncodeToString(sum[:planBytes])
}

// ParsePlan reads a saved plan. It returns a trace.BadParameter error if the plan was changed since it was made.
func ParsePlan(raw []byte) (Plan, error) {
	var pla Plan
	if err := json.Unmarshal(raw, &pla); err != nil {
		return Plan{}, trace.BadParameter("intent: malformed plan: %v", err)
	}
	if pla.Plan == "" || pla.Plan != pla.identify() {
		return Plan{}, trace.BadParameter("intent: the plan's content does not match its ID %q", pla.Plan)
	}
	con := pla.Confirm("check", 0)
	return pla, con.Check()
}

// Confirm returns the record content that puts the plan in force. The time is in milliseconds since the epoch.
func (pla Plan) Confirm(operator string, at int64) state.Confirm {
	return state.Confirm{
		Plan: pla.Plan, Operator: operator, At: at, From: pla.From, Basis: pla.Basis, Operations: pla.Operations,
	}
}

// Undo returns the operations that restore the values from before a plan.
func Undo(sto *state.Store, plan string) ([]state.Operation, error) {
	past, ok := sto.Plan(plan)
	if !ok || past.Reason != "" {
		return nil, trace.NotFound("intent: the history has no plan %s that took effect", plan)
	}
	var list []state.Operation
	for _, chg := range past.Changes {
		obj := sto.Get(chg.Key)
		if obj.Version != past.Offset {
			return nil, trace.CompareFailed("intent: %s was changed since by %s with plan %s",
				chg.Key, obj.Operator, obj.Plan)
		}
		list = append(list, state.Operation{Key: chg.Key, Value: chg.Before})
	}
	return list, nil
}
