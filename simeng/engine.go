// Package simeng is a small stand-in for a model engine, for tests, the demo and measurements.
//
// It batches continuously: each step prefills one chunk of the waiting request with the lowest priority number and
// decodes one token of each running request. A step takes a fixed time, plus the chunk's prefill time, plus a time for
// each running request.
package simeng

import (
	"context"
	"fmt"
	"sort"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"github.com/tarragonwheel/tarragonwheel/group"
	"github.com/tarragonwheel/tarragonwheel/timer"
)

// Model is the cost model of an engine.
type Model struct {
	Name        string
	TotalTokens int           // KV memory
	PrefillRate float64       // tokens a second
	ChunkTokens int           // most tokens prefilled in a step
	StepBase    time.Duration // time of a step with nothing to do for any request
	StepPerSeq  time.Duration // additional time for each running request
	MaxRunning  int

	// TransferPerToken is the time to import what attention needs of one token that another engine holds.
	TransferPerToken time.Duration
	// StepPerPeer is the additional time of a decoding step for each other engine that holds a part of the prompt.
	StepPerPeer time.Duration
}

// DefaultModel returns a model of about today's accelerators, as the deployments see them.
func DefaultModel(name string) Model {
	return Model{
		Name:        name,
		TotalTokens: 480_000,
		PrefillRate: 40_000,
		ChunkTokens: 4_096,
		StepBase:    8 * time.Millisecond,
		StepPerSeq:  100 * time.Microsecond,
		MaxRunning:  64,

		TransferPerToken: 2 * time.Microsecond,
		StepPerPeer:      2 * time.Millisecond,
	}
}

// sequence is a request in the engine.
type sequence struct {
	id        string
	priority  int64
	arrived   int64
	prompt    int
	output    int
	prefilled int
	decoded   int
	admitted  bool // memory is held
	cancelled bool
	crashed   bool
	abandoned bool     // its client has gone; it makes no progress and keeps its memory until it is cancelled
	tokens    chan int // index of each decoded token; closed at the end

	from    int           // prompt tokens that other engines hold
	peers   int           // number of those engines
	segment bool          // it is held after prefill instead of decoded
	held    chan struct{} // closed when a segment is held
}

func (seq *sequence) memory() int { return seq.prompt + seq.output }

// Engine is the stand-in's batch.
type Engine struct {
	model   Model
	clock   *timer.Service
	mu      sync.Mutex
	seqs    map[string]*sequence
	used    int
	arrival int64
	wake    chan struct{}
	faults  faults

	commands commands
}

// New returns an Engine that runs until grp stops.
func New(grp *group.Group, mdl Model, clk *timer.Service) *Engine {
	eng := &Engine{model: mdl, clock: clk, seqs: make(map[string]*sequence), wake: make(chan struct{}, 1)}
	grp.Go("steps", func(ctx context.Context) error {
		for ctx.Err() == nil {
			eng.runStep(ctx)
		}
		return nil
	})
	return eng
}

func (eng *Engine) runStep(ctx context.Context) {
	dur := eng.step()
	if eng.stalled() {
		_ = eng.clock.Sleep(ctx, stallCheck)
		return
	}
	if dur == 0 {
		select {
		case <-eng.wake:
		case <-ctx.Done():
		}
		return
	}
	_ = eng.clock.Sleep(ctx, dur)
	eng.finishStep()
}

// add queues a request. It returns a trace.BadParameter error if it can never fit.
func (eng *Engine) add(seq *sequence) error {
	if seq.memory() > eng.model.TotalTokens {
		return trace.BadParameter("simeng: %d tokens exceed the engine's memory of %d",
			seq.memory(), eng.model.TotalTokens)
	}
	eng.mu.Lock()
	defer eng.mu.Unlock()
	if _, taken := eng.seqs[seq.id]; taken {
		return trace.AlreadyExists("simeng: request %s exists", seq.id)
	}
	eng.arrival++
	seq.arrived = eng.arrival
	seq.tokens = make(chan int, seq.output)
	eng.seqs[seq.id] = seq
	select {
	case eng.wake <- struct{}{}:
	default:
	}
	return nil
}

// cancel removes a request and frees its memory.
func (eng *Engine) cancel(id string) error {
	eng.mu.Lock()
	defer eng.mu.Unlock()
	seq, ok := eng.seqs[id]
	if !ok {
		return trace.NotFound("simeng: no request %s", id)
	}
	seq.cancelled = true
	eng.remove(seq)
	return nil
}

func (eng *Engine) remove(seq *sequence) {
	if seq.admitted {
		eng.used -= seq.memory()
	}
	delete(eng.seqs, seq.id)
	close(seq.tokens)
}

// step plans a step and returns its duration, or 0 if there is nothing to do.
func (eng *Engine) step() time.Duration {
	eng.mu.Lock()
	defer eng.mu.Unlock()
	if eng.faults.Stall {
		return 0
	}
	eng.admit()
	dur := time.Duration(0)
	if seq := eng.nextPrefill(); seq != nil {
		num := min(eng.model.ChunkTokens, seq.prompt-seq.prefilled)
		seq.prefilled += num
		dur += time.Duration(float64(num) / eng.model.PrefillRate * float64(time.Second))
	}
	for _, seq := range eng.seqs {
		if seq.admitted && seq.prefilled == seq.prompt && !seq.segment {
			dur += eng.model.StepPerSeq + time.Duration(seq.peers)*eng.model.StepPerPeer
		}
	}
	if dur == 0 {
		return 0
	}
	return dur + eng.model.StepBase
}

// admit gives memory to waiting requests in order of priority. It stops at the first that does not fit.
func (eng *Engine) admit() {
	running := 0
	var waiting []*sequence
	for _, seq := range eng.seqs {
		if seq.admitted {
			running++
		} else {
			waiting = append(waiting, seq)
		}
	}
	sort.Slice(waiting, func(i, j int) bool { return before(waiting[i], waiting[j]) })
	for _, seq := range waiting {
		if running >= eng.model.MaxRunning || eng.used+seq.memory() > eng.model.TotalTokens {
			return
		}
		seq.admitted = true
		eng.used += seq.memory()
		running++
	}
}

func before(one, two *sequence) bool {
	if one.priority != two.priority {
		return one.priority < two.priority
	}
	return one.arrived < two.arrived
}

func (eng *Engine) nextPrefill() *sequence {
	var best *sequence
	for _, seq := range eng.seqs {
		if !seq.admitted || seq.abandoned || seq.prefilled == seq.prompt {
			continue
		}
		if best == nil || before(seq, best) {
			best = seq
		}
	}
	return best
}

// finishStep hands out the tokens of the step that has passed.
func (eng *Engine) finishStep() {
	eng.mu.Lock()
	defer eng.mu.Unlock()
	for _, seq := range eng.seqs {
		if !seq.admitted || seq.abandoned || seq.prefilled < seq.prompt {
			continue
		}
		if seq.segment {
			seq.holdOnce()
			continue
		}
		seq.tokens <- seq.decoded // Never blocks: the channel holds the whole output.
		seq.decoded++
		if seq.decoded >= seq.output {
			eng.remove(seq)
		}
	}
}

func (eng *Engine) activeIDs() []string {
	eng.mu.Lock()
	defer eng.mu.Unlock()
	ids := make([]string, 0, len(eng.seqs))
	for id := range eng.seqs {
		ids = append(ids, id)
	}
	sort.Strings(ids)
	return ids
}

func (eng *Engine) usage() (used, running, waiting int) {
	eng.mu.Lock()
	defer eng.mu.Unlock()
	for _, seq := range eng.seqs {
		if seq.admitted {
			running++
		} else {
			waiting++
		}
	}
	return eng.used, running, waiting
}

// tokenText returns the text of an output token, which depends on the request and the position alone.
func tokenText(seed uint64, idx int) string {
	return fmt.Sprintf("w%x-%d ", uint16(seed>>16), idx)
}
