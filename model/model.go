// Package model simulates many fronts that place calls on one fleet, each with its own view of the load, which is late.
//
// It uses the packages that fronts use for their view and for placement, a manual clock and a simple engine, and no
// network. It shows how the error of predictions and the waits grow with the number of fronts and the age of the view.
package model

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/go-logr/logr"

	"github.com/tarragonwheel/tarragonwheel/cost"
	"github.com/tarragonwheel/tarragonwheel/fleet"
	"github.com/tarragonwheel/tarragonwheel/place"
	"github.com/tarragonwheel/tarragonwheel/timer"
)

const (
	service    = "model"
	dataCentre = "a"
	tick       = 2 * time.Millisecond // step of the simulated engines
)

// Phase is a time of constant load.
type Phase struct {
	Duration   time.Duration
	ShortPerS  float64 // calls with a short prompt that arrive per second
	LongPerS   float64 // calls with a long prompt
	LongTokens int     // length of a long prompt
}

// Options configure a simulation.
type Options struct {
	Seed      uint64
	Fronts    int
	Replicas  int
	ViewDelay time.Duration // until a front learns of a change at another one
	Engine    cost.Engine
	Phases    []Phase
}

// Calls of the model.
const (
	shortTokens        = 4000
	shortLatencyTarget = 300 * time.Millisecond
	longLatencyTarget  = 4 * time.Second
	outputTokens       = 1600
	gapTarget          = 300 * time.Millisecond
	longGapTarget      = 1200 * time.Millisecond
	callTimeLimit      = 15 * time.Second
)

// fleetStart is the time of day at which simulations start. Any would do.
var fleetStart = time.Unix(1_700_000_000, 0)

// front is one front with its own view.
type front struct {
	name string
	flt  *fleet.Fleet
}

// modelCall is a call in flight.
type modelCall struct {
	long      bool
	tokens    int
	arrived   time.Time
	predicted time.Duration // time to the first event
	waiting   int           // prefills that have not ended
	primary   *engine
	tasks     []*fleet.LocalTask
}

// simulation is the state of a run.
type simulation struct {
	opts    Options
	clock   *timer.Service
	manual  *timer.Manual
	rnd     *rand.Rand
	fronts  []*front
	engines map[string]*engine // by replica ID
	result  Result
}

// Run simulates all phases.
func Run(opts Options) Result {
	sim := &simulation{opts: opts, rnd: rand.New(rand.NewPCG(opts.Seed, 0)), engines: make(map[string]*engine)}
	sim.clock, sim.manual = timer.NewManual(fleetStart)
	for num := range opts.Fronts {
		frt := &front{name: fmt.Sprint("f-", num), flt: fleet.New(sim.clock, logr.Discard(), nil)}
		for idx := range opts.Replicas {
			id := fmt.Sprint("i-", idx)
			frt.flt.UpdateRegistration(fleet.Registration{
				ID: id, Service: service, Address: id, DataCentre: dataCentre, Slots: opts.Engine.Slots, Sequence: 1,
			})
			sim.engines[id] = &engine{spec: &sim.opts.Engine}
		}
		sim.fronts = append(sim.fronts, frt)
	}
	for _, phs := range opts.Phases {
		sim.runPhase(phs)
	}
	return sim.result
}

func (sim *simulation) runPhase(phs Phase) {
	end := sim.clock.Now().Add(phs.Duration)
	for sim.clock.Now().Before(end) {
		for range sim.arrivals(phs.ShortPerS) {
			sim.arrive(&modelCall{tokens: shortTokens})
		}
		for range sim.arrivals(phs.LongPerS) {
			sim.arrive(&modelCall{tokens: phs.LongTokens/2 + sim.rnd.IntN(phs.LongTokens), long: true})
		}
		for _, eng := range sim.engines {
			eng.advance(tick, sim.endPrefill)
		}
		sim.manual.Advance(tick)
	}
}

// arrivals returns the number of calls that arrive within a tick.
func (sim *simulation) arrivals(perS float64) int {
	mean := perS * tick.Seconds()
	num := int(mean)
	if sim.rnd.Float64() < mean-float64(num) {
		num++
	}
	return num
}

// arrive places a call from a random front.
func (sim *simulation) arrive(cal *modelCall) {
	frt := sim.fronts[sim.rnd.IntN(len(sim.fronts))]
	cal.arrived = sim.clock.Now()
	set := frt.flt.ReplicaSet(service)
	plc, ok := place.OnEngine(sim.request(cal), &sim.opts.Engine, set.Views(), set.PrefillLoads())
	if !ok || plc.CausesOverload() {
		sim.result.add(cal, outcome{refused: true})
		return
	}
	cal.predicted = plc.FirstEvent
	cal.primary = sim.engines[plc.Primary.ID]
	task := fleet.Task{
		KVTokens: cal.tokens + outputTokens, PrefillTime: plc.PrefillTime, Value: plc.Value,
		GapTarget: cal.gapTarget(), DueAt: cal.arrived.Add(cal.latencyTarget()),
		ExpectedAt: cal.arrived.Add(plc.FirstEvent), SplitPrompt: len(plc.Helpers) > 0,
	}
	sim.start(frt, cal, plc.Primary, task)
	for _, hlp := range plc.Helpers {
		part := task
		part.IsPart, part.KVTokens, part.Value = true, hlp.ReserveTokens, task.Value*place.PartValueShare
		sim.start(frt, cal, hlp.View, part)
	}
}

func (sim *simulation) request(cal *modelCall) place.Request {
	return place.Request{
		Now: sim.clock.Now(), PromptTokens: cal.tokens, OutputTokens: outputTokens, LatencyTarget: cal.latencyTarget(),
		GapTarget: cal.gapTarget(), TimeLeft: callTimeLimit, DataCentre: dataCentre, Jitter: sim.rnd.Float64,
	}
}

func (cal *modelCall) latencyTarget() time.Duration {
	if cal.long {
		return longLatencyTarget
	}
	return shortLatencyTarget
}

func (cal *modelCall) gapTarget() time.Duration {
	if cal.long {
		return longGapTarget
	}
	return gapTarget
}

// start starts a task at a replica. The other fronts learn of it later.
func (sim *simulation) start(frt *front, cal *modelCall, vie fleet.View, tsk fleet.Task) {
	cal.waiting++
	sim.engines[vie.ID].add(&prefill{left: tsk.PrefillTime, call: cal, part: tsk.SplitPrompt})
	cal.tasks = append(cal.tasks, vie.Replica.StartTask(tsk, func(chg fleet.TaskChange) { sim.tell(frt, chg) }))
}

// tell sends a change to the other fronts, which get it after the delay of their view.
func (sim *simulation) tell(from *front, chg fleet.TaskChange) {
	rem := fleet.RemoteTask{Replica: chg.Replica, Cell: chg.Cell, Task: chg.Task, Ended: chg.Ended}
	sim.clock.After(sim.opts.ViewDelay, func() {
		for _, frt := range sim.fronts {
			if frt != from {
				frt.flt.ApplyRemoteTasks(from.name, []fleet.RemoteTask{rem})
			}
		}
	})
}

// endPrefill records the end of a prefill. With the last one, the call begins to decode.
func (sim *simulation) endPrefill(pre *prefill) {
	cal := pre.call
	if cal.waiting--; cal.waiting > 0 {
		return
	}
	eng := cal.primary
	first := eng.iterationTime(cal.tokens)
	sim.result.add(cal, outcome{firstEvent: sim.clock.Since(cal.arrived) + first})
	eng.streams++
	eng.tokens += cal.tokens
	cal.tasks[0].MarkDecoding()
	for _, tsk := range cal.tasks[1:] {
		tsk.End()
	}
	iterations := outputTokens / max(eng.spec.StepsPerIteration, 1)
	sim.clock.After(first*time.Duration(iterations), func() {
		eng.streams--
		eng.tokens -= cal.tokens
		cal.tasks[0].End()
	})
}
