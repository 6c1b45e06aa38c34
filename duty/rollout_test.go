package duty_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/matryer/is"

	"github.com/tarragonwheel/tarragonwheel/duty"
	"github.com/tarragonwheel/tarragonwheel/metric"
	"github.com/tarragonwheel/tarragonwheel/state"
	"github.com/tarragonwheel/tarragonwheel/timer"
)

// rollout is a roll-out of version v2 of model m to the upstreams u0 to u4, which serve v1.
type rollout struct {
	*duty.RollOuts
	t    *testing.T
	str  *stream
	opts duty.Options
	time *timer.Manual
}

func startRollout(t *testing.T, replicas, parallel int) *rollout {
	t.Helper()
	str, _, man, options := start()
	rol := &rollout{t: t, str: str, opts: options("one"), time: man}
	rol.RollOuts = rol.newRollOuts(rol.opts, parallel)
	key := state.NewKey(state.KindModel, "m")
	rol.append(state.Entry{Confirm: &state.Confirm{
		Plan: "p", Operator: "ops", Basis: []state.Basis{{Key: key}},
		Operations: []state.Operation{{Key: key, Value: state.Value{
			Model: &state.Model{Version: "v2", Replicas: replicas},
		}}},
	}})
	return rol
}

// newRollOuts returns the RollOuts of a process over the upstreams u0 to u4.
func (rol *rollout) newRollOuts(opts duty.Options, parallel int) *duty.RollOuts {
	return duty.NewRollOuts(opts, parallel, func() (list []duty.Upstream) {
		for idx := range 5 {
			list = append(list, duty.Upstream{Name: fmt.Sprintf("u%d", idx), Model: "m", Version: "v1"})
		}
		return list
	}, logr.Discard(), metric.New())
}

// append appends a record to the log.
func (rol *rollout) append(ent state.Entry) {
	rol.t.Helper()
	ent.ID = "id"
	raw, err := ent.Encode()
	if err != nil {
		rol.t.Fatal(err)
	}
	_ = rol.str.append(context.Background(), raw)
}

// check lets a process observe the last claim, and take a step once that claim's lease has expired. It returns the
// progress.
func (rol *rollout) check(of *duty.RollOuts) duty.Progress {
	rol.t.Helper()
	for range 2 {
		if err := of.Check(context.Background()); err != nil {
			rol.t.Fatal(err)
		}
		rol.time.Advance(time.Minute)
	}
	return of.Progress()[0]
}

// endStep records that upstreams have loaded the version of their step, or the reason why they could not.
func (rol *rollout) endStep(reason string, names ...string) {
	for _, name := range names {
		pla, _ := rol.opts.Store.Placement(name)
		rol.append(state.Entry{StepEnd: &state.StepEnd{Upstream: name, Step: pla.Step, Reason: reason}})
	}
}

// Guards against a roll-out that takes more replicas out of use than allowed, does not begin with a single one, or is
// not continued by another process after the holder of the duty has stopped at any step.
func TestRollOutProceedsInStepsAcrossHolders(t *testing.T) {
	is := is.New(t)
	rol := startRollout(t, 3, 4)
	two := rol.opts
	two.Process = "two"
	other := rol.newRollOuts(two, 4)
	is.Equal(rol.check(rol.RollOuts).Loading, []string{"u0"})
	is.Equal(rol.check(other).Wait, duty.WaitLoading) // The version is not proven yet.
	rol.endStep("", "u0")
	is.Equal(rol.check(other).Loading, []string{"u1", "u2"}) // Three of five replicas stay in use.
	rol.endStep("", "u1", "u2")
	is.Equal(rol.check(rol.RollOuts).Loading, []string{"u3", "u4"})
	rol.endStep("", "u3", "u4")
	prg := rol.check(other)
	is.Equal(prg.Done, 5)
	records := len(rol.str.recs)
	rol.check(other)
	is.Equal(len(rol.str.recs), records) // A finished roll-out writes no claim.
}

// Guards against rolling out a version further after an upstream failed to load it.
func TestRollOutPausesAfterFailure(t *testing.T) {
	is := is.New(t)
	rol := startRollout(t, 0, 2)
	rol.check(rol.RollOuts)
	rol.endStep("load-failed", "u0")
	prg := rol.check(rol.RollOuts)
	is.Equal(prg.Wait, duty.WaitFailed)
	is.Equal(prg.Failed, []string{"u0: load-failed"})
	is.Equal(len(prg.Loading), 0)
}

// Guards against a roll-out that leaves fewer replicas than are wanted, or that waits without giving the reason.
func TestRollOutWaitsForHeadroom(t *testing.T) {
	is := is.New(t)
	rol := startRollout(t, 5, 2)
	prg := rol.check(rol.RollOuts)
	is.Equal(prg.Wait, duty.WaitNoHeadroom)
	is.Equal(len(prg.Loading), 0)
}
