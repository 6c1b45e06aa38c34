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
	modelSeed    = 7 // replaced by ONCE_SEED
	modelAgents  = 3
	modelCallers = 12
	modelSends   = 120
	modelKeys    = 120
	modelFaults  = 200
	modelLimit   = 60 * time.Second
)

// operation is the input of the model: a sending of a key, or at the end the list of its executions.
type operation struct {
	key  string
	list bool
}

// observed is the output of the model.
type observed struct {
	sent
	executions []string // answers
}

// States of a key: not executed, executed with an answer that nobody has seen, or executed with the answer itself.
const (
	keyFresh = ""
	keyRan   = "?"
)

// undecided are refusals by an agent that cannot know what others have done with the key. They promise only that this
// sending did not run, which is checked by its identifier.
var undecided = map[string]bool{
	once.ReasonLogUnavailable: true, once.ReasonTimeout: true, agent.ReasonCancelled: true,
}

func stepKey(state, input, output any) []any {
	now, out := state.(string), output.(observed)
	if input.(operation).list {
		return stepList(now, out.executions)
	}
	switch {
	case out.outcome == proto.OutcomeUnknown && now == keyFresh:
		return []any{keyFresh, keyRan}
	case out.outcome == proto.OutcomeUnknown:
		return []any{now}
	case out.outcome == proto.OutcomeNotRun && (now == keyFresh || undecided[out.reason]):
		return []any{now}
	case out.outcome == proto.OutcomeDone && out.reason == once.ReasonAnswerLost:
		return []any{max(now, keyRan)}
	case out.outcome == proto.OutcomeDone && (now == keyFresh || now == keyRan || now == out.body):
		return []any{out.body}
	}
	return nil
}

func stepList(now string, executions []string) []any {
	switch {
	case len(executions) == 0 && now == keyFresh:
		return []any{now}
	case len(executions) == 1 && (now == keyRan || now == executions[0]):
		return []any{now}
	}
	return nil
}

func keyModel() porcupine.Model {
	mdl := porcupine.NondeterministicModel{
		Init: func() []any { return []any{keyFresh} },
		Step: stepKey,
		Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
			parts := make(map[string][]porcupine.Operation)
			for _, opn := range history {
				key := opn.Input.(operation).key
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

// history collects operations.
type history struct {
	start time.Time
	mu    sync.Mutex
	ops   []porcupine.Operation
}

func (his *history) now() int64 { return time.Since(his.start).Nanoseconds() }

func (his *history) add(client int, key string, call int64, out sent) {
	his.mu.Lock()
	defer his.mu.Unlock()
	his.ops = append(his.ops, porcupine.Operation{
		ClientId: client, Input: operation{key: key}, Call: call, Output: observed{sent: out}, Return: his.now(),
	})
}

// close adds the lists of executions. What has an unknown outcome may have taken effect at any time up to then.
func (his *history) close(executions []simsvc.Execution) {
	end := his.now()
	lists := make(map[string][]string)
	for _, exe := range executions {
		lists[exe.Key] = append(lists[exe.Key], fmt.Sprintf("execution %d", exe.Number))
	}
	seen := make(map[string]bool)
	for idx, opn := range his.ops {
		if opn.Output.(observed).outcome == proto.OutcomeUnknown {
			his.ops[idx].Return = end
		}
		key := opn.Input.(operation).key
		if !seen[key] {
			seen[key] = true
			his.ops = append(his.ops, porcupine.Operation{
				ClientId: modelCallers, Input: operation{key: key, list: true}, Call: end + 1,
				Output: observed{executions: lists[key]}, Return: end + 2,
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

// runHistory drives agents with callers that send the same keys again, under faults.
func runHistory(t *testing.T, private bool) (*history, []simsvc.Execution) {
	t.Helper()
	base := seed(t)
	rig := newRig(t, private)
	rig.svc.SetDelay(2 * time.Millisecond)
	nodes := make([]*node, modelAgents)
	for idx := range nodes {
		nodes[idx] = rig.node(fmt.Sprintf("agent-%d", idx))
	}
	his := &history{start: time.Now()}
	var callers, faults sync.WaitGroup
	stop := make(chan struct{})
	faults.Go(func() { injectFaults(rig, nodes, rand.New(rand.NewPCG(base, 0)), stop) })
	for clt := range modelCallers {
		callers.Go(func() {
			rnd := rand.New(rand.NewPCG(base, uint64(clt)+1))
			for num := range modelSends {
				// Keys move on with the run, so that each is sent many times within a short while.
				key := fmt.Sprintf("key-%d", num*(modelKeys-5)/modelSends+rnd.IntN(5))
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
	his.close(rig.svc.Executions())
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
			rig.log.LoseAnswers(1 + rnd.IntN(4))
		case 4:
			rig.log.SetDelay(time.Duration(rnd.IntN(1500)) * time.Millisecond)
		case 5:
			rig.svc.Inject(simsvc.FaultCrashBefore, simsvc.FaultNone, simsvc.FaultCrashAfter, simsvc.FaultLoseAnswer)
		default:
			nod := nodes[rnd.IntN(len(nodes))]
			nod.stop()
			nod.start()
		}
	}
}

// Guards against two executions of a key, a not-run for a sending that ran, and two answers for one key, when callers
// send the same keys through several agents while agents end, the log fails and the service crashes.
func TestHistoryIsAtMostOnce(t *testing.T) {
	his, executions := runHistory(t, false)
	outcomes := make(map[string]int)
	ran := make(map[string]bool)
	for _, exe := range executions {
		ran[exe.Send] = true
	}
	for _, opn := range his.ops {
		out := opn.Output.(observed)
		outcomes[string(out.outcome)+" "+out.reason]++
		if out.outcome == proto.OutcomeNotRun && ran[out.id] {
			t.Errorf("seed %d: sending %s was refused as not-run and ran", seed(t), out.id)
		}
	}
	t.Logf("seed %d: %d executions, outcomes %v", seed(t), len(executions), outcomes)
	if got := porcupine.CheckOperationsTimeout(keyModel(), his.ops, modelLimit); got != porcupine.Ok {
		t.Errorf("seed %d: history is %s; set ONCE_SEED to repeat", seed(t), got)
	}
}

// Guards against a checker that accepts everything: agents without a common log deduplicate in memory only.
func TestCheckerRejectsMemoryOnly(t *testing.T) {
	his, _ := runHistory(t, true)
	if got := porcupine.CheckOperationsTimeout(keyModel(), his.ops, modelLimit); got != porcupine.Illegal {
		t.Errorf("seed %d: history is %s, want Illegal", seed(t), got)
	}
}
