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

// rollout is a roll-out of model m over upstreams u0 to u4.
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
	rol.RollOuts = rol.holder(rol.opts, parallel)
	key := state.NewKey(state.KindModel, "m")
	rol.put(state.Entry{Confirm: &state.Confirm{
		Plan: "p", Operator: "ops", Basis: []state.Basis{{Key: key}},
		Operations: []state.Operation{{Key: key, Value: state.Value{
			Model: &state.Model{Version: "v2", Replicas: replicas},
		}}},
	}})
	return rol
}

func (rol *rollout) holder(opts duty.Options, parallel int) *duty.RollOuts {
	return duty.NewRollOuts(opts, parallel, func() (list []duty.Upstream) {
		for idx := range 5 {
			list = append(list, duty.Upstream{Name: fmt.Sprintf("u%d", idx), Model: "m", Version: "v1"})
		}
		return list
	}, logr.Discard(), metric.New())
}

func (rol *rollout) put(ent state.Entry) {
	rol.t.Helper()
	ent.ID = "id"
	raw, err := ent.Encode()
	if err != nil {
		rol.t.Fatal(err)
	}
	_ = rol.str.append(context.Background(), raw)
}

// check lets a process see the last claim, and act when its lease has passed. It returns the progress.
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

func (rol *rollout) end(reason string, names ...string) {
	for _, name := range names {
		pla, _ := rol.opts.Store.Placement(name)
		rol.put(state.Entry{StepEnd: &state.StepEnd{Upstream: name, Step: pla.Step, Reason: reason}})
	}
}

// Guards against a roll-out that takes more replicas out of use than it may, does not begin with one, or is not
// finished by another process after its holder has died at any step.
func TestRollOutTakesStepsAndIsTakenOver(t *testing.T) {
	is := is.New(t)
	rol := startRollout(t, 3, 4)
	two := rol.opts
	two.Process = "two"
	other := rol.holder(two, 4)
	is.Equal(rol.check(rol.RollOuts).Loading, []string{"u0"})
	is.Equal(rol.check(other).Wait, duty.WaitLoading) // The first one is not proven.
	rol.end("", "u0")
	is.Equal(rol.check(other).Loading, []string{"u1", "u2"}) // Three of five stay in use.
	rol.end("", "u1", "u2")
	is.Equal(rol.check(rol.RollOuts).Loading, []string{"u3", "u4"})
	rol.end("", "u3", "u4")
	prg := rol.check(other)
	is.Equal(prg.Done, 5)
	records := len(rol.str.recs)
	rol.check(other)
	is.Equal(len(rol.str.recs), records) // A finished roll-out claims nothing.
}

// Guards against a bad version that spreads over the fleet.
func TestRollOutPausesAfterFailure(t *testing.T) {
	is := is.New(t)
	rol := startRollout(t, 0, 2)
	rol.check(rol.RollOuts)
	rol.end("load-failed", "u0")
	prg := rol.check(rol.RollOuts)
	is.Equal(prg.Wait, duty.WaitFailed)
	is.Equal(prg.Failed, []string{"u0: load-failed"})
	is.Equal(len(prg.Loading), 0)
}

// Guards against capacity that falls below the wanted replicas without anyone being told.
func TestRollOutWaitsForHeadroom(t *testing.T) {
	is := is.New(t)
	rol := startRollout(t, 5, 2)
	prg := rol.check(rol.RollOuts)
	is.Equal(prg.Wait, duty.WaitNoHeadroom)
	is.Equal(len(prg.Loading), 0)
}
