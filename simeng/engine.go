// Package simeng simulates an LLM engine for tests, the demo and benchmarks.
//
// The engine uses continuous batching with chunked prefill: each step prefills one chunk of the prompt with the lowest
// priority number and decodes one token of each request whose prompt is prefilled. A step takes a fixed time, plus the
// prefill time of the chunk, plus a time for each decoding request.
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
	TotalTokens int           // capacity of the KV memory in tokens
	PrefillRate float64       // in tokens per second
	ChunkTokens int           // maximum number of tokens prefilled in a step
	StepBase    time.Duration // fixed part of the time of a step
	StepPerSeq  time.Duration // additional time for each decoding request
	MaxRunning  int           // maximum number of admitted requests

	// TransferPerToken is the time to import the KV data of one token that another engine holds.
	TransferPerToken time.Duration
	// StepPerPeer is the additional time of a decoding step for each other engine that holds a part of the prompt.
	StepPerPeer time.Duration
}

// DefaultModel returns a cost model that approximates current accelerators, as in the deployments.
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

// sequence is a request in the engine: a completion, or a segment of a prompt that is prefilled for other engines.
type sequence struct {
	id           string
	priority     int64
	arrival      int64
	promptTokens int
	outputTokens int
	prefilled    int
	decoded      int
	admitted     bool // it is in the batch, and its KV memory is allocated
	cancelled    bool
	crashed      bool
	abandoned    bool     // its client has disconnected; it stops and keeps its memory until it is cancelled
	tokens       chan int // index of each decoded token; closed at the end

	peerTokens int           // tokens of the prompt that other engines hold as segments
	peers      int           // number of those segments
	segment    bool          // it is a segment: its KV memory is held after prefill, and nothing is decoded
	held       chan struct{} // closed when the segment is prefilled; nil for a completion
}

// memory returns the KV memory of the sequence in tokens.
func (seq *sequence) memory() int { return seq.promptTokens + seq.outputTokens }

// Engine is a simulated engine.
type Engine struct {
	model       Model
	clock       *timer.Service
	mu          sync.Mutex
	seqs        map[string]*sequence
	usedTokens  int
	lastArrival int64
	wake        chan struct{}
	faults      faults

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

// runStep runs one step. It waits for a request if there is nothing to do.
func (eng *Engine) runStep(ctx context.Context) {
	dur := eng.planStep()
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

// add queues a request. It returns a trace.BadParameter error if the request exceeds the capacity, and a
// trace.AlreadyExists error if its ID is in use.
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
	eng.lastArrival++
	seq.arrival = eng.lastArrival
	seq.tokens = make(chan int, seq.outputTokens)
	eng.seqs[seq.id] = seq
	select {
	case eng.wake <- struct{}{}:
	default:
	}
	return nil
}

// cancel removes a request and frees its memory. It returns a trace.NotFound error for an unknown ID.
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

// remove takes a sequence out of the engine and closes its tokens. The caller holds mu.
func (eng *Engine) remove(seq *sequence) {
	if seq.admitted {
		eng.usedTokens -= seq.memory()
	}
	delete(eng.seqs, seq.id)
	close(seq.tokens)
}

// planStep admits requests, assigns the prefill chunk and returns the duration of the step, or 0 if there is nothing to
// do.
func (eng *Engine) planStep() time.Duration {
	eng.mu.Lock()
	defer eng.mu.Unlock()
	if eng.faults.Stall {
		return 0
	}
	eng.admit()
	dur := time.Duration(0)
	if seq := eng.nextPrefill(); seq != nil {
		num := min(eng.model.ChunkTokens, seq.promptTokens-seq.prefilled)
		seq.prefilled += num
		dur += time.Duration(float64(num) / eng.model.PrefillRate * float64(time.Second))
	}
	for _, seq := range eng.seqs {
		if seq.admitted && seq.prefilled == seq.promptTokens && !seq.segment {
			dur += eng.model.StepPerSeq + time.Duration(seq.peers)*eng.model.StepPerPeer
		}
	}
	if dur == 0 {
		return 0
	}
	return dur + eng.model.StepBase
}

// admit allocates KV memory to waiting requests in order of priority. It stops at the first one that does not fit. The
// caller holds mu.
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
	sort.Slice(waiting, func(i, j int) bool { return precedes(waiting[i], waiting[j]) })
	for _, seq := range waiting {
		if running >= eng.model.MaxRunning || eng.usedTokens+seq.memory() > eng.model.TotalTokens {
			return
		}
		seq.admitted = true
		eng.usedTokens += seq.memory()
		running++
	}
}

// precedes reports whether one is scheduled before two: by lower priority number, then by earlier arrival.
func precedes(one, two *sequence) bool {
	if one.priority != two.priority {
		return one.priority < two.priority
	}
	return one.arrival < two.arrival
}

// nextPrefill returns the request to prefill next; nil if there is none.
func (eng *Engine) nextPrefill() *sequence {
	var best *sequence
	for _, seq := range eng.seqs {
		if !seq.admitted || seq.abandoned || seq.prefilled == seq.promptTokens {
			continue
		}
		if best == nil || precedes(seq, best) {
			best = seq
		}
	}
	return best
}

// finishStep delivers the tokens that the step has decoded and marks prefilled segments as held.
func (eng *Engine) finishStep() {
	eng.mu.Lock()
	defer eng.mu.Unlock()
	for _, seq := range eng.seqs {
		if !seq.admitted || seq.abandoned || seq.prefilled < seq.promptTokens {
			continue
		}
		if seq.segment {
			seq.markHeld()
			continue
		}
		seq.tokens <- seq.decoded // Never blocks: the channel has room for the whole output.
		seq.decoded++
		if seq.decoded >= seq.outputTokens {
			eng.remove(seq)
		}
	}
}

// activeIDs returns the sorted IDs of all requests in the engine.
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

// usage returns the allocated KV memory in tokens and the numbers of admitted and waiting requests.
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
	return eng.usedTokens, running, waiting
}

// tokenText returns the text of an output token. It depends only on the request's seed and the token's index.
func tokenText(seed uint64, idx int) string {
	return fmt.Sprintf("w%x-%d ", uint16(seed>>16), idx)
}
