package agent_test

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"

	"github.com/tarragonwheel/tarragonwheel/agent"
	"github.com/tarragonwheel/tarragonwheel/once"
	"github.com/tarragonwheel/tarragonwheel/proto"
	"github.com/tarragonwheel/tarragonwheel/simsvc"
)

const (
	modelSeed      = 7 // used unless the environment sets ONCE_SEED
	modelAgents    = 3
	modelCallers   = 12
	sendsPerCaller = 120
	modelKeys      = 120
	modelFaults    = 200
	checkTimeout   = 60 * time.Second
)

// modelInput is the input of the porcupine model of a key: an attempt to send its call, or the final listing of its
// executions.
type modelInput struct {
	key  string
	list bool
}

// modelOutput is the output of the model: the result of an attempt, or the listed executions.
type modelOutput struct {
	sendResult
	executions []string // answers
}

// States of a key: not executed, or executed with an answer that no caller has seen yet. Any other state is the answer
// that a caller has seen.
const (
	keyNotRun    = ""
	keyRanUnseen = "?"
)

// keyStateUnknown has the reasons of refusals by an agent that does not know the state of the key. Such a refusal means
// only that this attempt did not run, which is checked by its ID.
var keyStateUnknown = map[string]bool{
	once.ReasonLogUnavailable: true, once.ReasonTimeout: true, agent.ReasonCancelled: true,
}

// step returns the states that are possible after an operation, or none if its output is impossible in the given state.
func step(state, input, output any) []any {
	now, out := state.(string), output.(modelOutput)
	if input.(modelInput).list {
		return checkExecutions(now, out.executions)
	}
	switch {
	case out.outcome == proto.OutcomeUnknown && now == keyNotRun:
		return []any{keyNotRun, keyRanUnseen}
	case out.outcome == proto.OutcomeUnknown:
		return []any{now}
	case out.outcome == proto.OutcomeNotRun && (now == keyNotRun || keyStateUnknown[out.reason]):
		return []any{now}
	case out.outcome == proto.OutcomeDone && out.reason == once.ReasonAnswerLost:
		return []any{max(now, keyRanUnseen)}
	case out.outcome == proto.OutcomeDone && (now == keyNotRun || now == keyRanUnseen || now == out.body):
		return []any{out.body}
	}
	return nil
}

// checkExecutions is step for the listing of a key's executions.
func checkExecutions(now string, executions []string) []any {
	switch {
	case len(executions) == 0 && now == keyNotRun:
		return []any{now}
	case len(executions) == 1 && (now == keyRanUnseen || now == executions[0]):
		return []any{now}
	}
	return nil
}

// keyModel returns a model that is checked for each key separately.
func keyModel() porcupine.Model {
	mdl := porcupine.NondeterministicModel{
		Init: func() []any { return []any{keyNotRun} },
		Step: step,
		Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
			parts := make(map[string][]porcupine.Operation)
			for _, opn := range history {
				key := opn.Input.(modelInput).key
				parts[key] = append(parts[key], opn)
			}
			out := make([][]porcupine.Operation, 0, len(parts))
			for _, part := range parts {
				out = append(out, part)
			}
			return out
		},
	}
	return mdl.ToModel()
}

// history records operations with their start and end times.
type history struct {
	start time.Time
	mu    sync.Mutex
	ops   []porcupine.Operation
}

func (his *history) now() int64 { return time.Since(his.start).Nanoseconds() }

func (his *history) add(client int, key string, call int64, out sendResult) {
	his.mu.Lock()
	defer his.mu.Unlock()
	his.ops = append(his.ops, porcupine.Operation{
		ClientId: client, Input: modelInput{key: key}, Output: modelOutput{sendResult: out}, Call: call,
		Return: his.now(),
	})
}

// addExecutions appends a listing of the executions of each key. An attempt with an unknown outcome may have run at any
// time up to then.
func (his *history) addExecutions(executions []simsvc.Execution) {
	end := his.now()
	lists := make(map[string][]string)
	for _, exe := range executions {
		lists[exe.Key] = append(lists[exe.Key], fmt.Sprintf("execution %d", exe.Number))
	}
	seen := make(map[string]bool)
	for idx, opn := range his.ops {
		if opn.Output.(modelOutput).outcome == proto.OutcomeUnknown {
			his.ops[idx].Return = end
		}
		key := opn.Input.(modelInput).key
		if !seen[key] {
			seen[key] = true
			his.ops = append(his.ops, porcupine.Operation{
				ClientId: modelCallers, Input: modelInput{key: key, list: true}, Call: end + 1,
				Output: modelOutput{executions: lists[key]}, Return: end + 2,
			})
		}
	}
}

func seed(t *testing.T) uint64 {
	t.Helper()
	val, err := strconv.ParseUint(os.Getenv("ONCE_SEED"), 10, 64)
	if err != nil {
		return modelSeed
	}
	return val
}

// runHistory sends calls with repeated keys from several callers through several agents, under faults.
func runHistory(t *testing.T, separateLogs bool) (*history, []simsvc.Execution) {
	t.Helper()
	base := seed(t)
	rig := newRig(t, separateLogs)
	rig.svc.SetDelay(2 * time.Millisecond)
	nodes := make([]*node, modelAgents)
	for idx := range nodes {
		nodes[idx] = rig.startNode(fmt.Sprintf("agent-%d", idx))
	}
	his := &history{start: time.Now()}
	var callers, faults sync.WaitGroup
	stop := make(chan struct{})
	faults.Go(func() { injectFaults(rig, nodes, rand.New(rand.NewPCG(base, 0)), stop) })
	for clt := range modelCallers {
		callers.Go(func() {
			rnd := rand.New(rand.NewPCG(base, uint64(clt)+1))
			for num := range sendsPerCaller {
				// The range of keys moves during the run, so that each key is sent many times within a short period.
				key := fmt.Sprintf("key-%d", num*(modelKeys-5)/sendsPerCaller+rnd.IntN(5))
				con := nodes[rnd.IntN(len(nodes))].conn()
				call := his.now()
				his.add(clt, key, call, rig.send(con, key, key, time.Second))
				time.Sleep(time.Duration(rnd.IntN(20)) * time.Millisecond)
			}
		})
	}
	callers.Wait()
	close(stop)
	faults.Wait()
	for _, nod := range nodes {
		_ = nod.grp.Stop()
	}
	rig.svcServer.Close() // Waits for the calls that are still running.
	his.addExecutions(rig.svc.Executions())
	return his, rig.svc.Executions()
}

func injectFaults(rig *rig, nodes []*node, rnd *rand.Rand, stop chan struct{}) {
	defer rig.log.SetDown(false)
	for range modelFaults {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(10+rnd.IntN(40)) * time.Millisecond):
		}
		switch rnd.IntN(8) {
		case 0:
			rig.log.SetDown(true)
		case 1, 2:
			rig.log.SetDown(false)
			rig.log.SetDelay(0)
		case 3:
			rig.log.LoseResponses(1 + rnd.IntN(4))
		case 4:
			rig.log.SetDelay(time.Duration(rnd.IntN(1500)) * time.Millisecond)
		case 5:
			rig.svc.Inject(
				simsvc.FaultCrashBefore, simsvc.FaultNone, simsvc.FaultCrashAfter, simsvc.FaultTruncateResponse,
			)
		default:
			nod := nodes[rnd.IntN(len(nodes))]
			nod.stop()
			nod.start()
		}
	}
}

// Guards against two executions of a key, the outcome not-run for an attempt that ran, and two answers for one key,
// when callers send the same keys through several agents while agents are lost, the log fails and the service crashes.
func TestHistoryIsAtMostOnce(t *testing.T) {
	his, executions := runHistory(t, false)
	outcomes := make(map[string]int)
	ran := make(map[string]bool)
	for _, exe := range executions {
		ran[exe.Send] = true
	}
	for _, opn := range his.ops {
		out := opn.Output.(modelOutput)
		outcomes[string(out.outcome)+" "+out.reason]++
		if out.outcome == proto.OutcomeNotRun && ran[out.id] {
			t.Errorf("seed %d: attempt %s has the outcome not-run but ran", seed(t), out.id)
		}
	}
	t.Logf("seed %d: %d executions, outcomes %v", seed(t), len(executions), outcomes)
	if got := porcupine.CheckOperationsTimeout(keyModel(), his.ops, checkTimeout); got != porcupine.Ok {
		t.Errorf("seed %d: history is %s; set ONCE_SEED to repeat", seed(t), got)
	}
}

// Guards against a checker that accepts everything. Agents with separate logs deduplicate only in memory, which the
// checker must reject.
func TestCheckerRejectsSeparateLogs(t *testing.T) {
	his, _ := runHistory(t, true)
	if got := porcupine.CheckOperationsTimeout(keyModel(), his.ops, checkTimeout); got != porcupine.Illegal {
		t.Errorf("seed %d: history is %s, want Illegal", seed(t), got)
	}
}
